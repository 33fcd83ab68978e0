package keytracker

import (
	"sort"
	"time"

	"github.com/chivegauge/chivegauge"
)

// RankOwners returns the members that may have a record of the key, by their rendezvous weight,
// the owner first. It omits only members that handed over their keys (Left) or that an operator
// declared gone: a member that doesn't respond may still have a record of the key.
func RankOwners(members []chivegauge.Member, key string, gone func(address string) bool) []chivegauge.Member {
	owners := make([]chivegauge.Member, 0, len(members))
	for _, m := range members {
		if m.State != chivegauge.Left && !gone(m.Address) {
			owners = append(owners, m)
		}
	}
	sort.Slice(owners, func(i, j int) bool { return owners[i].Weight(key) > owners[j].Weight(key) })
	return owners
}

// PreviousOwners returns the members after self in the ranking that may have owned the key before self
// was known to them: all up to the first that has known self for at least the retention.
func PreviousOwners(now time.Time, retention time.Duration, ranking []chivegauge.Member, self string, knownSince func(m chivegauge.Member) (time.Time, bool)) []chivegauge.Member {
	var owners []chivegauge.Member
	afterSelf := false
	for _, m := range ranking {
		if m.Address == self {
			afterSelf = true
			continue
		}
		if !afterSelf {
			continue
		}
		since, ok := knownSince(m)
		if ok && now.Sub(since) >= retention {
			return owners
		}
		owners = append(owners, m)
	}
	return owners
}
