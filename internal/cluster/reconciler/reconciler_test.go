package reconciler_test

import (
	"encoding/json"
	"testing"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/reconciler"
	"github.com/chivegauge/chivegauge/internal/cluster/replicator"
	"github.com/chivegauge/chivegauge/internal/policy/lessor"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// fleet is a fleet of one node.
type fleet struct {
	self chivegauge.Member
}

func (f fleet) Self() chivegauge.Member           { return f.self }
func (f fleet) Members() []chivegauge.Member      { return []chivegauge.Member{f.self} }
func (f fleet) Publish(replicator.Document) error { return nil }

// slots are the open slots.
type slots map[int]bool

func (s slots) Open(slot int, _ bool)                   { s[slot] = true }
func (s slots) Close(slot int)                          { delete(s, slot) }
func (s slots) Owns(slot int) bool                      { return s[slot] }
func (s slots) Export(int) ([]lessor.BucketState, bool) { return nil, false }
func (s slots) Import(int, []lessor.BucketState)        {}

// TestOlderAllocationIsRefused guards against two owners of a slot, whose tokens are spent twice: the store has come back
// from an older copy, where the slot still belongs to the node that has released it.
func TestOlderAllocationIsRefused(t *testing.T) {
	is := is.New(t)
	self := chivegauge.Member{
		Address: "10.0.0.1:7701",
	}
	other := chivegauge.Member{
		Address: "10.0.0.2:7701",
	}
	open := slots{}
	f := fleet{
		self: self,
	}
	r := reconciler.New(nil, f, open, nil, func(string) bool { return false })
	apply := func(version, revision uint64, owner chivegauge.Member) error {
		value, err := json.Marshal(chivegauge.Slots{}.WithRevision(revision).WithOwner(0, owner))
		is.NoErr(err)
		return r.Apply(replicator.Document{
			Version: version,
			Value:   value,
		})
	}
	is.NoErr(apply(1, 1, self))
	is.True(open[0])
	is.NoErr(apply(2, 2, other))
	is.True(!open[0])
	is.True(errors.Is(apply(3, 1, self), replicator.ErrOlder))
	is.True(!open[0])
	is.NoErr(apply(4, 2, other)) // written again
	is.NoErr(apply(5, 3, self))
	is.True(open[0])
}
