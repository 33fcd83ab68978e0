package registrar

import (
	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/crashtracker"
)

// Record describes one node and its backend server; only that node writes it.
type Record struct {
	Member chivegauge.Member

	// Change counts the changes that one process made to its record.
	Change uint64

	// Instance, StartedAtMs and Sequence identify the last report of the backend server; StartedAtMs is the start time
	// of its process, in ms since 1970.
	Instance    string
	StartedAtMs int64 `json:"Born"`
	Sequence    uint64

	// Slots is the number of requests that the backend server runs at once.
	Slots int

	// Refused holds refused requests, so that they stay refused if all nodes are restarted.
	Refused crashtracker.Requests `json:",omitempty"`

	// Leaving is set when the backend server accepts no new requests.
	Leaving bool
}

// Newer reports whether the record replaces another one of the same address.
func (r Record) Newer(than Record) bool {
	if r.Member.Incarnation != than.Member.Incarnation {
		return r.Member.Incarnation > than.Member.Incarnation
	}
	return r.Change > than.Change
}

// WithState returns the record with the node in another state.
func (r Record) WithState(s chivegauge.MemberState) Record {
	r.Member = r.Member.WithState(s)
	return r
}
