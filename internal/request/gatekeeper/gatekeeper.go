package gatekeeper

import (
	"context"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/admitter"
	"github.com/chivegauge/chivegauge/internal/policy/limiter"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/policy/scheduler"
	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
)

// Clock returns the current time.
type Clock func() time.Time

// Pass is a permit to run one request.
type Pass struct {
	startedAt time.Time
	inFlight  int
}

// Gatekeeper limits the number of requests that run concurrently on one backend server.
type Gatekeeper interface {
	// Enter waits for a permit to run the call, or returns a refusal that says that the call did not run.
	Enter(ctx context.Context, c chivegauge.Call) (Pass, *chivegauge.Refusal)
	// Leave returns the permit; failed reports whether the run failed.
	Leave(p Pass, failed bool)
	// Load returns the number of running and of queued requests and the concurrency limit.
	Load() picker.Load
	// Level returns the admission level of this backend server for calls with the importance and workspace of c.
	Level(c chivegauge.Call) int
	// ColdStart restarts the ramp-up of the limit after the backend server was started.
	ColdStart()
	// SetDraining turns draining on or off: while it is on, new requests are refused and queued ones still run.
	SetDraining(on bool)
}

// decision is the permit or the refusal of a request.
type decision struct {
	pass    Pass
	refusal *chivegauge.Refusal
}

type gatekeeper struct {
	mu        sync.Mutex
	now       Clock
	limiter   limiter.Limiter
	queue     scheduler.Scheduler
	admission admitter.Controller
	maxWait   time.Duration
	waiters   map[uint64]chan decision
	lastID    uint64
	running   int
	draining  bool
}

// Option configures a gatekeeper.
type Option func(*gatekeeper)

// WithAdmission refuses calls below the admission level of the controller.
func WithAdmission(c admitter.Controller) Option {
	return func(g *gatekeeper) {
		g.admission = c
	}
}

// WithMaxWait sets the maximum time that a request is queued.
func WithMaxWait(d time.Duration) Option {
	return func(g *gatekeeper) {
		g.maxWait = d
	}
}

const defaultMaxWait = 500 * time.Millisecond

// New returns a gatekeeper that takes its concurrency limit from l and queues requests in q.
func New(now Clock, l limiter.Limiter, q scheduler.Scheduler, opts ...Option) Gatekeeper {
	g := &gatekeeper{
		now:     now,
		limiter: l,
		queue:   q,
		maxWait: defaultMaxWait,
		waiters: map[uint64]chan decision{},
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Enter waits for a permit to run the call.
func (g *gatekeeper) Enter(ctx context.Context, c chivegauge.Call) (Pass, *chivegauge.Refusal) {
	now := g.now()
	item, ch, v := g.admitOrEnqueue(now, c)
	if ch == nil {
		return v.pass, v.refusal
	}
	timer := time.NewTimer(item.Expires.Sub(now))
	defer timer.Stop()
	select {
	case v = <-ch:
	case <-ctx.Done():
		v = g.dequeue(item, ch, chivegauge.Refuse(chivegauge.CodeCancelled, "cancelled while waiting"))
	case <-timer.C:
		v = g.dequeue(item, ch, busyRefusal("waited too long"))
	}
	return v.pass, v.refusal
}

func busyRefusal(message string) *chivegauge.Refusal {
	return chivegauge.Refuse(chivegauge.CodeBusy, message)
}

// admitOrEnqueue admits or refuses the call immediately, or queues it and returns the channel that its decision is sent to.
func (g *gatekeeper) admitOrEnqueue(now time.Time, c chivegauge.Call) (scheduler.Item, chan decision, decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.refusalFor(now, c); refusal != nil {
		return scheduler.Item{}, nil, decision{
			refusal: refusal,
		}
	}
	if g.running < g.limiter.Limit() && g.queue.Len() == 0 {
		return scheduler.Item{}, nil, g.admit(now, now)
	}
	g.lastID++
	item := scheduler.Item{
		ID:         g.lastID,
		Workspace:  c.Workspace,
		Importance: c.Importance,
		Queued:     now,
		Deadline:   c.Deadline,
		Expires:    earlier(c.Deadline, now.Add(g.maxWait)),
	}
	ch := make(chan decision, 1)
	g.waiters[item.ID] = ch
	if dropped, full := g.queue.Push(item); full {
		g.deliver(dropped, decision{
			refusal: busyRefusal("the queue is full"),
		})
		g.observeWait(now, 0, true)
	}
	return item, ch, decision{}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// refusalFor returns the refusal of a new call that must not be queued, or nil; g.mu is held.
func (g *gatekeeper) refusalFor(now time.Time, c chivegauge.Call) *chivegauge.Refusal {
	if g.draining {
		return chivegauge.Refuse(chivegauge.CodeDraining, "the backend server is leaving")
	}
	if !now.Before(c.Deadline) {
		return chivegauge.Refuse(chivegauge.CodeDeadline, "the deadline has passed")
	}
	if g.admission == nil {
		return nil
	}
	if !g.admission.Admit(now, admitter.ClassOf(c), admitter.Ticket(c.Root)) {
		return chivegauge.Refuse(chivegauge.CodeOverloaded, "below the admission level")
	}
	return nil
}

// admit counts a request as running and returns its permit; g.mu is held.
func (g *gatekeeper) admit(now, queued time.Time) decision {
	asserter.Check(asserter.NoNewWorkWhenLeaving, !g.draining || queued.Before(now))
	g.running++
	g.observeWait(now, now.Sub(queued), false)
	return decision{
		pass: Pass{
			startedAt: now,
			inFlight:  g.running,
		},
	}
}

// observeWait reports the queueing time of a request to the admission controller, if there is one.
func (g *gatekeeper) observeWait(now time.Time, wait time.Duration, refused bool) {
	if g.admission != nil {
		g.admission.Waited(now, wait, refused)
	}
}

// deliver sends a queued request its decision; g.mu is held.
func (g *gatekeeper) deliver(item scheduler.Item, v decision) {
	g.waiters[item.ID] <- v
	delete(g.waiters, item.ID)
}

// dequeue removes a request from the queue and refuses it, or returns its decision if that was sent in the meantime.
func (g *gatekeeper) dequeue(item scheduler.Item, ch chan decision, refusal *chivegauge.Refusal) decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Remove(item) {
		return <-ch
	}
	delete(g.waiters, item.ID)
	now := g.now()
	g.observeWait(now, now.Sub(item.Queued), refusal.Code == chivegauge.CodeBusy)
	return decision{
		refusal: refusal,
	}
}

// Leave returns the permit and admits the next queued requests within the limit.
func (g *gatekeeper) Leave(p Pass, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.running--
	g.limiter.Observe(now, limiter.Sample{
		Latency:  now.Sub(p.startedAt),
		InFlight: p.inFlight,
		Waiting:  g.queue.Len(),
		Failed:   failed,
	})
	if g.admission != nil {
		g.admission.Finished(now)
	}
	for g.running < g.limiter.Limit() {
		next, expired, ok := g.queue.Pop(now)
		for _, item := range expired {
			g.deliver(item, decision{
				refusal: busyRefusal("waited too long"),
			})
			g.observeWait(now, now.Sub(item.Queued), true)
		}
		if !ok {
			return
		}
		g.deliver(next, g.admit(now, next.Queued))
	}
}

// Load returns the number of running and of queued requests and the concurrency limit.
func (g *gatekeeper) Load() picker.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return picker.Load{
		Running: g.running,
		Waiting: g.queue.Len(),
		Limit:   g.limiter.Limit(),
	}
}

// Level returns the admission level for calls with the importance and workspace of c, 0 without admission control.
func (g *gatekeeper) Level(c chivegauge.Call) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admission == nil {
		return 0
	}
	return g.admission.Level(g.now(), admitter.ClassOf(c))
}

// ColdStart restarts the ramp-up of the limit, if the limiter has one.
func (g *gatekeeper) ColdStart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.limiter.(limiter.Ramp); ok {
		r.Begin(g.now())
	}
}

// SetDraining turns draining on or off.
func (g *gatekeeper) SetDraining(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = on
}
