package guardian

import "time"

// Report is the state that a process of the backend server reports about itself.
type Report struct {
	// Instance is the ID of the backend server; a restarted process may have the same one.
	Instance string

	// Born is the start time of the process, in milliseconds since 1970.
	Born int64

	// Sequence increases with each report of one process.
	Sequence uint64

	Service  string
	Address  string
	Slots    int
	Leaving  bool
	ColdLeft time.Duration // remaining time of the cold start
}

// Newer reports whether the report is newer than another one: from a process that started later, or later from the same.
func (r Report) Newer(than Report) bool {
	if r.Born != than.Born {
		return r.Born > than.Born
	}
	return r.Sequence > than.Sequence
}

// SameStart reports whether both reports are from the same process.
func (r Report) SameStart(other Report) bool {
	return r.Instance == other.Instance && r.Born == other.Born
}

// WithLeaving returns a copy of the report that says that the process is leaving.
func (r Report) WithLeaving() Report {
	r.Leaving = true
	return r
}
