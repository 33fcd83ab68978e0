package assembler

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
	"github.com/chivegauge/chivegauge/internal/stream/executor"
)

// Report takes in a report; a change that other nodes must know is kept before the report is acknowledged.
func (n *node) Report(ctx context.Context, r executor.Report) {
	before, known := n.guardian.LastReport()
	if former, ok := n.members.Previous(); ok && !known && former.Leaving && former.Instance == r.Instance && r.StartedAtMs <= former.StartedAtMs {
		r = r.WithLeaving()
	}
	if !n.guardian.ApplyReport(time.Now(), r) {
		n.log.Info().Str("Instance", r.Instance).Int64("Born", r.StartedAtMs).Uint64("Sequence", r.Sequence).
			Uint64("Known", before.Sequence).Msg("late report ignored")
		return
	}
	after, _ := n.guardian.LastReport()
	if known && after.SameProcess(before) && after.Leaving == before.Leaving && after.Slots == before.Slots {
		return
	}
	n.publish(ctx, after)
}

// Leave takes in that a start of the backend server leaves.
func (n *node) Leave(ctx context.Context, instance string, born int64) {
	if !n.guardian.MarkLeaving(time.Now(), instance, born) {
		n.log.Info().Str("Instance", instance).Int64("Born", born).Msg("departure of a backend server is no news")
		return
	}
	after, _ := n.guardian.LastReport()
	n.publish(ctx, after)
}

// publish tells the other nodes and the store what is beside this node.
func (n *node) publish(ctx context.Context, r executor.Report) {
	n.log.Info().Str("Instance", r.Instance).Int64("Born", r.StartedAtMs).Uint64("Sequence", r.Sequence).Int("Slots", r.Slots).
		Bool("Leaving", r.Leaving).Msg("backend server changed")
	change := func(rec registrar.Record) registrar.Record {
		rec.Instance = r.Instance
		rec.StartedAtMs = r.StartedAtMs
		rec.Sequence = r.Sequence
		rec.Slots = r.Slots
		rec.Leaving = r.Leaving
		return rec
	}
	if err := n.members.Update(ctx, change); err != nil {
		n.log.Warn().Err(err).Str("Instance", r.Instance).Bool("Leaving", r.Leaving).Msg("record not written; this node alone holds to it")
	}
}
