package gossiper

import (
	"math"
	"math/bits"
	"sort"
	"time"

	"github.com/chivegauge/chivegauge"
)

const (
	newsPerMessage = 8
	deadRetention  = time.Hour
	membersMax     = 10000
)

// Table is the membership as one node knows it; it is not safe for concurrent use.
type Table interface {
	// Self returns the node's own member.
	Self() chivegauge.Member
	// SetState sets the node's own state, as news at a higher incarnation.
	SetState(now time.Time, s chivegauge.MemberState)
	// Apply takes in what a peer says of a member and reports whether it was news.
	Apply(now time.Time, m chivegauge.Member) bool
	// Suspect marks a member that did not answer.
	Suspect(now time.Time, address string)
	// Expire declares those dead that were suspect for longer than the timeout, and forgets the long dead.
	Expire(now time.Time)
	// News returns the changes to send on, the least sent first.
	News() []chivegauge.Member
	// Member returns what is known of the member at the address, or false.
	Member(address string) (chivegauge.Member, bool)
	// Members returns all members known, the node's own included, by address.
	Members() []chivegauge.Member
	// Service returns the members of a service.
	Service(name string) []chivegauge.Member
	// Target returns the next member to exchange heartbeats with.
	Target(random func(n int) int) (chivegauge.Member, bool)
	// DeadTarget returns a random member that is taken for dead.
	DeadTarget(random func(n int) int) (chivegauge.Member, bool)
}

type record struct {
	member chivegauge.Member
	since  time.Time
	sent   int
}

type table struct {
	self    chivegauge.Member
	timeout time.Duration
	records map[string]*record
	ring    []string
	byName  map[string][]chivegauge.Member
}

// NewTable returns a table that holds the node itself; suspects are dead after the timeout.
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

// Apply takes in news; bad news of the node itself is refuted at a higher incarnation.
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
	t.byName = nil
}

// Suspect marks a member that did not answer.
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

// Expire declares suspects dead and forgets the long dead.
func (t *table) Expire(now time.Time) {
	for address, r := range t.records {
		age := now.Sub(r.since)
		if r.member.State == chivegauge.Suspect && age >= t.timeout {
			t.set(now, r.member.WithState(chivegauge.Dead))
		}
		if r.member.State >= chivegauge.Left && age >= deadRetention {
			delete(t.records, address)
			t.byName = nil
		}
	}
}

// News returns a few changes that were not yet sent often enough to reach everybody.
func (t *table) News() []chivegauge.Member {
	enough := 3 * bits.Len(uint(len(t.records)))
	fresh := make([]*record, 0, newsPerMessage)
	for _, r := range t.records {
		if r.sent < enough {
			fresh = append(fresh, r)
		}
	}
	sort.Slice(fresh, func(i, j int) bool { return fresh[i].sent < fresh[j].sent })
	fresh = fresh[:min(len(fresh), newsPerMessage)]
	news := make([]chivegauge.Member, 0, len(fresh))
	for _, r := range fresh {
		r.sent++
		news = append(news, r.member)
	}
	return news
}

// Member returns what is known of the member at the address.
func (t *table) Member(address string) (chivegauge.Member, bool) {
	r := t.records[address]
	if r == nil {
		return chivegauge.Member{}, false
	}
	return r.member, true
}

// Members returns all members by address.
func (t *table) Members() []chivegauge.Member {
	list := make([]chivegauge.Member, 0, len(t.records))
	for _, r := range t.records {
		list = append(list, r.member)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Address < list[j].Address })
	return list
}

// Service returns the members of a service; the list must not be changed.
func (t *table) Service(name string) []chivegauge.Member {
	if t.byName == nil {
		t.byName = map[string][]chivegauge.Member{}
		for _, m := range t.Members() {
			t.byName[m.Service] = append(t.byName[m.Service], m)
		}
	}
	return t.byName[name]
}

// Target walks a shuffled ring of the living, so that each is reached once a round.
func (t *table) Target(random func(n int) int) (chivegauge.Member, bool) {
	for range 2 {
		for len(t.ring) > 0 {
			address := t.ring[len(t.ring)-1]
			t.ring = t.ring[:len(t.ring)-1]
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
			t.ring = append(t.ring, m.Address)
		}
	}
	for i := len(t.ring) - 1; i > 0; i-- {
		j := random(i + 1)
		t.ring[i], t.ring[j] = t.ring[j], t.ring[i]
	}
}

// DeadTarget returns a random member that is taken for dead.
func (t *table) DeadTarget(random func(n int) int) (chivegauge.Member, bool) {
	best := math.MaxInt
	found := chivegauge.Member{}
	for _, m := range t.Members() {
		if m.State != chivegauge.Dead {
			continue
		}
		if n := random(math.MaxInt32); n < best {
			best = n
			found = m
		}
	}
	return found, best != math.MaxInt
}
