package registrar

import (
	"net/netip"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/crashtracker"
	"github.com/go-faster/errors"
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

// Process returns the process of the backend server that reported last.
func (r Record) Process() crashtracker.BackendProcess {
	return crashtracker.BackendProcess{
		Instance:    r.Instance,
		StartedAtMs: r.StartedAtMs,
	}
}

// Departed reports whether the record says that the process of the backend server is leaving, which is final; a process
// of the same instance that started earlier has left, too.
func (r Record) Departed(p crashtracker.BackendProcess) bool {
	return r.Leaving && r.Instance == p.Instance && p.StartedAtMs <= r.StartedAtMs
}

// processTimeMax is how far in the future the start time of a node's process may be, by its own clock.
const processTimeMax = 24 * time.Hour

// Validate returns an error if no node can have written the record: other writers may leave entries of their own.
func (r Record) Validate(now time.Time) error {
	address, err := netip.ParseAddrPort(r.Member.Address)
	switch {
	case err != nil:
		return errors.Wrap(err, "address")
	case address.Port() == 0:
		return errors.New("the port is 0")
	case r.Member.State < chivegauge.Alive || r.Member.State > chivegauge.Dead:
		return errors.Errorf("state %d is unknown", r.Member.State)
	case r.Member.Process() > uint64(now.Add(processTimeMax).UnixMilli()):
		return errors.New("the process started in the future")
	default:
		return nil
	}
}

// Newer reports whether the record replaces another one of the same address.
func (r Record) Newer(than Record) bool {
	if r.Member.Incarnation != than.Member.Incarnation {
		return r.Member.Incarnation > than.Member.Incarnation
	}
	return r.Change > than.Change
}

// WithDepartureOf returns the record with the departure that an older record of its address holds, unless a later process of
// the backend server has reported.
func (r Record) WithDepartureOf(old Record) Record {
	switch {
	case !old.Leaving:
		return r
	case r.Instance == "":
		r.Instance = old.Instance
		r.StartedAtMs = old.StartedAtMs
		r.Sequence = old.Sequence
	case !old.Departed(r.Process()):
		return r
	}
	return r.WithLeaving()
}

// WithLeaving returns the record with the backend server leaving.
func (r Record) WithLeaving() Record {
	r.Leaving = true
	return r
}

// WithState returns the record with the node in another state.
func (r Record) WithState(s chivegauge.MemberState) Record {
	r.Member = r.Member.WithState(s)
	return r
}
