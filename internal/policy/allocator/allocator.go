package allocator

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/chivegauge/chivegauge"
)

const (
	// imbalanceMax is the number of slots by which a node may own more than another without rebalancing.
	imbalanceMax = 1

	// handoversMax is the number of slots that one decision hands over for rebalancing.
	handoversMax = 16
)

// View is the input of a decision: the node itself, the members and slots as it sees them, and which addresses an
// operator declared gone.
type View struct {
	Self    chivegauge.Member
	Members []chivegauge.Member
	Slots   chivegauge.Slots
	Gone    func(address string) bool
}

// Change is a new version of the allocation document, the slots to release before it is written, and whether anything
// has changed.
type Change struct {
	Slots   chivegauge.Slots
	Release []int
	Changed bool
}

// Decide returns the change that the node makes: it claims slots that are free, that an
// earlier process at its own address owned, or whose owner an operator declared gone;
// it hands over its own slots when it leaves or owns more than its fair share.
func Decide(v View) Change {
	c := Change{
		Slots: v.Slots.WithRevision(v.Slots.Revision + 1),
	}
	if v.Self.State == chivegauge.Alive {
		v.claimSlots(&c)
		v.rebalance(&c)
		return c
	}
	v.handOverAll(&c)
	return c
}

func (v View) claimSlots(c *Change) {
	for n, owner := range v.Slots.Slots {
		if v.mayClaim(n, owner) {
			c.Slots = c.Slots.WithOwner(n, v.Self)
			c.Changed = true
		}
	}
}

func (v View) mayClaim(n int, owner chivegauge.SlotOwner) bool {
	if owner.Address == v.Self.Address {
		return owner.Process < v.Self.Process()
	}
	if !owner.Free() && !v.Gone(owner.Address) {
		return false
	}
	successor, ok := v.successor(n)
	return ok && successor.Address == v.Self.Address
}

// successor returns the live member that is to claim a slot which is free or whose owner was declared gone, by
// rendezvous hashing, or false if there is none.
func (v View) successor(n int) (chivegauge.Member, bool) {
	best := chivegauge.Member{}
	weight := uint64(0)
	for _, m := range v.Members {
		if m.State != chivegauge.Alive || v.Gone(m.Address) {
			continue
		}
		if w := xxhash.Sum64String(m.Address + "#" + strconv.Itoa(n)); w >= weight {
			best = m
			weight = w
		}
	}
	return best, best.Address != ""
}

// rebalance hands over slots of the node to the members that own the fewest, until it owns at most imbalanceMax more
// than they do, or has handed over handoversMax.
func (v View) rebalance(c *Change) {
	counts := v.counts(c.Slots)
	for n, owner := range c.Slots.Slots {
		if !owner.OwnedBy(v.Self) || !v.Slots.Slots[n].OwnedBy(v.Self) {
			continue
		}
		target, least := v.leastLoaded(counts)
		if counts[v.Self.Address] <= least+imbalanceMax || len(c.Release) == handoversMax {
			return
		}
		c.handOver(n, target)
		counts[v.Self.Address]--
		counts[target.Address]++
	}
}

// handOver changes the owner of slot n to the member, and has the node release the slot.
func (c *Change) handOver(n int, m chivegauge.Member) {
	c.Slots = c.Slots.WithOwner(n, m)
	c.Release = append(c.Release, n)
	c.Changed = true
}

func (v View) counts(s chivegauge.Slots) map[string]int {
	counts := map[string]int{}
	for _, owner := range s.Slots {
		counts[owner.Address]++
	}
	return counts
}

// leastLoaded returns the live member, other than the node itself, that owns the fewest slots, and their number, which
// is above chivegauge.SlotCount if there is no such member.
func (v View) leastLoaded(counts map[string]int) (chivegauge.Member, int) {
	best := chivegauge.Member{}
	least := chivegauge.SlotCount + 1
	for _, m := range v.Members {
		if m.State != chivegauge.Alive || m.Address == v.Self.Address || v.Gone(m.Address) {
			continue
		}
		if counts[m.Address] < least {
			best = m
			least = counts[m.Address]
		}
	}
	return best, least
}

// handOverAll hands over each slot of the node to the member that owns the fewest.
func (v View) handOverAll(c *Change) {
	counts := v.counts(c.Slots)
	for n, owner := range c.Slots.Slots {
		if !owner.OwnedBy(v.Self) {
			continue
		}
		target, least := v.leastLoaded(counts)
		if least > chivegauge.SlotCount {
			return
		}
		c.handOver(n, target)
		counts[target.Address]++
	}
}
