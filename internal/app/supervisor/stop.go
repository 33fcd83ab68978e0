package supervisor

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/app/stager"
	"github.com/chivegauge/chivegauge/internal/base/timekeeper"
)

const (
	// notifyTime is how long a draining node still accepts requests, until the other nodes have received its state.
	notifyTime      = 1500 * time.Millisecond
	drainTimeout    = 60 * time.Second
	drainPollPeriod = 20 * time.Millisecond

	// lingerTime is how long a node that has left still forwards the requests of nodes that have not been notified of its
	// departure yet.
	lingerTime = 500 * time.Millisecond
)

// stop notifies the other nodes, then refuses new requests, waits for those that run, hands over slots and keys, and
// leaves.
func (v *supervisor) stop(ctx context.Context) {
	v.stage.Fire(stager.Stop)
	v.receiver.Close()
	v.parts.fleet.SetState(chivegauge.Draining)
	timekeeper.Sleep(ctx, notifyTime)
	v.parts.executor.SetDraining(true)
	v.waitIdle(ctx)
	if err := v.parts.reconciler.HandOver(ctx); err != nil {
		v.log.Warn().Err(err).Msg("rate slots not handed over")
	}
	timekeeper.Sleep(ctx, min(v.parts.dedup.HandoverDelay(), v.parts.keyRetention))
	if err := v.parts.handOverKeys(ctx); err != nil {
		v.log.Warn().Err(err).Msg("idempotency keys not handed over; the stop counts as a crash")
		return
	}
	v.parts.fleet.SetState(chivegauge.Left)
	if err := v.parts.announcer.Withdraw(ctx); err != nil {
		v.log.Warn().Err(err).Msg("announcement not withdrawn")
	}
	timekeeper.Sleep(ctx, lingerTime)
	v.stage.Fire(stager.Drained)
}

// waitIdle returns when no request runs on this node, or after drainTimeout.
func (v *supervisor) waitIdle(ctx context.Context) {
	for waited := time.Duration(0); waited < drainTimeout; waited += drainPollPeriod {
		if v.parts.executor.Running() == 0 && v.receiver.Running() == 0 {
			return
		}
		timekeeper.Sleep(ctx, drainPollPeriod)
	}
	v.log.Warn().Int("Running", v.parts.executor.Running()).Msg("stopped with requests running")
}

// followDeparture takes the node out of service while the configuration lists its backend server as departed.
func (v *supervisor) followDeparture(ctx context.Context) error {
	current := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case departed := <-v.departures:
			if departed != current {
				v.setDeparted(ctx, departed)
			}
			current = departed
		}
	}
}

func (v *supervisor) setDeparted(ctx context.Context, departed bool) {
	if !departed {
		v.parts.executor.SetDraining(false)
		v.parts.fleet.SetState(chivegauge.Alive)
		v.stage.Fire(stager.Return)
		return
	}
	v.stage.Fire(stager.Leave)
	v.parts.fleet.SetState(chivegauge.Draining)
	timekeeper.Sleep(ctx, notifyTime)
	v.parts.executor.SetDraining(true)
}
