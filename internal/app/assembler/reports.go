package assembler

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
	"github.com/chivegauge/chivegauge/internal/stream/guardian"
)

// Report takes in a report; a change that other nodes must know is kept before the report is acknowledged.
func (n *node) Report(ctx context.Context, r guardian.Report) {
	before, known := n.guardian.Current()
	if former, ok := n.members.Former(); ok && !known && former.Leaving && former.Instance == r.Instance && r.Born <= former.Born {
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

// Leave takes in that a start of the backend server leaves.
func (n *node) Leave(ctx context.Context, instance string, born int64) {
	if !n.guardian.Leave(time.Now(), instance, born) {
		n.log.Info().Str("Instance", instance).Int64("Born", born).Msg("departure of a backend server is no news")
		return
	}
	after, _ := n.guardian.Current()
	n.publish(ctx, after)
}

// publish tells the other nodes and the store what is beside this node.
func (n *node) publish(ctx context.Context, r guardian.Report) {
	n.log.Info().Str("Instance", r.Instance).Int64("Born", r.Born).Uint64("Sequence", r.Sequence).Int("Slots", r.Slots).
		Bool("Leaving", r.Leaving).Msg("backend server changed")
	change := func(rec registrar.Record) registrar.Record {
		rec.Instance = r.Instance
		rec.Born = r.Born
		rec.Sequence = r.Sequence
		rec.Slots = r.Slots
		rec.Leaving = r.Leaving
		return rec
	}
	if err := n.members.Change(ctx, change); err != nil {
		n.log.Warn().Err(err).Str("Instance", r.Instance).Bool("Leaving", r.Leaving).Msg("record not written; this node alone holds to it")
	}
}
