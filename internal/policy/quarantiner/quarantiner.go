package quarantiner

import "time"

// Retention is how long a suspicion or a conviction lasts.
const Retention = 5 * time.Minute

const recordsMax = 20000

// Verdict is how a request is treated.
type Verdict int

// The verdicts.
const (
	// Clear is a request that runs as any other.
	Clear Verdict = iota
	// Suspect is a request that runs alone, as a trial, on one backend server of its service.
	Suspect
	// Convicted is a request that is refused as not run.
	Convicted
)

type record struct {
	verdict Verdict
	ends    time.Time
}

// Quarantiner remembers fingerprints of requests; it is not safe for concurrent use.
type Quarantiner interface {
	// Verdict returns how a request of the fingerprint is treated at now.
	Verdict(now time.Time, fingerprint uint64) Verdict
	// Blame takes in that a request died with its backend server; in a trial that convicts it.
	Blame(now time.Time, fingerprint uint64, trial bool) Verdict
	// Acquit clears a request that survived its trial.
	Acquit(fingerprint uint64)
}

type quarantiner struct {
	records map[uint64]record
}

// New returns a quarantiner that suspects nothing.
func New() Quarantiner {
	return &quarantiner{
		records: map[uint64]record{},
	}
}

// Verdict returns how a request is treated.
func (q *quarantiner) Verdict(now time.Time, fingerprint uint64) Verdict {
	r, ok := q.records[fingerprint]
	if !ok {
		return Clear
	}
	if !now.Before(r.ends) {
		delete(q.records, fingerprint)
		return Clear
	}
	return r.verdict
}

// Blame suspects a request, or convicts it if it died in its trial.
func (q *quarantiner) Blame(now time.Time, fingerprint uint64, trial bool) Verdict {
	verdict := max(Suspect, q.Verdict(now, fingerprint))
	if trial {
		verdict = Convicted
	}
	if len(q.records) >= recordsMax {
		q.evict(now)
	}
	q.records[fingerprint] = record{
		verdict: verdict,
		ends:    now.Add(Retention),
	}
	return verdict
}

// evict forgets what has ended, or else one suspect.
func (q *quarantiner) evict(now time.Time) {
	for f, r := range q.records {
		if !now.Before(r.ends) {
			delete(q.records, f)
		}
	}
	for f, r := range q.records {
		if len(q.records) < recordsMax {
			return
		}
		if r.verdict == Suspect {
			delete(q.records, f)
		}
	}
}

// Acquit clears a request.
func (q *quarantiner) Acquit(fingerprint uint64) {
	delete(q.records, fingerprint)
}
