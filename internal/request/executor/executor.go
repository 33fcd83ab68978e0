package executor

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/lender"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/request/gatekeeper"
	"github.com/chivegauge/chivegauge/internal/request/isolator"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
)

// Backend carries a call to the backend server.
type Backend interface {
	// Send returns the whole answer, or a refusal that says whether the call may have run.
	Send(ctx context.Context, c chivegauge.Call, token string) (chivegauge.Answer, *chivegauge.Refusal)
	// Up reports whether the backend server takes connections.
	Up() bool
}

// Owner answers calls that were sent to the owner of their idempotency key.
type Owner interface {
	Own(ctx context.Context, c chivegauge.Call) chivegauge.Answer
}

// Isolator keeps requests apart that backend servers die of.
type Isolator interface {
	Enter(ctx context.Context, c chivegauge.Call) (isolator.Admission, *chivegauge.Refusal)
	Leave(a isolator.Admission, e isolator.Ending)
}

// Executor runs calls on its backend server.
type Executor interface {
	// Execute runs the call, or joins it when its attempt is known, and returns the answer.
	Execute(ctx context.Context, c chivegauge.Call) chivegauge.Answer
	// Await returns the answer of an attempt; running says that the wait ended without one.
	Await(ctx context.Context, attempt tracker.Attempt) (a chivegauge.Answer, running bool)
	// Cancel ends a running attempt.
	Cancel(attempt tracker.Attempt)
	// Parent returns the running call that a context token belongs to.
	Parent(token string) (*Run, bool)
	// Load returns the present load of the backend server.
	Load() picker.Load
	// SetDraining refuses new calls while it is on.
	SetDraining(on bool)
	// Down is sent to when the backend server was found not to take connections.
	Down() <-chan struct{}
	// Up reports whether the backend server takes connections.
	Up() bool
	// ColdStart lets the limit rise anew, after the backend server was started.
	ColdStart()
	// Running returns the number of calls not yet ended.
	Running() int
	// Sweep forgets old attempts.
	Sweep(now time.Time)
	// Wait returns when each started run has ended.
	Wait()
	// Follow sets the owner of idempotency keys and the isolator, before the first call.
	Follow(o Owner, i Isolator)
}

type executor struct {
	service  string
	now      gatekeeper.Clock
	gate     gatekeeper.Gatekeeper
	backend  Backend
	grace    time.Duration
	owner    Owner
	isolator Isolator
	down     chan struct{}

	mu      sync.Mutex
	group   sync.WaitGroup
	tracker tracker.Tracker
	runs    map[tracker.Attempt]*Run
	tokens  map[string]*Run
}

// New returns an executor; grace is how long a run goes on after its sender's connection was lost.
func New(service string, now gatekeeper.Clock, g gatekeeper.Gatekeeper, b Backend, t tracker.Tracker, grace time.Duration) Executor {
	return &executor{
		service: service,
		now:     now,
		gate:    g,
		backend: b,
		grace:   grace,
		tracker: t,
		runs:    map[tracker.Attempt]*Run{},
		tokens:  map[string]*Run{},
		down:    make(chan struct{}, 1),
	}
}

// Down is sent to when the backend server was found not to take connections.
func (e *executor) Down() <-chan struct{} {
	return e.down
}

// Up reports whether the backend server takes connections.
func (e *executor) Up() bool {
	return e.backend.Up()
}

// ColdStart lets the limit rise anew.
func (e *executor) ColdStart() {
	e.gate.ColdStart()
}

// Execute runs the call or joins the run of its attempt.
func (e *executor) Execute(ctx context.Context, c chivegauge.Call) chivegauge.Answer {
	attempt, err := tracker.ParseAttempt(c.AttemptID)
	if err != nil {
		return chivegauge.RefusalAnswer(c.AttemptID, chivegauge.Refuse(chivegauge.CodeBadRequest, err.Error()), c.Tokens)
	}
	run, answer := e.begin(attempt, c)
	if run == nil {
		return answer
	}
	defer e.unwatch(run)
	select {
	case <-run.done:
		return run.answer
	case <-ctx.Done():
		return chivegauge.RefusalAnswer(c.AttemptID, chivegauge.Unknown(chivegauge.CodeCancelled, "the sender left"), 0)
	}
}

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
	if refusal.Code == chivegauge.CodeOutcomeUnknown && !e.backend.Up() {
		ending = isolator.Died
	}
	if ending == isolator.Died || refusal.Code == chivegauge.CodeNoBackend {
		e.tellDown()
	}
	return chivegauge.RefusalAnswer(r.Call.AttemptID, refusal, 0), ending
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

// Await waits for the answer of an attempt.
func (e *executor) Await(ctx context.Context, attempt tracker.Attempt) (chivegauge.Answer, bool) {
	run, answer := e.ask(attempt)
	if run == nil {
		return answer, false
	}
	defer e.unwatch(run)
	select {
	case <-run.done:
		return run.answer, false
	case <-ctx.Done():
		return chivegauge.Answer{}, true
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

// Cancel ends a running attempt; one that has not arrived is kept from running.
func (e *executor) Cancel(attempt tracker.Attempt) {
	run, _ := e.ask(attempt)
	if run != nil {
		run.cancel()
		e.unwatch(run)
	}
}

// Parent returns the running call of a context token.
func (e *executor) Parent(token string) (*Run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run, ok := e.tokens[token]
	return run, ok
}

// Load returns the present load.
func (e *executor) Load() picker.Load {
	return e.gate.Load()
}

// SetDraining refuses new calls while it is on.
func (e *executor) SetDraining(on bool) {
	e.gate.SetDraining(on)
}

// Running returns the number of calls not yet ended.
func (e *executor) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// Sweep forgets old attempts.
func (e *executor) Sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.Sweep(now)
}

// Wait returns when each started run has ended.
func (e *executor) Wait() {
	e.group.Wait()
}

// Follow sets the owner of idempotency keys and the isolator.
func (e *executor) Follow(o Owner, i Isolator) {
	e.owner = o
	e.isolator = i
}
