package assembler

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
	"github.com/chivegauge/chivegauge/internal/request/crashtracker"
)

// PublishRefused puts refused requests into the record of this node.
func (n *node) PublishRefused(ctx context.Context, refused crashtracker.Requests) {
	update := func(rec registrar.Record) registrar.Record {
		rec.Refused = refused
		return rec
	}
	if err := n.members.Update(ctx, update); err != nil {
		n.log.Warn().Err(err).Int("Requests", len(refused)).Msg("refused requests not written yet")
	}
}

// mergeRefused merges the refused requests in the record of a node.
func (n *node) mergeRefused(rec registrar.Record) {
	if len(rec.Refused) > 0 {
		n.crashTracker.Merge(time.Now(), crashtracker.CrashReport{
			Requests: rec.Refused,
		})
	}
}
