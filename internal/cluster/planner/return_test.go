package planner_test

import (
	"context"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/planner"
	"github.com/chivegauge/chivegauge/internal/cluster/replicator"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// confirmRate confirms a new plan for the rate, and returns it with its revision.
func confirmRate(t *testing.T, p planner.Planner, rate float64) (planner.Plan, uint64) {
	t.Helper()
	is := is.New(t)
	plan, err := p.Plan(context.Background(), []planner.Intent{workspaceIntent(rate)})
	is.NoErr(err)
	revision, err := p.Confirm(context.Background(), time.Unix(1000, 0), plan, "ada")
	is.NoErr(err)
	return plan, revision
}

// newPlanner returns a planner with the active configuration of a node.
func newPlanner(store *fakeStore, active *chivegauge.Configuration) planner.Planner {
	docs := replicator.New()
	docs.Register("configuration", func(d replicator.Document) error {
		var err error
		*active, err = chivegauge.DecodeConfiguration(d.Value)
		return err
	})
	return planner.New(store, "configuration", &fleet{docs: docs}, noMembers, func() chivegauge.Configuration { return *active })
}

// TestConfirmedChangesSurviveReturnOfStore guards against a confirmed change that a later one drops, or whose revision is
// given out again, after the store has come back from an older copy.
func TestConfirmedChangesSurviveReturnOfStore(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{}
	active := chivegauge.Configuration{}
	p := newPlanner(store, &active)
	confirmRate(t, p, 1)
	saved := store.object
	lost, revision := confirmRate(t, p, 2)
	is.Equal(revision, uint64(2))
	saved.Version += 10 // versions of the next era are above
	store.object = saved
	_, revision = confirmRate(t, p, 3)
	is.Equal(revision, uint64(3))
	again, err := p.Confirm(context.Background(), time.Unix(1000, 0), lost, "ada")
	is.NoErr(err)
	is.Equal(again, uint64(2))
}

// TestPlanOnLostRevision guards against a plan that is confirmed on another configuration which has the revision of the
// lost one that the plan was made on; no node is left that has the lost one.
func TestPlanOnLostRevision(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{}
	active := chivegauge.Configuration{}
	p := newPlanner(store, &active)
	confirmRate(t, p, 1)
	saved := store.object
	confirmRate(t, p, 2)
	onLost, err := p.Plan(context.Background(), []planner.Intent{workspaceIntent(5)})
	is.NoErr(err)
	store.object = saved
	other := chivegauge.Configuration{}
	restarted := newPlanner(store, &other)
	confirmRate(t, restarted, 3)
	_, err = restarted.Confirm(context.Background(), time.Unix(1000, 0), onLost, "ada")
	stale := &planner.StaleError{}
	is.True(errors.As(err, &stale))
	is.Equal(stale.Base, stale.Present)
}
