package chivegauge

import "github.com/cespare/xxhash/v2"

// MemberState is the state of a member in the membership tables of its peers.
type MemberState int

// The states, in the order of precedence: at equal incarnation, a later one overrides an earlier one.
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

// Member is a node with the backend server beside it, identified by its peer address.
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

// Serving reports whether new requests may be sent to the member.
func (m Member) Serving() bool {
	return m.State == Alive || m.State == Suspect
}

// Overrides reports whether the update m replaces the known entry of the same member.
func (m Member) Overrides(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.State > known.State
}

// refutationBits is the number of low bits of an incarnation that count the refutations and state changes of a process.
const refutationBits = 16

// FirstIncarnation returns the first incarnation of a process with the start time in milliseconds since the Unix epoch.
func FirstIncarnation(startMs int64) uint64 {
	return uint64(startMs) << refutationBits
}

// WithIncarnationAbove returns the member with an incarnation above that of an earlier process at its address, whose
// incarnation may be the higher one if its clock was ahead.
func (m Member) WithIncarnationAbove(earlier Member) Member {
	if m.Incarnation > earlier.Incarnation {
		return m
	}
	return m.WithIncarnation((earlier.Process() + 1) << refutationBits)
}

// Process returns the part of the incarnation that stays the same as long as the process runs.
func (m Member) Process() uint64 {
	return m.Incarnation >> refutationBits
}

// Weight returns the member's weight for the key in rendezvous hashing.
func (m Member) Weight(key string) uint64 {
	h := xxhash.Digest{}
	h.Reset()
	_, _ = h.WriteString(m.Address)
	_, _ = h.WriteString("|")
	_, _ = h.WriteString(key)
	return h.Sum64()
}

// Heaviest returns the member with the highest weight for the key, among self and those others for which skip returns
// false.
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
