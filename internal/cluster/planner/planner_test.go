package planner_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/storer"
	"github.com/chivegauge/chivegauge/internal/cluster/collector"
	"github.com/chivegauge/chivegauge/internal/cluster/planner"
	"github.com/chivegauge/chivegauge/internal/cluster/replicator"
	"github.com/chivegauge/chivegauge/internal/proof/seeder"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m))
}

// fakeStore holds one object; fault makes writes fail before or after they take effect.
type fakeStore struct {
	storer.Store
	object storer.Object
	fault  string
}

func (s *fakeStore) Get(context.Context, string) (storer.Object, error) {
	if s.object.Version == 0 {
		return storer.Object{}, storer.ErrNotFound
	}
	return s.object, nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, version uint64) (storer.Object, error) {
	if s.fault == "before" {
		return storer.Object{}, errors.New("no response")
	}
	if version != s.object.Version {
		return storer.Object{}, storer.ErrConflict
	}
	s.object = storer.Object{
		Key:     key,
		Version: version + 1,
		Value:   value,
	}
	if s.fault == "after" {
		return storer.Object{}, errors.New("no response")
	}
	return s.object, nil
}

// fleet applies published documents as a node does.
type fleet struct {
	docs replicator.Replicator
}

func noMembers(context.Context) collector.Status { return collector.Status{} }

func (f *fleet) Publish(d replicator.Document) error {
	_, err := f.docs.Update(d)
	return err
}

func workspaceIntent(rate float64) planner.Intent {
	return planner.Intent{
		SetWorkspace: &planner.WorkspaceIntent{
			Name:          "golf",
			RatePerSecond: rate,
			Burst:         10,
		},
	}
}

// TestChangesTakeEffectOnce confirms plans repeatedly and in any order while writes to the store fail before or after
// they take effect: each plan must take effect at most once, and revisions must only increase.
func TestChangesTakeEffectOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &fakeStore{}
		f := &fleet{
			docs: replicator.New(),
		}
		revision := uint64(0)
		f.docs.Register("configuration", func(d replicator.Document) error {
			c, err := chivegauge.DecodeConfiguration(d.Value)
			if err != nil {
				return err
			}
			if c.Revision < revision {
				t.Fatalf("revision decreased from %d to %d", revision, c.Revision)
			}
			revision = c.Revision
			return nil
		})
		p := planner.New(store, "configuration", f, noMembers, func() chivegauge.Configuration { return chivegauge.Configuration{} })
		now := time.Unix(1000, 0)
		var plans []planner.Plan
		confirmed := map[string]uint64{}
		t.Repeat(map[string]func(*rapid.T){
			"plan": func(t *rapid.T) {
				plan, err := p.Plan(context.Background(), []planner.Intent{workspaceIntent(float64(rapid.IntRange(1, 9).Draw(t, "rate")))})
				if err != nil {
					t.Fatal(err)
				}
				plans = append(plans, plan)
			},
			"confirm": func(t *rapid.T) {
				if len(plans) == 0 {
					return
				}
				store.fault = rapid.SampledFrom([]string{"", "", "before", "after"}).Draw(t, "fault")
				plan := rapid.SampledFrom(plans).Draw(t, "plan")
				at, err := p.Confirm(context.Background(), now, plan, "ada")
				if err != nil {
					return
				}
				if earlier, ok := confirmed[plan.ChangeID]; ok && earlier != at {
					t.Fatalf("plan took effect at revision %d and again at %d", earlier, at)
				}
				confirmed[plan.ChangeID] = at
			},
		})
		c := chivegauge.Configuration{}
		if store.object.Version > 0 {
			var err error
			if c, err = chivegauge.DecodeConfiguration(store.object.Value); err != nil {
				t.Fatal(err)
			}
		}
		seen := map[string]bool{}
		for n, a := range c.Audit {
			if seen[a.ChangeID] || a.Revision != uint64(n+1) {
				t.Fatalf("audit entry %d: revision %d, change %s", n, a.Revision, a.ChangeID)
			}
			seen[a.ChangeID] = true
		}
	})
}

// TestIntents checks the change, the warning or the error of each intent.
func TestIntents(t *testing.T) {
	base := chivegauge.Configuration{
		Workspaces: []chivegauge.Workspace{{
			Name:          "golf",
			RatePerSecond: 10,
			Burst:         10,
			Spread:        1,
			Keys: []chivegauge.Key{{
				ID:   "k1",
				Hash: "00",
			}},
		}},
	}
	members := []collector.MemberStatus{
		{
			Address: "a:1",
			Service: "booking",
			State:   "Alive",
			Running: 9,
			Limit:   10,
		},
		{
			Address: "b:1",
			Service: "booking",
			State:   "Alive",
			Running: 5,
			Limit:   10,
		},
	}
	cases := map[string]struct {
		intent  planner.Intent
		change  string
		warning string
		fault   bool
	}{
		"lower a rate": {
			intent:  workspaceIntent(5),
			change:  "set workspace golf: rate 5 a second, burst 10 (was 10 a second, burst 10)",
			warning: "workspace golf may send 5 a second less; what is above is refused as not run",
		},
		"withdraw the last key": {
			intent: planner.Intent{
				WithdrawKey: &planner.KeyIntent{
					Workspace: "golf",
					ID:        "k1",
				},
			},
			change:  "withdraw key k1 of workspace golf",
			warning: "workspace golf has no key left",
		},
		"leave": {
			intent: planner.Intent{
				Leave: "a:1",
			},
			change:  "mark the backend server at a:1 as Leaving",
			warning: "service booking runs more now than would be left: the least important requests would be refused as not run",
		},
		"leave, unknown": {
			intent: planner.Intent{
				Leave: "c:1",
			},
			change:  "mark the backend server at c:1 as Leaving",
			warning: "no member has the address c:1",
		},
		"key given twice": {
			intent: planner.Intent{
				GiveKey: &planner.KeyIntent{
					Workspace: "golf",
					ID:        "k1",
				},
			},
			fault: true,
		},
		"nothing": {
			fault: true,
		},
		"rate of zero": {
			intent: workspaceIntent(0),
			fault:  true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plan, err := planner.NewPlan(base, []planner.Intent{c.intent}, planner.FleetStatus{
				Members: members,
			}, "id")
			is.Equal(err != nil, c.fault)
			if c.fault {
				return
			}
			is.Equal(plan.Changes, []string{c.change})
			if c.warning != "" {
				is.Equal(plan.Warnings, []string{c.warning})
			}
		})
	}
}
