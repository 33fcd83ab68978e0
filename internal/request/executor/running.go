package executor

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/lender"
	"github.com/chivegauge/chivegauge/internal/request/isolator"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
)

// start begins a run that lives as long as its deadline, not as the connection that brought it.
func (e *executor) start(attempt tracker.Attempt, c chivegauge.Call) *Run {
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
		e.finish(run, e.run(run))
	})
	return run
}

func newToken() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func (e *executor) run(r *Run) chivegauge.Answer {
	if r.Call.Forwards > 0 {
		return e.owner.Own(r.Context, r.Call)
	}
	admission, refusal := e.isolator.Enter(r.Context, r.Call)
	if refusal != nil {
		return chivegauge.RefusalAnswer(r.Call.AttemptID, refusal, r.Call.Tokens)
	}
	if admission.Trial() && !e.backend.Up() {
		e.tellDown()
		e.isolator.Leave(admission, isolator.Unrun)
		refusal := chivegauge.Refuse(chivegauge.CodeNoBackend, "the backend server is down")
		return chivegauge.RefusalAnswer(r.Call.AttemptID, refusal, r.Call.Tokens)
	}
	answer, ending := e.send(r)
	e.isolator.Leave(admission, ending)
	answer.AttemptID = r.Call.AttemptID
	return answer
}

// send runs the call on the backend server once it may, and reports how the run ended.
func (e *executor) send(r *Run) (chivegauge.Answer, isolator.Ending) {
	pass, refusal := e.gate.Enter(r.Context, r.Call)
	if refusal != nil {
		return chivegauge.RefusalAnswer(r.Call.AttemptID, refusal, r.Call.Tokens), isolator.Unrun
	}
	answer, refusal := e.backend.Send(r.Context, r.Call, r.token)
	e.gate.Leave(pass, refusal != nil)
	if refusal == nil {
		return answer, isolator.Survived
	}
	ending := isolator.Unrun
	if refusal.Code == chivegauge.CodeOutcomeUnknown && e.died() {
		ending = isolator.Died
		refusal = chivegauge.Unknown(chivegauge.CodeBackendDied, "the backend server died while it ran the request")
	}
	if ending == isolator.Died || refusal.Code == chivegauge.CodeNoBackend {
		e.tellDown()
	}
	return chivegauge.RefusalAnswer(r.Call.AttemptID, refusal, 0), ending
}

const (
	// diedLooks is how often a broken run is followed by a look whether the backend server is down, diedPause the
	// pause between: a process that exits closes its connections before its listener.
	diedLooks = 4
	diedPause = 15 * time.Millisecond
)

// died reports whether the backend server takes no connections, now or within a moment.
func (e *executor) died() bool {
	for n := range diedLooks {
		if n > 0 {
			time.Sleep(diedPause)
		}
		if !e.backend.Up() {
			return true
		}
	}
	return false
}

func (e *executor) tellDown() {
	select {
	case e.down <- struct{}{}:
	default:
	}
}

// finish keeps the answer and ends the authority of the context token.
func (e *executor) finish(r *Run, a chivegauge.Answer) {
	level := chivegauge.ServiceLevel{
		Service: e.service,
		Level:   e.gate.Level(r.Call),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.tokens, r.token)
	delete(e.runs, r.attempt)
	r.answer = a
	if r.Call.Forwards == 0 {
		left, levels := r.settle(level)
		r.answer = a.WithTokens(left).WithLevels(levels)
	}
	e.tracker.Finish(e.now(), r.attempt, r.answer)
	r.cancel()
	close(r.done)
}
