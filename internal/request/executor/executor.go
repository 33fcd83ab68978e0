package executor

import (
	"context"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
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
