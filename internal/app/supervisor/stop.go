package supervisor

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/app/stager"
	"github.com/chivegauge/chivegauge/internal/base/timekeeper"
)

const (
	tellTime  = 1500 * time.Millisecond
	drainMax  = 60 * time.Second
	drainPoll = 20 * time.Millisecond

	// leftTime is how long a node that has left passes on what nodes send it that have not heard of that yet.
	leftTime = 500 * time.Millisecond
)

// stop tells the peers first, then refuses new work, then waits for what runs, then leaves.
func (v *supervisor) stop(ctx context.Context) {
	v.stage.Fire(stager.Stop)
	v.receiver.Close()
	v.parts.fleet.SetState(chivegauge.Draining)
	timekeeper.Rest(ctx, tellTime)
	v.parts.executor.SetDraining(true)
	v.wait(ctx)
	if err := v.parts.slotter.HandOver(ctx); err != nil {
		v.log.Warn().Err(err).Msg("rate slots not handed over")
	}
	timekeeper.Rest(ctx, min(v.parts.dedup.HandoverDelay(), v.parts.retention))
	if err := v.parts.handOverKeys(ctx); err != nil {
		v.log.Warn().Err(err).Msg("idempotency keys not handed over; the stop counts as a crash")
		return
	}
	v.parts.fleet.SetState(chivegauge.Left)
	if err := v.parts.announcer.Withdraw(ctx); err != nil {
		v.log.Warn().Err(err).Msg("announcement not withdrawn")
	}
	timekeeper.Rest(ctx, leftTime)
	v.stage.Fire(stager.Drained)
}

// wait returns when no request runs here, or after the longest time that a stop may take.
func (v *supervisor) wait(ctx context.Context) {
	for waited := time.Duration(0); waited < drainMax; waited += drainPoll {
		if v.parts.executor.Running() == 0 && v.receiver.Running() == 0 {
			return
		}
		timekeeper.Rest(ctx, drainPoll)
	}
	v.log.Warn().Int("Running", v.parts.executor.Running()).Msg("stopped with requests running")
}

// followConfiguration makes the backend server leave or return as the configuration says.
func (v *supervisor) followConfiguration(ctx context.Context) error {
	left := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case leave := <-v.moves:
			if leave != left {
				v.depart(ctx, leave)
			}
			left = leave
		}
	}
}

func (v *supervisor) depart(ctx context.Context, leave bool) {
	if !leave {
		v.parts.executor.SetDraining(false)
		v.parts.fleet.SetState(chivegauge.Alive)
		v.stage.Fire(stager.Return)
		return
	}
	v.stage.Fire(stager.Leave)
	v.parts.fleet.SetState(chivegauge.Draining)
	timekeeper.Rest(ctx, tellTime)
	v.parts.executor.SetDraining(true)
}
