package executor

import (
	"context"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/request/concurrencylimiter"
	"github.com/chivegauge/chivegauge/internal/request/isolator"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
)

// Backend sends calls to the backend server.
type Backend interface {
	// Send sends the call once and returns the whole response, or a refusal that says whether the call may have run.
	Send(ctx context.Context, c chivegauge.Call, token string) (chivegauge.Response, *chivegauge.Refusal)
	// Up reports whether the backend server accepts connections.
	Up() bool
}

// Owner handles calls that were forwarded to the owner of their idempotency key.
type Owner interface {
	DispatchOwned(ctx context.Context, c chivegauge.Call) chivegauge.Response
}

// Isolator decides whether a request that may have crashed a backend server may run, and prevents other suspect
// requests from running at the same time.
type Isolator interface {
	Admit(ctx context.Context, c chivegauge.Call) (isolator.Admission, *chivegauge.Refusal)
	Release(a isolator.Admission, outcome isolator.Outcome)
}

// Executor runs calls on the backend server beside the node.
type Executor interface {
	// Execute runs the call, or waits for the run of its attempt if that was started before, and returns the response.
	Execute(ctx context.Context, c chivegauge.Call) chivegauge.Response
	// Await waits for the response of an attempt; running reports that the context ended before there was one.
	Await(ctx context.Context, attempt tracker.Attempt) (response chivegauge.Response, running bool)
	// Cancel cancels a running attempt, or prevents the run of one that has not arrived.
	Cancel(attempt tracker.Attempt)
	// Parent returns the running call that a context token belongs to.
	Parent(token string) (*Run, bool)
	// Load returns the current load of the backend server.
	Load() picker.Load
	// SetDraining turns draining on or off: while it is on, new calls are refused.
	SetDraining(on bool)
	// Down returns a channel that receives a value when the backend server does not accept connections.
	Down() <-chan struct{}
	// Up reports whether the backend server accepts connections.
	Up() bool
	// ColdStart restarts the ramp-up of the concurrency limit after the backend server was started.
	ColdStart()
	// Running returns the number of calls that have not ended.
	Running() int
	// Sweep deletes attempts older than the retention of the tracker.
	Sweep(now time.Time)
	// Wait blocks until all started runs have ended.
	Wait()
	// Attach sets the owner of idempotency keys and the isolator; it must be called before the first call.
	Attach(o Owner, i Isolator)
}

type executor struct {
	service     string
	now         concurrencylimiter.Clock
	limiter     concurrencylimiter.ConcurrencyLimiter
	backend     Backend
	cancelGrace time.Duration
	owner       Owner
	isolator    Isolator
	down        chan struct{}

	mu      sync.Mutex
	group   sync.WaitGroup
	tracker tracker.Tracker
	runs    map[tracker.Attempt]*Run
	tokens  map[string]*Run
	rate    chivegauge.RateLimit

	// abandoned holds the cancelled calls that the backend server may still run.
	abandoned []abandonedRun
	draining  bool
}

// New returns an executor for the service; cancelGrace is how long a run that no sender waits for continues before it
// is cancelled.
func New(service string, now concurrencylimiter.Clock, cl concurrencylimiter.ConcurrencyLimiter, b Backend, t tracker.Tracker, cancelGrace time.Duration) Executor {
	cl.StartProbation()
	return &executor{
		service:     service,
		now:         now,
		limiter:     cl,
		backend:     b,
		cancelGrace: cancelGrace,
		tracker:     t,
		runs:        map[tracker.Attempt]*Run{},
		tokens:      map[string]*Run{},
		down:        make(chan struct{}, 1),
	}
}

// Down returns a channel that receives a value when the backend server does not accept connections.
func (e *executor) Down() <-chan struct{} {
	return e.down
}

// Up reports whether the backend server accepts connections.
func (e *executor) Up() bool {
	return e.backend.Up()
}

// ColdStart restarts the ramp-up of the concurrency limit; a limit that the former process announced has ended.
func (e *executor) ColdStart() {
	e.applyRateLimit(&chivegauge.RateLimit{})
	e.limiter.ColdStart()
}

// Execute runs the call, or waits for the run of its attempt.
func (e *executor) Execute(ctx context.Context, c chivegauge.Call) chivegauge.Response {
	attempt, err := tracker.ParseAttempt(c.AttemptID)
	if err != nil {
		return chivegauge.RefusalResponse(c.AttemptID, chivegauge.Refuse(chivegauge.CodeBadRequest, err.Error()), c.Tokens)
	}
	run, response := e.beginAttempt(attempt, c)
	if run == nil {
		return response
	}
	defer e.removeWaiter(run)
	select {
	case <-run.done:
		return run.response
	case <-ctx.Done():
		return chivegauge.RefusalResponse(c.AttemptID, chivegauge.RefuseMayHaveRun(chivegauge.CodeCancelled, "the sender left"), 0)
	}
}

// Await waits for the response of an attempt.
func (e *executor) Await(ctx context.Context, attempt tracker.Attempt) (chivegauge.Response, bool) {
	run, response := e.queryAttempt(attempt)
	if run == nil {
		return response, false
	}
	defer e.removeWaiter(run)
	select {
	case <-run.done:
		return run.response, false
	case <-ctx.Done():
		return chivegauge.Response{}, true
	}
}

// Cancel cancels a running attempt, or prevents the run of one that has not arrived.
func (e *executor) Cancel(attempt tracker.Attempt) {
	run, _ := e.queryAttempt(attempt)
	if run != nil {
		run.cancel()
		e.removeWaiter(run)
	}
}

// Parent returns the running call that a context token belongs to.
func (e *executor) Parent(token string) (*Run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run, ok := e.tokens[token]
	return run, ok
}

// Load returns the current load of the backend server.
func (e *executor) Load() picker.Load {
	return e.limiter.Load()
}

// SetDraining turns draining on or off.
func (e *executor) SetDraining(on bool) {
	e.mu.Lock()
	e.draining = on
	e.mu.Unlock()
	e.limiter.SetDraining(on)
}

// Running returns the number of calls that have not ended.
func (e *executor) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// Sweep deletes attempts older than the retention of the tracker.
func (e *executor) Sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.Sweep(now)
}

// Wait blocks until all started runs have ended.
func (e *executor) Wait() {
	e.group.Wait()
}

// Attach sets the owner of idempotency keys and the isolator.
func (e *executor) Attach(o Owner, i Isolator) {
	e.owner = o
	e.isolator = i
}
