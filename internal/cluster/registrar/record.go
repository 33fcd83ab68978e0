package registrar

import "github.com/chivegauge/chivegauge"

// Record is what one node says of itself and of the backend server beside it.
type Record struct {
	Member chivegauge.Member

	// Change increases with each change that one process makes to its record.
	Change uint64

	// Instance, Born and Sequence tell the last report of the backend server.
	Instance string
	Born     int64
	Sequence uint64

	// Slots is the number of runs that the backend server allows at once.
	Slots int

	// Leaving says that the backend server takes no new work.
	Leaving bool
}

// Newer reports whether the record replaces another of the same address.
func (r Record) Newer(than Record) bool {
	if r.Member.Incarnation != than.Member.Incarnation {
		return r.Member.Incarnation > than.Member.Incarnation
	}
	return r.Change > than.Change
}

// WithState returns the record of a node in another state.
func (r Record) WithState(s chivegauge.MemberState) Record {
	r.Member = r.Member.WithState(s)
	return r
}
