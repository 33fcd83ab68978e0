package chivegauge

import "github.com/cespare/xxhash/v2"

// MemberState is the condition of a member as its peers know it.
type MemberState int

// The states, in the order in which a later one overrides at equal incarnation.
const (
	Alive MemberState = iota
	Suspect
	Draining
	Left
	Dead
)

var memberStateNames = []string{"Alive", "Suspect", "Draining", "Left", "Dead"}

// String returns the name of the state.
func (s MemberState) String() string {
	if s < Alive || s > Dead {
		return "Unknown"
	}
	return memberStateNames[s]
}

// Member is a node and the backend server beside it, known by its peer address.
type Member struct {
	Address     string
	Service     string
	Zone        string
	Region      string
	Incarnation uint64
	State       MemberState
}

// WithState returns the member in another state.
func (m Member) WithState(s MemberState) Member {
	m.State = s
	return m
}

// WithIncarnation returns the member at another incarnation.
func (m Member) WithIncarnation(n uint64) Member {
	m.Incarnation = n
	return m
}

// Serving reports whether the member may be given new work.
func (m Member) Serving() bool {
	return m.State == Alive || m.State == Suspect
}

// Overrides reports whether the news about a member replaces what is known.
func (m Member) Overrides(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.State > known.State
}

const refutationBits = 16

// FirstIncarnation returns the incarnation of a process that started at the time, in milliseconds since 1970.
func FirstIncarnation(startMs int64) uint64 {
	return uint64(startMs) << refutationBits
}

// Succeeding returns the member with an incarnation above that of an earlier process at its address, whose clock may
// have been ahead.
func (m Member) Succeeding(earlier Member) Member {
	if m.Incarnation > earlier.Incarnation {
		return m
	}
	return m.WithIncarnation((earlier.Process() + 1) << refutationBits)
}

// Process returns the part of the incarnation that stays the same while a process lives.
func (m Member) Process() uint64 {
	return m.Incarnation >> refutationBits
}

// Weight returns the member's weight in the rendezvous hash of the key.
func (m Member) Weight(key string) uint64 {
	return xxhash.Sum64String(m.Address + "|" + key)
}

// Heaviest returns the member with the most weight for the key, self or one of the others that skip does not pass over.
func Heaviest(self Member, others []Member, key string, skip func(Member) bool) Member {
	best := self
	weight := self.Weight(key)
	for _, m := range others {
		if w := m.Weight(key); w > weight && !skip(m) {
			best = m
			weight = w
		}
	}
	return best
}
