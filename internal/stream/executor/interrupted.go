package executor

import (
	"maps"
	"time"
)

const (
	// interruptedMax bounds the requests that are kept until it is known whether the backend server crashed; it is above
	// the number of slots.
	interruptedMax = 1024

	// interruptedRetention is how long requests are kept for that after the backend server may have run them; if it crashed
	// and its closed port went unnoticed, the next process reports within this time.
	interruptedRetention = 10 * time.Second
)

// mayRun says until when the backend server may have been running a request without a response; abandoned says that the
// node left the request, as opposed to a connection that broke off.
type mayRun struct {
	until     time.Time
	abandoned bool
}

// counts reports whether a crash that is recognised at now may be due to the request.
func (m mayRun) counts(now time.Time) bool {
	return now.Sub(m.until) < interruptedRetention
}

// interrupted holds, by fingerprint, the requests that the backend server may have been running since it last responded,
// and those for which a crash of its current process was counted already.
type interrupted struct {
	requests map[uint64]mayRun
	counted  map[uint64]bool

	// firstEnd is when the first of the requests has ended at the latest.
	firstEnd time.Time
}

// add keeps a request; abandoned requests make room for interrupted ones.
func (i *interrupted) add(now time.Time, f uint64, m mayRun) {
	if old, ok := i.requests[f]; ok {
		m.abandoned = m.abandoned && old.abandoned
		if old.until.After(m.until) {
			m.until = old.until
		}
	} else if len(i.requests) >= interruptedMax && !i.makeRoom(now, !m.abandoned) {
		return
	}
	if i.requests == nil {
		i.requests = map[uint64]mayRun{}
	}
	if len(i.requests) == 0 || m.until.Before(i.firstEnd) {
		i.firstEnd = m.until
	}
	i.requests[f] = m
}

// makeRoom removes the requests that no longer count and, if there are none, an abandoned one if that is allowed; it
// reports whether there is room for one more.
func (i *interrupted) makeRoom(now time.Time, abandoned bool) bool {
	maps.DeleteFunc(i.requests, func(_ uint64, m mayRun) bool { return !m.counts(now) })
	if len(i.requests) < interruptedMax {
		return true
	}
	for f, m := range i.requests {
		if m.abandoned && abandoned {
			delete(i.requests, f)
			return true
		}
	}
	return false
}

// removeEnded removes the requests that had ended when the backend server was seen running.
func (i *interrupted) removeEnded(running time.Time) {
	if len(i.requests) == 0 || !running.After(i.firstEnd) {
		return
	}
	i.firstEnd = time.Time{}
	for f, m := range i.requests {
		switch {
		case running.After(m.until):
			delete(i.requests, f)
		case i.firstEnd.IsZero() || m.until.Before(i.firstEnd):
			i.firstEnd = m.until
		}
	}
}

// takeUncounted removes the requests against which a crash of the process is counted at now, and returns them and the
// number of those that no longer count. If the process was leaving, it has ended as announced for all that is known of
// abandoned requests.
func (i *interrupted) takeUncounted(now time.Time, leaving bool) (requests []uint64, expired int) {
	for f, m := range i.requests {
		switch {
		case i.counted[f] || (leaving && m.abandoned):
		case m.counts(now):
			requests = append(requests, f)
		default:
			expired++
		}
	}
	i.requests = nil
	if i.counted == nil {
		i.counted = make(map[uint64]bool, len(requests))
	}
	for _, f := range requests {
		i.counted[f] = true
	}
	return requests, expired
}
