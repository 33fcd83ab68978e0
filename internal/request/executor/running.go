package executor

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/lender"
	"github.com/chivegauge/chivegauge/internal/request/isolator"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
)

// startRun starts the run of an attempt; the run ends at its deadline at the latest, and is independent of the
// connection that the attempt came over.
func (e *executor) startRun(attempt tracker.Attempt, c chivegauge.Call) *Run {
	ctx, cancel := context.WithTimeout(context.Background(), c.Budget(e.now()))
	run := &Run{
		Call:    c,
		Context: ctx,
		attempt: attempt,
		token:   newToken(),
		cancel:  cancel,
		done:    make(chan struct{}),
		tokens:  lender.NewAccount(c.Tokens),
		levels:  map[string]int{},
	}
	e.runs[attempt] = run
	e.tokens[run.token] = run
	e.group.Go(func() {
		e.finishRun(run, e.runCall(run))
	})
	return run
}

// newToken returns a context token of 128 random bits.
func newToken() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// runCall passes a forwarded call to the owner of idempotency keys, and runs any other call on the backend server.
func (e *executor) runCall(r *Run) chivegauge.Response {
	if r.Call.Forwards > 0 {
		return e.owner.DispatchOwned(r.Context, r.Call)
	}
	admission, refusal := e.isolator.Admit(r.Context, r.Call)
	if refusal != nil {
		return chivegauge.RefusalResponse(r.Call.AttemptID, refusal, r.Call.Tokens)
	}
	if admission.Trial() && !e.backend.Up() {
		e.signalDown()
		e.isolator.Release(admission, isolator.Inconclusive)
		refusal := chivegauge.Refuse(chivegauge.CodeNoBackend, "the backend server is down")
		return chivegauge.RefusalResponse(r.Call.AttemptID, refusal, r.Call.Tokens)
	}
	response, outcome := e.sendToBackend(r)
	if response.Refusal != nil && abandoned(response.Refusal) {
		e.watchAbandoned(admission, r.Call)
	} else {
		e.isolator.Release(admission, outcome)
	}
	response.AttemptID = r.Call.AttemptID
	return response
}

// sendToBackend waits for a permit, sends the call to the backend server and returns how the run ended.
func (e *executor) sendToBackend(r *Run) (chivegauge.Response, isolator.Outcome) {
	permit, refusal := e.limiter.Acquire(r.Context, r.Call)
	if refusal != nil {
		return chivegauge.RefusalResponse(r.Call.AttemptID, refusal, r.Call.Tokens), isolator.Inconclusive
	}
	response, refusal := e.backend.Send(r.Context, r.Call, r.token)
	e.limiter.Release(permit, refusal != nil)
	if refusal == nil {
		e.applyRateLimit(response.RateLimit)
		e.limiter.EndProbation()
	}
	switch {
	case refusal == nil && response.Status >= http.StatusInternalServerError:
		return response, isolator.Inconclusive
	case refusal == nil:
		return response, isolator.Completed
	}
	outcome := isolator.Inconclusive
	if refusal.Code == chivegauge.CodeOutcomeUnknown && e.backendCrashed() {
		outcome = isolator.Crashed
		refusal = chivegauge.RefuseMayHaveRun(chivegauge.CodeBackendCrashed, "the backend server died while it ran the request")
	}
	if outcome == isolator.Crashed || refusal.Code == chivegauge.CodeNoBackend {
		e.signalDown()
	}
	return chivegauge.RefusalResponse(r.Call.AttemptID, refusal, 0), outcome
}

// applyRateLimit limits the rate at which calls are admitted as the backend server announced; nil changes nothing.
func (e *executor) applyRateLimit(limit *chivegauge.RateLimit) {
	if limit == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if *limit == e.rate {
		return
	}
	e.rate = *limit
	if limit.Limited {
		e.limiter.SetRate(limit.PerSecond)
		return
	}
	e.limiter.RemoveRate()
}

const (
	// crashChecks is the number of times that the backend server is checked after a run was interrupted,
	// crashCheckInterval the interval between the checks: an exiting process closes its connections before its listener.
	crashChecks        = 4
	crashCheckInterval = 15 * time.Millisecond
)

// backendCrashed reports whether the backend server refuses a connection, immediately or in one of the repeated checks.
func (e *executor) backendCrashed() bool {
	for n := range crashChecks {
		if n > 0 {
			time.Sleep(crashCheckInterval)
		}
		if !e.backend.Up() {
			return true
		}
	}
	return false
}

// signalDown reports on the channel of Down that the backend server is down, unless a report is pending.
func (e *executor) signalDown() {
	select {
	case e.down <- struct{}{}:
	default:
	}
}

// finishRun stores the response, ends the run and invalidates its context token.
func (e *executor) finishRun(r *Run, response chivegauge.Response) {
	level := chivegauge.ServiceLevel{
		Service: e.service,
		Level:   e.limiter.Level(r.Call),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.tokens, r.token)
	delete(e.runs, r.attempt)
	r.response = response
	if r.Call.Forwards == 0 {
		left, levels := r.totals(level)
		r.response = response.WithTokens(left).WithLevels(levels)
	}
	e.tracker.Finish(e.now(), r.attempt, r.response)
	r.cancel()
	close(r.done)
}
