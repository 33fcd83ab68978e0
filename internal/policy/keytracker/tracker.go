package keytracker

import (
	"container/list"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
)

// State is the state of a key.
type State int

// The states of a key.
const (
	// Unseen is a key without a record, whose request may run.
	Unseen State = iota
	// Running is a key whose request is running.
	Running
	// Answered is a key whose response is stored.
	Answered
	// OutcomeUnknown is a key whose request may have run, but whose response is not stored.
	OutcomeUnknown
	// Moved is a key that another node was allowed to run.
	Moved
	// Mismatched is a key that was used before with a different request.
	Mismatched
	// Full is the state of a key that can't be recorded because the table is full.
	Full
)

// Record is the record of one key.
type Record struct {
	Key         string
	Fingerprint uint64
	State       State
	Response    chivegauge.Response

	updated time.Time
	runs    int
}

// Tracker is a bounded table of idempotency keys; it is not safe for concurrent use.
type Tracker interface {
	// Lookup returns the record of a key, or a new one that isn't added to the table if the key has none.
	Lookup(now time.Time, key string, fingerprint uint64) Record
	// Begin records a key without a record as running, and returns the record from before; the caller may run the request
	// only if the key had none.
	Begin(now time.Time, key string, fingerprint uint64) Record
	// Finish stores the outcome of a running key; if the request did not run, the record is removed.
	Finish(now time.Time, key string, response chivegauge.Response)
	// MarkMoved reports whether the key has a record here; if not, it records the key as Moved, so that another node may
	// run it.
	MarkMoved(now time.Time, key string) bool
	// Import adds a record that another node handed over, unless the key has one here.
	Import(now time.Time, r Record)
	// Records returns all records that are not Moved.
	Records() []Record
	// Sweep removes the records that were last updated more than the retention ago, except running ones.
	Sweep(now time.Time)
}

type tracker struct {
	retention     time.Duration
	capacity      int
	maxBytes      int
	responseBytes int
	records       map[string]*list.Element
	order         *list.List
}

// New returns an empty table of at most capacity keys and maxBytes of response
// bodies, which keeps each record for the retention after its last update.
func New(retention time.Duration, capacity, maxBytes int) Tracker {
	return &tracker{
		retention: retention,
		capacity:  capacity,
		maxBytes:  maxBytes,
		records:   map[string]*list.Element{},
		order:     list.New(),
	}
}

func (t *tracker) record(key string) *Record {
	el := t.records[key]
	if el == nil {
		return nil
	}
	return el.Value.(*Record)
}

// Lookup returns the record of a key.
func (t *tracker) Lookup(now time.Time, key string, fingerprint uint64) Record {
	t.Sweep(now)
	rec := t.record(key)
	if rec == nil {
		return Record{
			Key:   key,
			State: Unseen,
		}
	}
	found := *rec
	if rec.State != Moved && rec.Fingerprint != fingerprint {
		found.State = Mismatched
	}
	return found
}

// Begin records a key without a record as running.
func (t *tracker) Begin(now time.Time, key string, fingerprint uint64) Record {
	found := t.Lookup(now, key, fingerprint)
	if found.State != Unseen {
		return found
	}
	if len(t.records) >= t.capacity {
		found.State = Full
		return found
	}
	rec := &Record{
		Key:         key,
		Fingerprint: fingerprint,
		State:       Running,
		updated:     now,
		runs:        1,
	}
	t.records[key] = t.order.PushBack(rec)
	return found
}

// Finish stores the outcome of a running key.
func (t *tracker) Finish(now time.Time, key string, response chivegauge.Response) {
	rec := t.record(key)
	if rec == nil || rec.State != Running {
		return
	}
	asserter.Check(asserter.OneRunPerAttempt, rec.runs == 1)
	if response.Refusal != nil && response.Refusal.Run == chivegauge.NotRun {
		t.remove(key)
		return
	}
	t.complete(now, rec, response)
}

// complete stores the response, or that the outcome is unknown if it is a refusal.
func (t *tracker) complete(now time.Time, rec *Record, response chivegauge.Response) {
	rec.updated = now
	t.order.MoveToBack(t.records[rec.Key])
	rec.State = Answered
	if response.Refusal != nil {
		rec.State = OutcomeUnknown
	}
	rec.Response = response
	t.responseBytes += len(response.Body)
	t.evictResponses()
}

// evictResponses removes the oldest responses until they are within maxBytes; their keys stay, with an unknown outcome.
func (t *tracker) evictResponses() {
	for el := t.order.Front(); el != nil && t.responseBytes > t.maxBytes; el = el.Next() {
		rec := el.Value.(*Record)
		if rec.State != Answered {
			continue
		}
		t.responseBytes -= len(rec.Response.Body)
		rec.Response = chivegauge.Response{}
		rec.State = OutcomeUnknown
	}
}

func (t *tracker) remove(key string) {
	el := t.records[key]
	t.responseBytes -= len(el.Value.(*Record).Response.Body)
	t.order.Remove(el)
	delete(t.records, key)
}

// MarkMoved records a key without a record here as Moved.
func (t *tracker) MarkMoved(now time.Time, key string) bool {
	t.Sweep(now)
	if rec := t.record(key); rec != nil && rec.State != Moved {
		return true
	}
	if t.record(key) != nil {
		t.remove(key)
	}
	rec := &Record{
		Key:     key,
		State:   Moved,
		updated: now,
	}
	t.records[key] = t.order.PushBack(rec)
	return false
}

// Import adds a record that another node handed over; a record that exists here has precedence.
func (t *tracker) Import(now time.Time, rec Record) {
	if existing := t.record(rec.Key); existing != nil && existing.State != Moved {
		return
	}
	if t.record(rec.Key) != nil {
		t.remove(rec.Key)
	}
	imported := rec
	imported.updated = now
	if imported.State == Running {
		imported.State = OutcomeUnknown
	}
	t.records[rec.Key] = t.order.PushBack(&imported)
	t.responseBytes += len(imported.Response.Body)
	t.evictResponses()
}

// Records returns all records that are not Moved.
func (t *tracker) Records() []Record {
	records := make([]Record, 0, len(t.records))
	for el := t.order.Front(); el != nil; el = el.Next() {
		if rec := el.Value.(*Record); rec.State != Moved {
			records = append(records, *rec)
		}
	}
	return records
}

// Sweep removes the records older than the retention, except running ones.
func (t *tracker) Sweep(now time.Time) {
	for el := t.order.Front(); el != nil; {
		next := el.Next()
		rec := el.Value.(*Record)
		if rec.State != Running {
			if now.Sub(rec.updated) < t.retention {
				return
			}
			t.remove(rec.Key)
		}
		el = next
	}
}
