package executor

import (
	"time"

	"github.com/chivegauge/chivegauge/internal/request/crashtracker"
)

// Report is the state that a process of the backend server reports about itself.
type Report struct {
	// Instance is the ID of the backend server; a restarted process may have the same one.
	Instance string

	// StartedAtMs is the start time of the process, in milliseconds since 1970.
	StartedAtMs int64

	// Sequence increases with each report of one process.
	Sequence uint64

	Service            string
	Address            string
	Slots              int
	Leaving            bool
	ColdStartRemaining time.Duration // remaining time of the cold start
}

// Newer reports whether the report is newer than another one: from a process that started later, or later from the
// same.
func (r Report) Newer(than Report) bool {
	if r.StartedAtMs != than.StartedAtMs {
		return r.StartedAtMs > than.StartedAtMs
	}
	return r.Sequence > than.Sequence
}

// SameProcess reports whether both reports are from the same process.
func (r Report) SameProcess(other Report) bool {
	return r.Instance == other.Instance && r.StartedAtMs == other.StartedAtMs
}

// Process returns the process that the report is from.
func (r Report) Process() crashtracker.BackendProcess {
	return crashtracker.BackendProcess{
		Instance:    r.Instance,
		StartedAtMs: r.StartedAtMs,
	}
}

// WithLeaving returns a copy of the report that says that the process is leaving.
func (r Report) WithLeaving() Report {
	r.Leaving = true
	return r
}
