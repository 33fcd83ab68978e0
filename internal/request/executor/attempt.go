package executor

import (
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
)

// begin starts a fresh attempt, finds the run of a running one, or answers an ended one.
func (e *executor) begin(attempt tracker.Attempt, c chivegauge.Call) (*Run, chivegauge.Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	switch e.tracker.Begin(now, attempt) {
	case tracker.Fresh:
		return e.watch(e.start(attempt, c)), chivegauge.Answer{}
	case tracker.Running:
		return e.watch(e.runs[attempt]), chivegauge.Answer{}
	case tracker.Finished:
		_, answer := e.tracker.Ask(now, attempt)
		return nil, answer
	case tracker.Forbidden:
		refusal := chivegauge.Refuse(chivegauge.CodeAttemptConflict, "the sender was told that the attempt did not run")
		return nil, chivegauge.RefusalAnswer(c.AttemptID, refusal, c.Tokens)
	default:
		return nil, forgotten(attempt)
	}
}

func forgotten(attempt tracker.Attempt) chivegauge.Answer {
	refusal := chivegauge.Unknown(chivegauge.CodeOutcomeUnknown, "the outcome of the attempt is no longer kept")
	return chivegauge.RefusalAnswer(attempt.String(), refusal, 0)
}

// watch counts one more waiter for the run; e.mu is held.
func (e *executor) watch(r *Run) *Run {
	r.watchers++
	return r
}

// unwatch counts one waiter less and ends a run that nobody waits for within the grace time.
func (e *executor) unwatch(r *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.watchers--
	if r.watchers > 0 || r.ended() {
		return
	}
	time.AfterFunc(e.grace, func() { e.orphan(r) })
}

func (e *executor) orphan(r *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.watchers == 0 {
		r.cancel()
	}
}

func (e *executor) ask(attempt tracker.Attempt) (*Run, chivegauge.Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state, answer := e.tracker.Ask(e.now(), attempt)
	switch state {
	case tracker.Running:
		return e.watch(e.runs[attempt]), chivegauge.Answer{}
	case tracker.Finished:
		return nil, answer
	case tracker.Forbidden:
		refusal := chivegauge.Refuse(chivegauge.CodeUnreachable, "the attempt never arrived")
		return nil, chivegauge.RefusalAnswer(attempt.String(), refusal, 0)
	default:
		return nil, forgotten(attempt)
	}
}
