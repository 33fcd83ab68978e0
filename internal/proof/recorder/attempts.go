package recorder

import (
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
)

// The recorded calls of a tracker.
const (
	CallSettings = "Settings"
	CallBegin    = "Begin"
	CallFinish   = "Finish"
	CallQuery    = "Ask"
	CallSweep    = "Sweep"
)

// AttemptSettings are the bounds of a recorded tracker, the parameters of tracker.New.
type AttemptSettings struct {
	Retain   time.Duration
	Capacity int
	MaxBytes int
}

// Finish is the recorded end of an attempt, with the size of its response body in place of the response.
type Finish struct {
	Attempt tracker.Attempt
	Bytes   int
}

type recordingTracker struct {
	tracker.Tracker
	recorder Recorder
}

// NewTracker returns an empty tracker that records each decision, starting with the settings.
func NewTracker(r Recorder, now time.Time, s AttemptSettings) tracker.Tracker {
	r.Record(now, PartAttempts, CallSettings, s, nil)
	return &recordingTracker{
		Tracker:  tracker.New(s.Retain, s.Capacity, s.MaxBytes),
		recorder: r,
	}
}

// Begin records the state returned for an arriving attempt.
func (t *recordingTracker) Begin(now time.Time, at tracker.Attempt) tracker.State {
	state := t.Tracker.Begin(now, at)
	t.recorder.Record(now, PartAttempts, CallBegin, at, state)
	return state
}

// Finish records the end of an attempt.
func (t *recordingTracker) Finish(now time.Time, at tracker.Attempt, res chivegauge.Response) {
	t.Tracker.Finish(now, at, res)
	t.recorder.Record(now, PartAttempts, CallFinish, Finish{
		Attempt: at,
		Bytes:   len(res.Body),
	}, nil)
}

// Query records the state of an attempt that is reported to its sender.
func (t *recordingTracker) Query(now time.Time, at tracker.Attempt) (tracker.State, chivegauge.Response) {
	state, res := t.Tracker.Query(now, at)
	t.recorder.Record(now, PartAttempts, CallQuery, at, state)
	return state, res
}

// Sweep records a sweep if it evicted attempts.
func (t *recordingTracker) Sweep(now time.Time) {
	before := t.Len()
	t.Tracker.Sweep(now)
	if after := t.Len(); after != before {
		t.recorder.Record(now, PartAttempts, CallSweep, nil, after)
	}
}
