package executor

import (
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
)

// beginAttempt starts the run of a new attempt or returns the run of a running one; for any other attempt it returns no
// run but a response.
func (e *executor) beginAttempt(attempt tracker.Attempt, c chivegauge.Call) (*Run, chivegauge.Response) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	switch e.tracker.Begin(now, attempt) {
	case tracker.Unseen:
		return e.addWaiter(e.startRun(attempt, c)), chivegauge.Response{}
	case tracker.Running:
		return e.addWaiter(e.runs[attempt]), chivegauge.Response{}
	case tracker.Finished:
		_, response := e.tracker.Query(now, attempt)
		return nil, response
	case tracker.Forbidden:
		refusal := chivegauge.Refuse(chivegauge.CodeAttemptConflict, "the sender was told that the attempt did not run")
		return nil, chivegauge.RefusalResponse(c.AttemptID, refusal, c.Tokens)
	default:
		return nil, evictedResponse(attempt)
	}
}

// evictedResponse returns the response to an attempt whose response is no longer kept.
func evictedResponse(attempt tracker.Attempt) chivegauge.Response {
	refusal := chivegauge.RefuseMayHaveRun(chivegauge.CodeOutcomeUnknown, "the outcome of the attempt is no longer kept")
	return chivegauge.RefusalResponse(attempt.String(), refusal, 0)
}

// addWaiter counts a sender that waits for the run; e.mu is held.
func (e *executor) addWaiter(r *Run) *Run {
	r.waiters++
	return r
}

// removeWaiter decrements the number of senders that wait for the run; a run without waiters is cancelled after
// cancelGrace unless a sender waits for it again by then.
func (e *executor) removeWaiter(r *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.waiters--
	if r.waiters > 0 || r.ended() {
		return
	}
	time.AfterFunc(e.cancelGrace, func() { e.cancelIfAbandoned(r) })
}

// cancelIfAbandoned cancels a run that no sender waits for.
func (e *executor) cancelIfAbandoned(r *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.waiters == 0 {
		r.cancel()
	}
}

// queryAttempt returns the run of a running attempt, or else no run but a response; it prevents the run of an attempt
// that has not arrived.
func (e *executor) queryAttempt(attempt tracker.Attempt) (*Run, chivegauge.Response) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state, response := e.tracker.Query(e.now(), attempt)
	switch state {
	case tracker.Running:
		return e.addWaiter(e.runs[attempt]), chivegauge.Response{}
	case tracker.Finished:
		return nil, response
	case tracker.Forbidden:
		refusal := chivegauge.Refuse(chivegauge.CodeUnreachable, "the attempt never arrived")
		return nil, chivegauge.RefusalResponse(attempt.String(), refusal, 0)
	default:
		return nil, evictedResponse(attempt)
	}
}
