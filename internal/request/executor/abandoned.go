package executor

import (
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/isolator"
)

// abandonedCheckInterval is the interval at which the backend server is checked while it may run abandoned calls.
const abandonedCheckInterval = 50 * time.Millisecond

// abandonedRun is the admission of a call whose run was cancelled, and when its backend server runs it no longer.
type abandonedRun struct {
	admission isolator.Admission
	until     time.Time
}

// abandoned reports whether the backend server may still run a call with this refusal: its sender left, or its deadline
// passed.
func abandoned(r *chivegauge.Refusal) bool {
	return r.Run == chivegauge.MayHaveRun && (r.Code == chivegauge.CodeCancelled || r.Code == chivegauge.CodeDeadline)
}

// watchAbandoned keeps the admission until the deadline of the call, or until the backend server has crashed.
func (e *executor) watchAbandoned(a isolator.Admission, c chivegauge.Call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abandoned = append(e.abandoned, abandonedRun{
		admission: a,
		until:     c.Deadline,
	})
	if len(e.abandoned) == 1 {
		e.group.Go(e.checkAbandoned)
	}
}

// checkAbandoned checks the backend server until no abandoned call is left, and releases their admissions.
func (e *executor) checkAbandoned() {
	for more := true; more; {
		time.Sleep(abandonedCheckInterval)
		now := e.now()
		up := e.backend.Up()
		if !up {
			e.signalDown()
		}
		var ended []abandonedRun
		var outcome isolator.Outcome
		ended, outcome, more = e.takeEnded(now, up)
		for _, r := range ended {
			e.group.Go(func() { e.isolator.Release(r.admission, outcome) })
		}
	}
}

// takeEnded removes the calls that the backend server no longer runs at now and returns them, their outcome, and whether
// there are more. A backend server that ends while the node drains has not crashed.
func (e *executor) takeEnded(now time.Time, up bool) ([]abandonedRun, isolator.Outcome, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	outcome := isolator.Inconclusive
	if !up && !e.draining {
		outcome = isolator.Crashed
	}
	var ended, running []abandonedRun
	for _, r := range e.abandoned {
		if up && now.Before(r.until) {
			running = append(running, r)
		} else {
			ended = append(ended, r)
		}
	}
	e.abandoned = running
	return ended, outcome, len(running) > 0
}
