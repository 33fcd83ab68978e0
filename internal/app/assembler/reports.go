package assembler

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
	"github.com/chivegauge/chivegauge/internal/stream/executor"
)

// ApplyReport applies a report, and publishes a change to the other nodes and the store before it returns.
func (n *node) ApplyReport(ctx context.Context, r executor.Report) {
	last, reported := n.executor.LastReport()
	if !n.applyReport(r) {
		n.log.Info().Str("Instance", r.Instance).Int64("Born", r.StartedAtMs).Uint64("Sequence", r.Sequence).
			Uint64("Known", last.Sequence).Msg("late report ignored")
		return
	}
	current, _ := n.executor.LastReport()
	if reported && current.SameProcess(last) && current.Leaving == last.Leaving && current.Slots == last.Slots {
		return
	}
	n.publish(ctx, current)
}

// applyReport applies a report, which may be older than a departure that an earlier process of this node acknowledged.
func (n *node) applyReport(r executor.Report) bool {
	n.departedMu.Lock()
	defer n.departedMu.Unlock()
	if n.departed.Departed(r.Process()) {
		r = r.WithLeaving()
	}
	return n.executor.ApplyReport(time.Now(), r)
}

// applyDeparture applies a departure that an earlier process of this node acknowledged, also to a report that arrived
// before it.
func (n *node) applyDeparture(rec registrar.Record) {
	n.departedMu.Lock()
	defer n.departedMu.Unlock()
	if rec.StartedAtMs >= n.departed.StartedAtMs {
		n.departed = rec
	}
	r, ok := n.executor.LastReport()
	if ok && rec.Departed(r.Process()) && n.executor.MarkLeaving(time.Now(), r.Instance, r.StartedAtMs) {
		n.log.Info().Str("Instance", r.Instance).Int64("Born", r.StartedAtMs).Msg("departure was acknowledged before this node was restarted")
		n.PublishReport(r.WithLeaving())
	}
}

// MarkLeaving marks a process of the backend server as leaving, and publishes the change.
func (n *node) MarkLeaving(ctx context.Context, instance string, startedAtMs int64) {
	if !n.executor.MarkLeaving(time.Now(), instance, startedAtMs) {
		n.log.Info().Str("Instance", instance).Int64("Born", startedAtMs).Msg("departure of a backend server is no news")
		return
	}
	current, _ := n.executor.LastReport()
	n.publish(ctx, current)
}

// PublishReport publishes the state of the local backend server in the background.
func (n *node) PublishReport(r executor.Report) {
	n.group.Go(func() { n.publish(context.Background(), r) })
}

// publish sends the state of the local backend server to the other nodes and to the store. A node that has not read the
// list of nodes yet may not know of a departure that it acknowledged before: it publishes only departures, and the rest
// with the list.
func (n *node) publish(ctx context.Context, r executor.Report) {
	n.log.Info().Str("Instance", r.Instance).Int64("Born", r.StartedAtMs).Uint64("Sequence", r.Sequence).Int("Slots", r.Slots).
		Bool("Leaving", r.Leaving).Msg("backend server changed")
	if !r.Leaving && !n.members.Synced() {
		return
	}
	if err := n.members.Update(ctx, n.describe); err != nil {
		n.log.Warn().Err(err).Str("Instance", r.Instance).Bool("Leaving", r.Leaving).Msg("record not written; this node alone holds to it")
	}
}

// describe returns the record with the last report at the time, so that one which was overtaken doesn't undo it.
func (n *node) describe(rec registrar.Record) registrar.Record {
	r, ok := n.executor.LastReport()
	if !ok {
		return rec
	}
	rec.Instance = r.Instance
	rec.StartedAtMs = r.StartedAtMs
	rec.Sequence = r.Sequence
	rec.Slots = r.Slots
	rec.Leaving = r.Leaving
	return rec
}
