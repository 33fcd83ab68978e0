package tracker

import (
	"container/list"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
)

// sendersMax is the maximum number of senders with a watermark. Each process of a node is a separate sender, so the
// limit covers the senders of several weeks.
const sendersMax = 50000

// State is the state of an attempt.
type State int

// The states of an attempt.
const (
	// Unseen is an attempt seen for the first time; it may run now.
	Unseen State = iota
	// Running is an attempt that runs or is queued.
	Running
	// Finished is an attempt whose response is kept.
	Finished
	// Evicted is an attempt that has ended and whose response is no longer kept.
	Evicted
	// Forbidden is an attempt that was reported to its sender as not run; it must not run anymore.
	Forbidden
)

// Tracker is a table of attempts; it is not safe for concurrent use.
type Tracker interface {
	// Begin records an arriving attempt and returns its state; the caller may run it only if the state is Unseen.
	Begin(now time.Time, a Attempt) State
	// Finish stores the response of a running attempt.
	Finish(now time.Time, a Attempt, response chivegauge.Response)
	// Query returns the state of an attempt and its response if it is Finished; an attempt that has not arrived becomes
	// Forbidden.
	Query(now time.Time, a Attempt) (State, chivegauge.Response)
	// Sweep evicts the attempts that ended longer ago than the retention.
	Sweep(now time.Time)
	// Len returns the number of attempts in the table.
	Len() int
}

type entry struct {
	attempt   Attempt
	state     State
	updatedAt time.Time
	response  chivegauge.Response
	runs      int
}

// tracker keeps the attempts in the order of their last update, the oldest first, and for each sender a watermark: the
// highest sequence number evicted.
type tracker struct {
	retention  time.Duration
	maxBytes   int
	capacity   int
	bytes      int
	entries    map[Attempt]*list.Element
	order      *list.List
	watermarks map[string]uint64
}

// New returns an empty tracker that keeps at most capacity attempts and maxBytes bytes of response bodies, each for the
// retention after its attempt ended; running attempts are never evicted.
func New(retention time.Duration, capacity, maxBytes int) Tracker {
	return &tracker{
		retention:  retention,
		maxBytes:   maxBytes,
		capacity:   capacity,
		entries:    map[Attempt]*list.Element{},
		order:      list.New(),
		watermarks: map[string]uint64{},
	}
}

// Len returns the number of attempts in the table.
func (t *tracker) Len() int {
	return len(t.entries)
}

// Begin returns Unseen at most once for an attempt, and never after Query has returned Forbidden for it.
func (t *tracker) Begin(now time.Time, a Attempt) State {
	if e := t.entry(a); e != nil {
		return e.state
	}
	if a.Sequence <= t.watermarks[a.Sender] {
		return Evicted
	}
	e := t.add(now, a, Running)
	e.runs++
	asserter.Check(asserter.OneRunPerAttempt, e.runs == 1)
	return Unseen
}

// Finish stores the response of a running attempt.
func (t *tracker) Finish(now time.Time, a Attempt, response chivegauge.Response) {
	e := t.entry(a)
	if e == nil {
		return
	}
	asserter.Check(asserter.NotRunStaysNotRun, e.state != Forbidden)
	e.state = Finished
	e.updatedAt = now
	e.response = response
	t.bytes += len(response.Body)
	t.order.MoveToBack(t.entries[a])
	t.enforceLimits()
}

// Query returns the state of an attempt; an attempt that has not arrived becomes Forbidden.
func (t *tracker) Query(now time.Time, a Attempt) (State, chivegauge.Response) {
	if e := t.entry(a); e != nil {
		return e.state, e.response
	}
	if a.Sequence <= t.watermarks[a.Sender] {
		return Evicted, chivegauge.Response{}
	}
	t.add(now, a, Forbidden)
	return Forbidden, chivegauge.Response{}
}

// Sweep evicts the attempts that ended longer ago than the retention.
func (t *tracker) Sweep(now time.Time) {
	for el := t.order.Front(); el != nil; {
		next := el.Next()
		e := el.Value.(*entry)
		if e.state != Running {
			if now.Sub(e.updatedAt) < t.retention {
				return
			}
			t.evict(el)
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
		attempt:   a,
		state:     s,
		updatedAt: now,
	}
	t.entries[a] = t.order.PushBack(e)
	t.enforceLimits()
	return e
}

// enforceLimits evicts the oldest ended attempts until the table is within its capacity and maxBytes.
func (t *tracker) enforceLimits() {
	for el := t.order.Front(); el != nil && (len(t.entries) > t.capacity || t.bytes > t.maxBytes); {
		next := el.Next()
		if el.Value.(*entry).state != Running {
			t.evict(el)
		}
		el = next
	}
}

// evict removes an ended attempt; the watermark prevents a later run of it and of older attempts of its sender.
func (t *tracker) evict(el *list.Element) {
	e := el.Value.(*entry)
	t.raiseWatermark(e.attempt)
	t.bytes -= len(e.response.Body)
	delete(t.entries, e.attempt)
	t.order.Remove(el)
}

// raiseWatermark prevents a later run of the attempt and of older attempts of its sender.
func (t *tracker) raiseWatermark(a Attempt) {
	if _, ok := t.watermarks[a.Sender]; !ok && len(t.watermarks) >= sendersMax {
		for sender := range t.watermarks {
			delete(t.watermarks, sender)
			break
		}
	}
	t.watermarks[a.Sender] = max(t.watermarks[a.Sender], a.Sequence)
}
