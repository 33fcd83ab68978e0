package guardian

import "time"

// Report is what a backend server says of itself.
type Report struct {
	// Instance is the ID of the backend server; a later start may have the same.
	Instance string

	// Born is when this start of it began, in milliseconds since 1970.
	Born int64

	// Sequence increases with each report of one start.
	Sequence uint64

	Service  string
	Address  string
	Slots    int
	Leaving  bool
	ColdLeft time.Duration
}

// Newer reports whether the report is later than another: of a later start, or later in the same.
func (r Report) Newer(than Report) bool {
	if r.Born != than.Born {
		return r.Born > than.Born
	}
	return r.Sequence > than.Sequence
}

// SameStart reports whether both reports are of one start of one backend server.
func (r Report) SameStart(as Report) bool {
	return r.Instance == as.Instance && r.Born == as.Born
}

// WithLeaving returns the report of a backend server that leaves.
func (r Report) WithLeaving() Report {
	r.Leaving = true
	return r
}
