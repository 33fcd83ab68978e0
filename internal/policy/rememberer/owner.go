package rememberer

import (
	"sort"
	"time"

	"github.com/chivegauge/chivegauge"
)

// Ranking returns the members that may remember the key, the owner first. Only
// a member that handed its keys over (Left), or that an operator declared gone,
// is left out: silence proves nothing.
func Ranking(members []chivegauge.Member, key string, gone func(address string) bool) []chivegauge.Member {
	list := make([]chivegauge.Member, 0, len(members))
	for _, m := range members {
		if m.State != chivegauge.Left && !gone(m.Address) {
			list = append(list, m)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Weight(key) > list[j].Weight(key) })
	return list
}

// Elders returns the members, in the order of the ranking after self, that may have owned the
// key before self was known to them: all up to the first that has known self for the retention.
func Elders(now time.Time, retention time.Duration, ranking []chivegauge.Member, self string, met func(m chivegauge.Member) (time.Time, bool)) []chivegauge.Member {
	var list []chivegauge.Member
	after := false
	for _, m := range ranking {
		if m.Address == self {
			after = true
			continue
		}
		if !after {
			continue
		}
		at, ok := met(m)
		if ok && now.Sub(at) >= retention {
			return list
		}
		list = append(list, m)
	}
	return list
}
