package recorder

import (
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
)

// The calls of the attempts' table.
const (
	CallSettings = "Settings"
	CallBegin    = "Begin"
	CallFinish   = "Finish"
	CallAsk      = "Ask"
	CallSweep    = "Sweep"
)

// AttemptSettings are the bounds of a recorded table.
type AttemptSettings struct {
	Retain   time.Duration
	Capacity int
	MaxBytes int
}

// Finish is a recorded end of an attempt, its answer by size alone.
type Finish struct {
	Attempt tracker.Attempt
	Bytes   int
}

type attempts struct {
	tracker.Tracker
	recorder Recorder
}

// Attempts returns a table that records each decision.
func Attempts(r Recorder, now time.Time, s AttemptSettings) tracker.Tracker {
	r.Record(now, PartAttempts, CallSettings, s, nil)
	return &attempts{
		Tracker:  tracker.New(s.Retain, s.Capacity, s.MaxBytes),
		recorder: r,
	}
}

// Begin records the state that an arriving attempt got.
func (a *attempts) Begin(now time.Time, at tracker.Attempt) tracker.State {
	state := a.Tracker.Begin(now, at)
	a.recorder.Record(now, PartAttempts, CallBegin, at, state)
	return state
}

// Finish records the end of an attempt.
func (a *attempts) Finish(now time.Time, at tracker.Attempt, answer chivegauge.Answer) {
	a.Tracker.Finish(now, at, answer)
	a.recorder.Record(now, PartAttempts, CallFinish, Finish{
		Attempt: at,
		Bytes:   len(answer.Body),
	}, nil)
}

// Query records what a sender was told of an attempt.
func (a *attempts) Query(now time.Time, at tracker.Attempt) (tracker.State, chivegauge.Answer) {
	state, answer := a.Tracker.Query(now, at)
	a.recorder.Record(now, PartAttempts, CallAsk, at, state)
	return state, answer
}

// Sweep records that old attempts were forgotten.
func (a *attempts) Sweep(now time.Time) {
	before := a.Len()
	a.Tracker.Sweep(now)
	if after := a.Len(); after != before {
		a.recorder.Record(now, PartAttempts, CallSweep, nil, after)
	}
}
