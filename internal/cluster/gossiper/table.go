package gossiper

import (
	"math"
	"math/bits"
	"sort"
	"time"

	"github.com/chivegauge/chivegauge"
)

const (
	updatesPerMessage = 8

	// deadRetention is how long members that are dead or have left stay in the table.
	deadRetention = time.Hour

	membersMax = 10000
)

// Table is one node's view of the membership; it is not safe for concurrent use.
type Table interface {
	// Self returns the node's own member.
	Self() chivegauge.Member
	// SetState sets the node's own state at a higher incarnation, as an update to send.
	SetState(now time.Time, s chivegauge.MemberState)
	// Apply applies an update of a member and reports whether it changed the table.
	Apply(now time.Time, m chivegauge.Member) bool
	// Suspect marks a member that did not respond as suspect, or as dead if it was draining.
	Suspect(now time.Time, address string)
	// Expire marks members dead that were suspect for the timeout, and removes dead and left ones after an hour.
	Expire(now time.Time)
	// PendingUpdates returns the updates to send next, the least often sent first.
	PendingUpdates() []chivegauge.Member
	// Member returns the member at the address, or false if it is unknown.
	Member(address string) (chivegauge.Member, bool)
	// Members returns all known members, including the node itself, sorted by address.
	Members() []chivegauge.Member
	// Service returns the members of a service.
	Service(name string) []chivegauge.Member
	// Target returns the next member to exchange heartbeats with.
	Target(random func(n int) int) (chivegauge.Member, bool)
	// DeadTarget returns a random member that is marked dead.
	DeadTarget(random func(n int) int) (chivegauge.Member, bool)
}

type record struct {
	member chivegauge.Member
	since  time.Time // the last change of the member
	sends  int       // how often the update has been sent
}

type table struct {
	self      chivegauge.Member
	timeout   time.Duration
	records   map[string]*record
	targets   []string
	byService map[string][]chivegauge.Member
}

// NewTable returns a table with only the node itself; suspect members are marked dead after the timeout.
func NewTable(now time.Time, self chivegauge.Member, timeout time.Duration) Table {
	t := &table{
		self:    self,
		timeout: timeout,
		records: map[string]*record{},
	}
	t.set(now, self)
	return t
}

// Self returns the node's own member.
func (t *table) Self() chivegauge.Member {
	return t.self
}

// SetState sets the node's own state.
func (t *table) SetState(now time.Time, s chivegauge.MemberState) {
	t.self = t.self.WithIncarnation(t.self.Incarnation + 1).WithState(s)
	t.set(now, t.self)
}

// Apply applies an update; an update that overrides the node's own state is refuted at a higher incarnation.
func (t *table) Apply(now time.Time, m chivegauge.Member) bool {
	if m.Address == t.self.Address {
		return t.refute(now, m)
	}
	r := t.records[m.Address]
	if r == nil && len(t.records) >= membersMax {
		return false
	}
	if r != nil && !m.Overrides(r.member) {
		return false
	}
	t.set(now, m)
	return true
}

func (t *table) refute(now time.Time, m chivegauge.Member) bool {
	if m == t.self || !m.Overrides(t.self) {
		return false
	}
	t.self = t.self.WithIncarnation(m.Incarnation + 1)
	t.set(now, t.self)
	return true
}

func (t *table) set(now time.Time, m chivegauge.Member) {
	t.records[m.Address] = &record{
		member: m,
		since:  now,
	}
	t.byService = nil
}

// Suspect marks a member that did not respond as suspect; a draining member is marked dead at once.
func (t *table) Suspect(now time.Time, address string) {
	r := t.records[address]
	if r == nil || (r.member.State != chivegauge.Alive && r.member.State != chivegauge.Draining) {
		return
	}
	if r.member.State == chivegauge.Draining {
		t.set(now, r.member.WithState(chivegauge.Dead))
		return
	}
	t.set(now, r.member.WithState(chivegauge.Suspect))
}

// Expire marks members dead that were suspect for the timeout, and removes dead and left ones after deadRetention.
func (t *table) Expire(now time.Time) {
	for address, r := range t.records {
		age := now.Sub(r.since)
		if r.member.State == chivegauge.Suspect && age >= t.timeout {
			t.set(now, r.member.WithState(chivegauge.Dead))
		}
		if r.member.State >= chivegauge.Left && age >= deadRetention {
			delete(t.records, address)
			t.byService = nil
		}
	}
}

// PendingUpdates returns a few updates that have not been sent often enough to reach all members; the number of times
// that each update is sent grows with the logarithm of the number of members.
func (t *table) PendingUpdates() []chivegauge.Member {
	sendsMax := 3 * bits.Len(uint(len(t.records)))
	pending := make([]*record, 0, updatesPerMessage)
	for _, r := range t.records {
		if r.sends < sendsMax {
			pending = append(pending, r)
		}
	}
	sort.Slice(pending, func(i, j int) bool { return pending[i].sends < pending[j].sends })
	pending = pending[:min(len(pending), updatesPerMessage)]
	updates := make([]chivegauge.Member, 0, len(pending))
	for _, r := range pending {
		r.sends++
		updates = append(updates, r.member)
	}
	return updates
}

// Member returns the member at the address, or false if it is unknown.
func (t *table) Member(address string) (chivegauge.Member, bool) {
	r := t.records[address]
	if r == nil {
		return chivegauge.Member{}, false
	}
	return r.member, true
}

// Members returns all known members, sorted by address.
func (t *table) Members() []chivegauge.Member {
	list := make([]chivegauge.Member, 0, len(t.records))
	for _, r := range t.records {
		list = append(list, r.member)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Address < list[j].Address })
	return list
}

// Service returns the members of a service; the caller must not modify the slice.
func (t *table) Service(name string) []chivegauge.Member {
	if t.byService == nil {
		t.byService = map[string][]chivegauge.Member{}
		for _, m := range t.Members() {
			t.byService[m.Service] = append(t.byService[m.Service], m)
		}
	}
	return t.byService[name]
}

// Target returns the next of the live members in a random order that is shuffled anew after each round, so that each
// member is contacted once a round.
func (t *table) Target(random func(n int) int) (chivegauge.Member, bool) {
	for range 2 {
		for len(t.targets) > 0 {
			address := t.targets[len(t.targets)-1]
			t.targets = t.targets[:len(t.targets)-1]
			if r := t.records[address]; r != nil && r.member.State < chivegauge.Left {
				return r.member, true
			}
		}
		t.shuffle(random)
	}
	return chivegauge.Member{}, false
}

func (t *table) shuffle(random func(n int) int) {
	for _, m := range t.Members() {
		if m.Address != t.self.Address && m.State < chivegauge.Left {
			t.targets = append(t.targets, m.Address)
		}
	}
	for i := len(t.targets) - 1; i > 0; i-- {
		j := random(i + 1)
		t.targets[i], t.targets[j] = t.targets[j], t.targets[i]
	}
}

// DeadTarget returns a random member that is marked dead, or false if there is none.
func (t *table) DeadTarget(random func(n int) int) (chivegauge.Member, bool) {
	lowest := math.MaxInt
	target := chivegauge.Member{}
	for _, m := range t.Members() {
		if m.State != chivegauge.Dead {
			continue
		}
		if n := random(math.MaxInt32); n < lowest {
			lowest = n
			target = m
		}
	}
	return target, lowest != math.MaxInt
}
