package tracker

import (
	"container/list"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
)

// State is what is known of an attempt.
type State int

// The states of an attempt.
const (
	// Fresh is an attempt seen for the first time; it may run now.
	Fresh State = iota
	// Running is an attempt that runs or waits to run.
	Running
	// Finished is an attempt whose answer is kept.
	Finished
	// Forgotten is an attempt that finished and whose answer is no longer kept.
	Forgotten
	// Forbidden is an attempt that its sender was told did not run.
	Forbidden
)

// Tracker is the table of attempts; it is not safe for concurrent use.
type Tracker interface {
	// Begin takes in an arriving attempt; only Fresh may run.
	Begin(now time.Time, a Attempt) State
	// Finish keeps the answer of a running attempt.
	Finish(now time.Time, a Attempt, answer chivegauge.Answer)
	// Ask returns the state of an attempt; one never seen is Forbidden from then on.
	Ask(now time.Time, a Attempt) (State, chivegauge.Answer)
	// Sweep forgets what is older than the retention.
	Sweep(now time.Time)
	// Len returns the number of attempts kept.
	Len() int
}

type entry struct {
	attempt Attempt
	state   State
	at      time.Time
	answer  chivegauge.Answer
	ran     int
}

type tracker struct {
	retain   time.Duration
	maxBytes int
	capacity int
	bytes    int
	entries  map[Attempt]*list.Element
	order    *list.List
	floors   map[string]uint64
}

// New returns an empty tracker that keeps at most capacity attempts and maxBytes of
// answers, each for the time retain after its end.
func New(retain time.Duration, capacity, maxBytes int) Tracker {
	return &tracker{
		retain:   retain,
		maxBytes: maxBytes,
		capacity: capacity,
		entries:  map[Attempt]*list.Element{},
		order:    list.New(),
		floors:   map[string]uint64{},
	}
}

// Len returns the number of attempts kept.
func (t *tracker) Len() int {
	return len(t.entries)
}

// Begin returns Fresh exactly once for an attempt, and never after a Forbidden.
func (t *tracker) Begin(now time.Time, a Attempt) State {
	if e := t.entry(a); e != nil {
		return e.state
	}
	if a.Sequence <= t.floors[a.Sender] {
		return Forgotten
	}
	e := t.add(now, a, Running)
	e.ran++
	asserter.Check(asserter.OneRunPerAttempt, e.ran == 1)
	return Fresh
}

// Finish keeps the answer of a running attempt.
func (t *tracker) Finish(now time.Time, a Attempt, answer chivegauge.Answer) {
	e := t.entry(a)
	if e == nil {
		return
	}
	asserter.Check(asserter.NotRunStaysNotRun, e.state != Forbidden)
	e.state = Finished
	e.at = now
	e.answer = answer
	t.bytes += len(answer.Body)
	t.order.MoveToBack(t.entries[a])
	t.shrink()
}

// Ask returns the state of an attempt and forbids one never seen.
func (t *tracker) Ask(now time.Time, a Attempt) (State, chivegauge.Answer) {
	if e := t.entry(a); e != nil {
		return e.state, e.answer
	}
	if a.Sequence <= t.floors[a.Sender] {
		return Forgotten, chivegauge.Answer{}
	}
	t.add(now, a, Forbidden)
	return Forbidden, chivegauge.Answer{}
}

// Sweep forgets what ended longer ago than the retention.
func (t *tracker) Sweep(now time.Time) {
	for el := t.order.Front(); el != nil; {
		next := el.Next()
		e := el.Value.(*entry)
		if e.state != Running {
			if now.Sub(e.at) < t.retain {
				return
			}
			t.forget(el)
		}
		el = next
	}
}

func (t *tracker) entry(a Attempt) *entry {
	el := t.entries[a]
	if el == nil {
		return nil
	}
	return el.Value.(*entry)
}

func (t *tracker) add(now time.Time, a Attempt, s State) *entry {
	e := &entry{
		attempt: a,
		state:   s,
		at:      now,
	}
	t.entries[a] = t.order.PushBack(e)
	t.shrink()
	return e
}

// shrink forgets the oldest ended attempts until the table is within its bounds.
func (t *tracker) shrink() {
	for el := t.order.Front(); el != nil && (len(t.entries) > t.capacity || t.bytes > t.maxBytes); {
		next := el.Next()
		if el.Value.(*entry).state != Running {
			t.forget(el)
		}
		el = next
	}
}

// forget drops an ended attempt; the floor keeps it and older ones of its sender from running later.
func (t *tracker) forget(el *list.Element) {
	e := el.Value.(*entry)
	t.raise(e.attempt)
	t.bytes -= len(e.answer.Body)
	delete(t.entries, e.attempt)
	t.order.Remove(el)
}

// raise keeps the attempt and older ones of its sender from running later. Each start of a node
// is a sender of its own, so the bound holds the senders of several weeks.
func (t *tracker) raise(a Attempt) {
	if _, ok := t.floors[a.Sender]; !ok && len(t.floors) >= sendersMax {
		for sender := range t.floors {
			delete(t.floors, sender)
			break
		}
	}
	t.floors[a.Sender] = max(t.floors[a.Sender], a.Sequence)
}

const sendersMax = 50000
