package allocator

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/chivegauge/chivegauge"
)

const (
	slack    = 1
	levelMax = 16
)

// View is what a node knows when it decides.
type View struct {
	Self    chivegauge.Member
	Members []chivegauge.Member
	Slots   chivegauge.Slots
	Gone    func(address string) bool
}

// Change is a new version of the document, the slots to stop keeping before it is written, and whether there is any.
type Change struct {
	Slots   chivegauge.Slots
	Release []int
	Any     bool
}

// Decide returns what the node would change: it claims slots that are free, that an
// earlier process on its own address kept, or whose keeper an operator declared gone;
// it hands over its own slots when it leaves or keeps more than its part.
func Decide(v View) Change {
	c := Change{
		Slots: v.Slots.WithRevision(v.Slots.Revision + 1),
	}
	if v.Self.State == chivegauge.Alive {
		v.claim(&c)
		v.level(&c)
		return c
	}
	v.leave(&c)
	return c
}

func (v View) claim(c *Change) {
	for n, h := range v.Slots.Slots {
		if v.claims(n, h) {
			c.Slots = c.Slots.WithHolder(n, v.Self)
			c.Any = true
		}
	}
}

func (v View) claims(n int, h chivegauge.SlotHolder) bool {
	if h.Address == v.Self.Address {
		return h.Process < v.Self.Process()
	}
	if !h.Free() && !v.Gone(h.Address) {
		return false
	}
	heir, ok := v.heir(n)
	return ok && heir.Address == v.Self.Address
}

// heir returns the living member that a slot without a keeper falls to.
func (v View) heir(n int) (chivegauge.Member, bool) {
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

// level hands a few slots over to the members that keep the fewest, until none keeps much more than its part.
func (v View) level(c *Change) {
	counts := v.counts(c.Slots)
	for n, h := range c.Slots.Slots {
		if !h.HeldBy(v.Self) || !v.Slots.Slots[n].HeldBy(v.Self) {
			continue
		}
		target, least := v.fewest(counts)
		if counts[v.Self.Address] <= least+slack || len(c.Release) == levelMax {
			return
		}
		c.give(n, target)
		counts[v.Self.Address]--
		counts[target.Address]++
	}
}

func (c *Change) give(n int, m chivegauge.Member) {
	c.Slots = c.Slots.WithHolder(n, m)
	c.Release = append(c.Release, n)
	c.Any = true
}

func (v View) counts(s chivegauge.Slots) map[string]int {
	counts := map[string]int{}
	for _, h := range s.Slots {
		counts[h.Address]++
	}
	return counts
}

// fewest returns the living member, other than the node itself, that keeps the fewest slots.
func (v View) fewest(counts map[string]int) (chivegauge.Member, int) {
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

// leave hands each slot over to the member that keeps the fewest.
func (v View) leave(c *Change) {
	counts := v.counts(c.Slots)
	for n, h := range c.Slots.Slots {
		if !h.HeldBy(v.Self) {
			continue
		}
		target, least := v.fewest(counts)
		if least > chivegauge.SlotCount {
			return
		}
		c.give(n, target)
		counts[target.Address]++
	}
}
