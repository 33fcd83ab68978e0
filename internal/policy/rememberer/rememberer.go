package rememberer

import (
	"container/list"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
)

// Verdict is what is known of a key.
type Verdict int

// The verdicts.
const (
	// Fresh is a key that may run now; it runs from then on.
	Fresh Verdict = iota
	// Running is a key whose request runs.
	Running
	// Answered is a key whose answer is kept.
	Answered
	// Uncertain is a key whose request may have run, without an answer kept.
	Uncertain
	// Moved is a key that another node was allowed to run.
	Moved
	// Mismatched is a key that came before with another request.
	Mismatched
	// Full means that no further key can be remembered now.
	Full
)

// Record is what is remembered of one key.
type Record struct {
	Key         string
	Fingerprint uint64
	Verdict     Verdict
	Answer      chivegauge.Answer

	at   time.Time
	runs int
}

// Rememberer is a bounded table of keys; it is not safe for concurrent use.
type Rememberer interface {
	// Look returns what is known of a key, Fresh for nothing, and changes nothing.
	Look(now time.Time, key string, fingerprint uint64) Record
	// Begin marks an unknown key as running; it returns Fresh only to the one that may run it.
	Begin(now time.Time, key string, fingerprint uint64) Record
	// Finish keeps the outcome of a running key; one that did not run is forgotten.
	Finish(now time.Time, key string, a chivegauge.Answer)
	// Yield lets another node run a key that is unknown here, and reports whether the key was known.
	Yield(now time.Time, key string) bool
	// Take adds a record that another node hands over.
	Take(now time.Time, r Record)
	// Records returns all records that are not Moved.
	Records() []Record
	// Sweep forgets keys older than the retention.
	Sweep(now time.Time)
}

type rememberer struct {
	retention time.Duration
	capacity  int
	maxBytes  int
	bytes     int
	records   map[string]*list.Element
	order     *list.List
}

// New returns an empty table of at most capacity keys and maxBytes of answers,
// each remembered for the retention after its last use.
func New(retention time.Duration, capacity, maxBytes int) Rememberer {
	return &rememberer{
		retention: retention,
		capacity:  capacity,
		maxBytes:  maxBytes,
		records:   map[string]*list.Element{},
		order:     list.New(),
	}
}

func (r *rememberer) record(key string) *Record {
	el := r.records[key]
	if el == nil {
		return nil
	}
	return el.Value.(*Record)
}

// Look returns what is known of a key.
func (r *rememberer) Look(now time.Time, key string, fingerprint uint64) Record {
	r.Sweep(now)
	rec := r.record(key)
	if rec == nil {
		return Record{
			Key:     key,
			Verdict: Fresh,
		}
	}
	found := *rec
	if rec.Verdict != Moved && rec.Fingerprint != fingerprint {
		found.Verdict = Mismatched
	}
	return found
}

// Begin marks an unknown key as running.
func (r *rememberer) Begin(now time.Time, key string, fingerprint uint64) Record {
	found := r.Look(now, key, fingerprint)
	if found.Verdict != Fresh {
		return found
	}
	if len(r.records) >= r.capacity {
		found.Verdict = Full
		return found
	}
	rec := &Record{
		Key:         key,
		Fingerprint: fingerprint,
		Verdict:     Running,
		at:          now,
		runs:        1,
	}
	r.records[key] = r.order.PushBack(rec)
	return found
}

// Finish keeps the outcome of a running key.
func (r *rememberer) Finish(now time.Time, key string, a chivegauge.Answer) {
	rec := r.record(key)
	if rec == nil || rec.Verdict != Running {
		return
	}
	asserter.Check(asserter.OneRunPerAttempt, rec.runs == 1)
	if a.Refusal != nil && a.Refusal.Run == chivegauge.NotRun {
		r.forget(key)
		return
	}
	r.settle(now, rec, a)
}

func (r *rememberer) settle(now time.Time, rec *Record, a chivegauge.Answer) {
	rec.at = now
	r.order.MoveToBack(r.records[rec.Key])
	rec.Verdict = Answered
	if a.Refusal != nil {
		rec.Verdict = Uncertain
	}
	rec.Answer = a
	r.bytes += len(a.Body)
	r.trim()
}

// trim drops the oldest answers until they are within the bound; their keys stay.
func (r *rememberer) trim() {
	for el := r.order.Front(); el != nil && r.bytes > r.maxBytes; el = el.Next() {
		rec := el.Value.(*Record)
		if rec.Verdict != Answered {
			continue
		}
		r.bytes -= len(rec.Answer.Body)
		rec.Answer = chivegauge.Answer{}
		rec.Verdict = Uncertain
	}
}

func (r *rememberer) forget(key string) {
	el := r.records[key]
	r.bytes -= len(el.Value.(*Record).Answer.Body)
	r.order.Remove(el)
	delete(r.records, key)
}

// Yield lets another node run a key that is unknown here.
func (r *rememberer) Yield(now time.Time, key string) bool {
	r.Sweep(now)
	if rec := r.record(key); rec != nil && rec.Verdict != Moved {
		return true
	}
	if r.record(key) != nil {
		r.forget(key)
	}
	rec := &Record{
		Key:     key,
		Verdict: Moved,
		at:      now,
	}
	r.records[key] = r.order.PushBack(rec)
	return false
}

// Take adds a record that another node hands over; what is known here goes first.
func (r *rememberer) Take(now time.Time, rec Record) {
	if known := r.record(rec.Key); known != nil && known.Verdict != Moved {
		return
	}
	if r.record(rec.Key) != nil {
		r.forget(rec.Key)
	}
	taken := rec
	taken.at = now
	if taken.Verdict == Running {
		taken.Verdict = Uncertain
	}
	r.records[rec.Key] = r.order.PushBack(&taken)
	r.bytes += len(taken.Answer.Body)
	r.trim()
}

// Records returns all records that are not Moved.
func (r *rememberer) Records() []Record {
	list := make([]Record, 0, len(r.records))
	for el := r.order.Front(); el != nil; el = el.Next() {
		if rec := el.Value.(*Record); rec.Verdict != Moved {
			list = append(list, *rec)
		}
	}
	return list
}

// Sweep forgets keys older than the retention; running ones stay.
func (r *rememberer) Sweep(now time.Time) {
	for el := r.order.Front(); el != nil; {
		next := el.Next()
		rec := el.Value.(*Record)
		if rec.Verdict != Running {
			if now.Sub(rec.at) < r.retention {
				return
			}
			r.forget(rec.Key)
		}
		el = next
	}
}
