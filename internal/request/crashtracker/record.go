package crashtracker

import "time"

// record holds the counters of a request; lastCrash is when this node learned of the last crash, and lastTrial when it
// last admitted the request on trial.
type record struct {
	counters  Counters
	lastCrash time.Time
	lastTrial time.Time
}

// request returns the record as it is reported.
func (r record) request() Request {
	return Request{
		Counters:    r.counters,
		LastCrashMs: r.lastCrash.UnixMilli(),
	}
}
