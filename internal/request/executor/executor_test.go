package executor_test

import (
	"context"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/limiter"
	"github.com/chivegauge/chivegauge/internal/policy/scheduler"
	"github.com/chivegauge/chivegauge/internal/proof/seeder"
	"github.com/chivegauge/chivegauge/internal/request/concurrencylimiter"
	"github.com/chivegauge/chivegauge/internal/request/executor"
	"github.com/chivegauge/chivegauge/internal/request/isolator"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
	"github.com/matryer/is"
)

func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m))
}

// backend is a backend server that echoes bodies; while it is down, calls over its open connections are interrupted.
type backend struct {
	down bool
}

func (b *backend) Up() bool { return !b.down }

func (b *backend) Send(_ context.Context, c chivegauge.Call, _ string) (chivegauge.Response, *chivegauge.Refusal) {
	if b.down {
		return chivegauge.Response{}, chivegauge.RefuseMayHaveRun(chivegauge.CodeOutcomeUnknown, "connection interrupted")
	}
	return chivegauge.Response{
		Status: 200,
		Body:   c.Body,
	}, nil
}

// singleNode is the membership of a service with one node.
type singleNode struct{}

func (singleNode) Self() chivegauge.Member {
	return chivegauge.Member{
		Address: "a",
		Service: "booking",
	}
}

func (a singleNode) Service(string) []chivegauge.Member { return []chivegauge.Member{a.Self()} }

func (singleNode) Notify(context.Context, chivegauge.Member, isolator.RunReport) error { return nil }

func newExecutor(b executor.Backend) executor.Executor {
	cl := concurrencylimiter.New(time.Now, limiter.NewStatic(4), scheduler.New(10))
	x := executor.New("booking", time.Now, cl, b, tracker.New(time.Minute, 100, 1000), time.Second)
	x.Attach(nil, isolator.New(time.Now, singleNode{}, singleNode{}))
	return x
}

func call(sequence uint64) chivegauge.Call {
	id := tracker.Attempt{
		Sender:   "b@1",
		Sequence: sequence,
	}
	return chivegauge.Call{
		AttemptID: id.String(),
		Deadline:  time.Now().Add(time.Minute),
		Body:      []byte("the same body"),
	}
}

// TestDownBackendQuarantinesNoRequest checks that a request is not quarantined if it was sent repeatedly while the
// backend server was down for another reason: once the backend server is back, the request runs.
func TestDownBackendQuarantinesNoRequest(t *testing.T) {
	is := is.New(t)
	b := &backend{
		down: true,
	}
	x := newExecutor(b)
	for n := range uint64(5) {
		response := x.Execute(context.Background(), call(n+1))
		is.True(response.Refusal != nil)
	}
	b.down = false
	response := x.Execute(context.Background(), call(10))
	is.Equal(response.Refusal, nil)
	is.Equal(response.Status, 200)
	x.Wait()
}

// TestAttemptRunsOnce checks that an attempt sent twice has one run and one response, and that an attempt reported as
// not run is refused when it arrives later.
func TestAttemptRunsOnce(t *testing.T) {
	is := is.New(t)
	x := newExecutor(&backend{})
	first := x.Execute(context.Background(), call(1))
	second := x.Execute(context.Background(), call(1))
	is.Equal(first, second)
	asked, running := x.Await(context.Background(), tracker.Attempt{
		Sender:   "b@1",
		Sequence: 2,
	})
	is.Equal(running, false)
	is.Equal(asked.Refusal.Run, chivegauge.NotRun)
	late := x.Execute(context.Background(), call(2))
	is.Equal(late.Refusal.Code, chivegauge.CodeAttemptConflict) // the attempt was reported to its sender as not run
	x.Wait()
}

// exiting is a backend server that interrupts a run and whose listener closes a few checks later.
type exiting struct {
	checks int
}

func (b *exiting) Up() bool {
	b.checks++
	return b.checks < 3
}

func (b *exiting) Send(context.Context, chivegauge.Call, string) (chivegauge.Response, *chivegauge.Refusal) {
	return chivegauge.Response{}, chivegauge.RefuseMayHaveRun(chivegauge.CodeOutcomeUnknown, "connection interrupted")
}

// TestCrashIsDetected checks that a crash is detected although the listener closes after the connection.
func TestCrashIsDetected(t *testing.T) {
	is := is.New(t)
	x := newExecutor(&exiting{})
	response := x.Execute(context.Background(), chivegauge.Call{
		AttemptID: tracker.Attempt{
			Sender:   "a",
			Sequence: 1,
		}.String(),
		Deadline: time.Now().Add(time.Minute),
	})
	is.Equal(response.Refusal.Code, chivegauge.CodeBackendCrashed)
}

// overloaded is a backend server that responds with an error, which doesn't say whether it ran the request.
type overloaded struct{}

func (overloaded) Up() bool { return true }

func (overloaded) Send(context.Context, chivegauge.Call, string) (chivegauge.Response, *chivegauge.Refusal) {
	return chivegauge.Response{
		Status: http.StatusServiceUnavailable,
	}, nil
}

// outcomes records how admitted requests end.
type outcomes struct {
	list []isolator.Outcome
}

func (o *outcomes) Admit(context.Context, chivegauge.Call) (isolator.Admission, *chivegauge.Refusal) {
	return isolator.Admission{}, nil
}

func (o *outcomes) Release(_ isolator.Admission, outcome isolator.Outcome) {
	o.list = append(o.list, outcome)
}

// TestErrorDoesNotClearSuspect checks that an error response is not taken for the completion of a request.
func TestErrorDoesNotClearSuspect(t *testing.T) {
	tests := map[string]struct {
		backend executor.Backend
		outcome isolator.Outcome
	}{
		"answered": {backend: &backend{}, outcome: isolator.Completed},
		"error":    {backend: overloaded{}, outcome: isolator.Inconclusive},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			x := newExecutor(tt.backend)
			o := &outcomes{}
			x.Attach(nil, o)
			x.Execute(context.Background(), call(1))
			x.Wait()
			is.New(t).Equal(o.list, []isolator.Outcome{tt.outcome})
		})
	}
}

// limited is a backend server that announces a limit, or none, in its responses.
type limited struct {
	limit *chivegauge.RateLimit
	calls atomic.Int64
}

func (b *limited) Up() bool { return true }

func (b *limited) Send(context.Context, chivegauge.Call, string) (chivegauge.Response, *chivegauge.Refusal) {
	b.calls.Add(1)
	return chivegauge.Response{
		Status:    http.StatusOK,
		RateLimit: b.limit,
	}, nil
}

// TestAnnouncedLimitIsHeld checks that no more calls than the backend server announced are admitted, until it announces
// none or is started again.
func TestAnnouncedLimitIsHeld(t *testing.T) {
	ten := &chivegauge.RateLimit{
		Limited:   true,
		PerSecond: 10,
	}
	tests := map[string]struct {
		first, next *chivegauge.RateLimit
		restarts    bool
		min, max    int64
	}{
		"limited":           {first: ten, next: ten, min: 9, max: 12},
		"not understood":    {first: ten, min: 9, max: 12},
		"no longer limited": {first: ten, next: &chivegauge.RateLimit{}, min: 90, max: 100},
		"restarted":         {first: ten, next: &chivegauge.RateLimit{}, restarts: true, min: 100, max: 100},
		"never limited":     {first: &chivegauge.RateLimit{}, min: 100, max: 100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := &limited{
					limit: tt.first,
				}
				x := newExecutor(b)
				x.Execute(context.Background(), call(1))
				b.limit = tt.next
				b.calls.Store(0)
				if tt.restarts {
					x.ColdStart()
				}
				group := sync.WaitGroup{}
				for n := range uint64(100) {
					group.Go(func() { x.Execute(context.Background(), call(n+2)) })
					time.Sleep(10 * time.Millisecond)
				}
				admitted := b.calls.Load()
				group.Wait()
				x.Wait()
				is.True(admitted >= tt.min)
				is.True(admitted <= tt.max)
			})
		})
	}
}

// blocked is a backend server that responds once it is released.
type blocked struct {
	calls   atomic.Int64
	release chan struct{}
}

func (b *blocked) Up() bool { return true }

func (b *blocked) Send(context.Context, chivegauge.Call, string) (chivegauge.Response, *chivegauge.Refusal) {
	b.calls.Add(1)
	<-b.release
	return chivegauge.Response{
		Status: http.StatusOK,
	}, nil
}

// TestFewCallsBeforeFirstResponse checks that a node that has just started sends few calls at once until a response says
// whether there is a limit.
func TestFewCallsBeforeFirstResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &blocked{
			release: make(chan struct{}),
		}
		cl := concurrencylimiter.New(time.Now, limiter.NewStatic(100), scheduler.New(100))
		x := executor.New("booking", time.Now, cl, b, tracker.New(time.Minute, 100, 1000), time.Second)
		x.Attach(nil, isolator.New(time.Now, singleNode{}, singleNode{}))
		group := sync.WaitGroup{}
		for n := range uint64(20) {
			group.Go(func() { x.Execute(context.Background(), call(n+1)) })
		}
		synctest.Wait()
		is.Equal(b.calls.Load(), int64(4))
		b.release <- struct{}{}
		synctest.Wait()
		is.Equal(b.calls.Load(), int64(20))
		close(b.release)
		group.Wait()
		x.Wait()
	})
}

// fragile is a backend server that crashes some time after the sender of a call has left.
type fragile struct {
	crashAfter time.Duration
	crashedAt  atomic.Int64
	runs       atomic.Int64
}

func (b *fragile) Up() bool {
	at := b.crashedAt.Load()
	return at == 0 || time.Now().UnixNano() < at
}

func (b *fragile) Send(ctx context.Context, _ chivegauge.Call, _ string) (chivegauge.Response, *chivegauge.Refusal) {
	b.runs.Add(1)
	<-ctx.Done()
	if b.crashAfter > 0 {
		b.crashedAt.Store(time.Now().Add(b.crashAfter).UnixNano())
	}
	return chivegauge.Response{}, chivegauge.RefuseMayHaveRun(chivegauge.CodeCancelled, "cancelled while the request ran")
}

// TestAbandonedCrashIsCounted guards against a request that crashes backend servers and is never refused, because its
// sender leaves before each crash.
func TestAbandonedCrashIsCounted(t *testing.T) {
	tests := map[string]struct {
		crashAfter time.Duration
		draining   bool
		quarantine bool
	}{
		"crash after the sender left":      {crashAfter: 150 * time.Millisecond, quarantine: true},
		"crash long after the sender left": {crashAfter: 2500 * time.Millisecond, quarantine: true},
		"crash after the deadline":         {crashAfter: 10 * time.Second},
		"no crash":                         {},
		"the end of a draining node's run": {crashAfter: 150 * time.Millisecond, draining: true},
		"crash just after the sender left": {crashAfter: time.Nanosecond, quarantine: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := &fragile{
					crashAfter: tt.crashAfter,
				}
				x := newExecutor(b)
				for n := range uint64(3) {
					c := call(n + 1)
					c.Deadline = time.Now().Add(5 * time.Second)
					ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
					x.Execute(ctx, c)
					cancel()
					time.Sleep(time.Second) // until the run is cancelled
					x.SetDraining(tt.draining)
					time.Sleep(5 * time.Second) // until its deadline
					x.SetDraining(false)
					b.crashedAt.Store(0)
				}
				last := call(10)
				last.Deadline = time.Now().Add(time.Second)
				response := x.Execute(t.Context(), last)
				is.Equal(response.Refusal.Code == chivegauge.CodeQuarantined, tt.quarantine)
				x.Wait()
			})
		})
	}
}

// TestInvalidRequest guards against a caller that makes all backend servers seem out of reach with a request that can't be
// sent: it is refused as a bad request.
func TestInvalidRequest(t *testing.T) {
	tests := map[string]chivegauge.HeaderField{
		"name that is no token": {Name: "X(", Value: "1"},
		"empty name":            {Value: "1"},
		"control character":     {Name: "X", Value: "a\x01b"},
		"line break":            {Name: "X", Value: "a\r\nb"},
	}
	for name, field := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := executor.NewBackend("http://127.0.0.1:1", time.Now, 1, 1000) // nothing listens there
			c := call(1)
			c.Method = http.MethodGet
			c.Target = "/"
			c.Header = []chivegauge.HeaderField{field}
			_, refusal := b.Send(t.Context(), c, "token")
			is.Equal(refusal.Code, chivegauge.CodeBadRequest)
			is.Equal(refusal.Run, chivegauge.NotRun)
			c.Header = nil
			_, refusal = b.Send(t.Context(), c, "token")
			is.Equal(refusal.Code, chivegauge.CodeNoBackend)
		})
	}
}
