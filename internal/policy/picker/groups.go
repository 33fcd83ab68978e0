package picker

import (
	"time"

	"github.com/chivegauge/chivegauge"
)

// groups are the members of a list in the node's zone and in the others. They are kept as long as the same list is
// passed, which its owner doesn't change, so that a pick does not visit all members.
type groups struct {
	list       []chivegauge.Member
	sameZone   []chivegauge.Member
	otherZones []chivegauge.Member

	// skipEjected says that ejected members are skipped. It holds until checkedUntil, unless more members are ejected.
	skipEjected      bool
	checkedUntil     time.Time
	checkedEjections int
}

// newGroups returns the groups of the list for a node in the zone.
func newGroups(list []chivegauge.Member, zone string) *groups {
	g := &groups{
		list: list,
	}
	for _, m := range list {
		if m.Zone == zone {
			g.sameZone = append(g.sameZone, m)
			continue
		}
		g.otherZones = append(g.otherZones, m)
	}
	return g
}

// of reports whether these are the groups of the list.
func (g *groups) of(list []chivegauge.Member) bool {
	return len(list) == len(g.list) && &list[0] == &g.list[0]
}

// choices are members of one group that are compared.
type choices struct {
	indexes [choicesPerGroup]int
	count   int
}

func (c *choices) add(i int) {
	c.indexes[c.count] = i
	c.count++
}

func (c *choices) contain(i int) bool {
	for _, chosen := range c.indexes[:c.count] {
		if chosen == i {
			return true
		}
	}
	return false
}

// choose returns random usable members of the group; where few are usable, they are taken from a random one on.
func choose(group []chivegauge.Member, usable func(chivegauge.Member) bool, random Random) choices {
	c := choices{}
	if len(group) == 0 {
		return c
	}
	for draws := 0; draws < drawsMax && c.count < choicesPerGroup; draws++ {
		if i := random(len(group)); !c.contain(i) && usable(group[i]) {
			c.add(i)
		}
	}
	first := 0
	if c.count < choicesPerGroup {
		first = random(len(group))
	}
	for n := 0; n < len(group) && c.count < choicesPerGroup; n++ {
		if i := (first + n) % len(group); !c.contain(i) && usable(group[i]) {
			c.add(i)
		}
	}
	return c
}
