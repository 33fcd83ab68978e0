package quarantiner

import "time"

// Retention is how long a request stays suspect or quarantined after its last crash.
const Retention = 5 * time.Minute

// recordsMax is the number of requests tracked; beyond it, expired and then suspect requests are evicted.
const recordsMax = 20000

// State is how a request is to be handled.
type State int

// The states of a request.
const (
	// Unsuspected is a request without a recorded crash, which runs like any other.
	Unsuspected State = iota
	// Suspect is a request that runs alone, as a trial run, on one backend server of its service.
	Suspect
	// Quarantined is a request that is refused without a run, because a backend server crashed in its trial run.
	Quarantined
)

type record struct {
	state   State
	expires time.Time
}

// Quarantiner tracks requests by their fingerprints; it is not safe for concurrent use.
type Quarantiner interface {
	// State returns how a request with the fingerprint is to be handled at now.
	State(now time.Time, fingerprint uint64) State
	// RecordCrash records that a backend server crashed during the request, and returns how it is to be handled from now
	// on: refused if the crash was in a trial run or the request was refused before, else run alone.
	RecordCrash(now time.Time, fingerprint uint64, trial bool) State
	// Clear removes the record of a request that completed its trial run.
	Clear(fingerprint uint64)
}

type quarantiner struct {
	records map[uint64]record
}

// New returns a Quarantiner without suspect requests.
func New() Quarantiner {
	return &quarantiner{
		records: map[uint64]record{},
	}
}

// State returns how a request is to be handled.
func (q *quarantiner) State(now time.Time, fingerprint uint64) State {
	r, ok := q.records[fingerprint]
	if !ok {
		return Unsuspected
	}
	if !now.Before(r.expires) {
		delete(q.records, fingerprint)
		return Unsuspected
	}
	return r.state
}

// RecordCrash records a crash during the request, which makes it suspect, or quarantined if the crash was in a trial
// run.
func (q *quarantiner) RecordCrash(now time.Time, fingerprint uint64, trial bool) State {
	state := max(Suspect, q.State(now, fingerprint))
	if trial {
		state = Quarantined
	}
	if len(q.records) >= recordsMax {
		q.evict(now)
	}
	q.records[fingerprint] = record{
		state:   state,
		expires: now.Add(Retention),
	}
	return state
}

// evict removes the expired records, and if there are none, one suspect request; quarantined requests stay.
func (q *quarantiner) evict(now time.Time) {
	for f, r := range q.records {
		if !now.Before(r.expires) {
			delete(q.records, f)
		}
	}
	for f, r := range q.records {
		if len(q.records) < recordsMax {
			return
		}
		if r.state == Suspect {
			delete(q.records, f)
		}
	}
}

// Clear removes the record of a request.
func (q *quarantiner) Clear(fingerprint uint64) {
	delete(q.records, fingerprint)
}
