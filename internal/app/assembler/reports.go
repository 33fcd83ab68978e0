package assembler

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
	"github.com/chivegauge/chivegauge/internal/stream/guardian"
)

// Report takes in a report; a change that other nodes must know is kept before the report is acknowledged.
func (n *node) Report(ctx context.Context, r guardian.Report) {
	before, known := n.guardian.Current()
	if former, ok := n.members.Former(); ok && !known && former.Leaving && former.Instance == r.Instance && former.Born == r.Born {
		r = r.WithLeaving()
	}
	if !n.guardian.Report(time.Now(), r) {
		n.log.Info().Str("Instance", r.Instance).Int64("Born", r.Born).Uint64("Sequence", r.Sequence).
			Uint64("Known", before.Sequence).Msg("late report ignored")
		return
	}
	after, _ := n.guardian.Current()
	if known && after.SameStart(before) && after.Leaving == before.Leaving && after.Slots == before.Slots {
		return
	}
	n.publish(ctx, after)
}

// Leave takes in that the backend server leaves.
func (n *node) Leave(ctx context.Context, instance string) {
	if n.guardian.Leave(time.Now(), instance) {
		after, _ := n.guardian.Current()
		n.publish(ctx, after)
	}
}

// publish tells the other nodes and the store what is beside this node.
func (n *node) publish(ctx context.Context, r guardian.Report) {
	n.log.Info().Str("Instance", r.Instance).Int64("Born", r.Born).Uint64("Sequence", r.Sequence).Int("Slots", r.Slots).
		Bool("Leaving", r.Leaving).Msg("backend server changed")
	err := n.members.Change(ctx, func(rec registrar.Record) registrar.Record {
		rec.Instance = r.Instance
		rec.Born = r.Born
		rec.Sequence = r.Sequence
		rec.Slots = r.Slots
		rec.Leaving = r.Leaving
		return rec
	})
	if err != nil {
		n.log.Warn().Err(err).Str("Instance", r.Instance).Bool("Leaving", r.Leaving).Msg("record not written; this node alone holds to it")
	}
}

const (
	// stopPoll is how often a stopping node looks whether all requests have ended.
	stopPoll = 50 * time.Millisecond

	// stopQuiet is how long a stopping node goes on serving, so that callers find out by asking whether it is ready.
	stopQuiet = 2500 * time.Millisecond

	// stopMargin is kept free at the end of the time to stop.
	stopMargin = 400 * time.Millisecond
)

// stop tells the other nodes first, serves on until callers have gone elsewhere, and waits for what runs.
func (n *node) stop(ctx context.Context) {
	began := time.Now()
	close(n.stopping)
	n.log.Info().Int("Running", n.callers.Running()+n.peers.Running()).Msg("node stopping")
	n.callers.Drain()
	if err := n.members.Change(ctx, func(rec registrar.Record) registrar.Record { return rec.WithState(chivegauge.Draining) }); err != nil {
		n.log.Warn().Err(err).Msg("record not written while stopping")
	}
	end := began.Add(n.settings.StopTime - stopMargin)
	for time.Now().Before(end) {
		if time.Since(began) > stopQuiet {
			n.callers.CloseIdle()
			if n.callers.Running() == 0 && n.peers.Running() == 0 {
				break
			}
		}
		time.Sleep(stopPoll)
	}
	if r, ok := n.guardian.Current(); ok && r.Leaving {
		if err := n.members.Withdraw(ctx); err != nil {
			n.log.Warn().Err(err).Msg("record not withdrawn")
		}
	}
	n.log.Info().Int("Running", n.callers.Running()+n.peers.Running()).Dur("TookMs", time.Since(began)).Msg("node stopped")
}
