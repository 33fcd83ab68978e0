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

// Clock returns the present time.
type Clock func() time.Time

// Pass is the permission to run one request.
type Pass struct {
	began    time.Time
	inFlight int
}

// Gatekeeper holds requests until they may run.
type Gatekeeper interface {
	// Enter waits for permission to run the call, or returns a refusal of a call that did not run.
	Enter(ctx context.Context, c chivegauge.Call) (Pass, *chivegauge.Refusal)
	// Leave gives the permission back.
	Leave(p Pass, failed bool)
	// Load returns the running and waiting requests and the limit.
	Load() picker.Load
	// Level returns the admission level of this backend server for calls such as c.
	Level(c chivegauge.Call) int
	// ColdStart lets the limit rise anew, after the backend server was started.
	ColdStart()
	// SetDraining refuses all new requests while it is on; those waiting still run.
	SetDraining(on bool)
}

type verdict struct {
	pass    Pass
	refusal *chivegauge.Refusal
}

type gatekeeper struct {
	mu       sync.Mutex
	now      Clock
	limit    limiter.Limiter
	queue    scheduler.Scheduler
	control  admitter.Controller
	maxWait  time.Duration
	waiters  map[uint64]chan verdict
	nextID   uint64
	running  int
	draining bool
}

// Option changes a gatekeeper when it is made.
type Option func(*gatekeeper)

// WithAdmission makes the gatekeeper refuse below the level of the controller.
func WithAdmission(c admitter.Controller) Option {
	return func(g *gatekeeper) {
		g.control = c
	}
}

// WithMaxWait bounds the time that a request waits.
func WithMaxWait(d time.Duration) Option {
	return func(g *gatekeeper) {
		g.maxWait = d
	}
}

const defaultMaxWait = 500 * time.Millisecond

// New returns a gatekeeper over a limiter and a queue.
func New(now Clock, l limiter.Limiter, q scheduler.Scheduler, opts ...Option) Gatekeeper {
	g := &gatekeeper{
		now:     now,
		limit:   l,
		queue:   q,
		maxWait: defaultMaxWait,
		waiters: map[uint64]chan verdict{},
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Enter waits for permission to run the call.
func (g *gatekeeper) Enter(ctx context.Context, c chivegauge.Call) (Pass, *chivegauge.Refusal) {
	now := g.now()
	item, ch, v := g.arrive(now, c)
	if ch == nil {
		return v.pass, v.refusal
	}
	timer := time.NewTimer(item.Expires.Sub(now))
	defer timer.Stop()
	select {
	case v = <-ch:
	case <-ctx.Done():
		v = g.abandon(item, ch, chivegauge.Refuse(chivegauge.CodeCancelled, "cancelled while waiting"))
	case <-timer.C:
		v = g.abandon(item, ch, busy("waited too long"))
	}
	return v.pass, v.refusal
}

func busy(message string) *chivegauge.Refusal {
	return chivegauge.Refuse(chivegauge.CodeBusy, message)
}

// arrive decides at once, or queues the call and returns the channel of its verdict.
func (g *gatekeeper) arrive(now time.Time, c chivegauge.Call) (scheduler.Item, chan verdict, verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.refuse(now, c); refusal != nil {
		return scheduler.Item{}, nil, verdict{
			refusal: refusal,
		}
	}
	if g.running < g.limit.Limit() && g.queue.Len() == 0 {
		return scheduler.Item{}, nil, g.admit(now, now)
	}
	g.nextID++
	item := scheduler.Item{
		ID:         g.nextID,
		Workspace:  c.Workspace,
		Importance: c.Importance,
		Queued:     now,
		Deadline:   c.Deadline,
		Expires:    earlier(c.Deadline, now.Add(g.maxWait)),
	}
	ch := make(chan verdict, 1)
	g.waiters[item.ID] = ch
	if victim, full := g.queue.Push(item); full {
		g.answer(victim, verdict{
			refusal: busy("the queue is full"),
		})
		g.waited(now, 0, true)
	}
	return item, ch, verdict{}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (g *gatekeeper) refuse(now time.Time, c chivegauge.Call) *chivegauge.Refusal {
	if g.draining {
		return chivegauge.Refuse(chivegauge.CodeDraining, "the backend server is leaving")
	}
	if !now.Before(c.Deadline) {
		return chivegauge.Refuse(chivegauge.CodeDeadline, "the deadline has passed")
	}
	if g.control == nil {
		return nil
	}
	if !g.control.Admit(now, admitter.ClassOf(c), admitter.Ticket(c.Root)) {
		return chivegauge.Refuse(chivegauge.CodeOverloaded, "below the admission level")
	}
	return nil
}

func (g *gatekeeper) admit(now, queued time.Time) verdict {
	asserter.Check(asserter.NoNewWorkWhenLeaving, !g.draining || queued.Before(now))
	g.running++
	g.waited(now, now.Sub(queued), false)
	return verdict{
		pass: Pass{
			began:    now,
			inFlight: g.running,
		},
	}
}

func (g *gatekeeper) waited(now time.Time, wait time.Duration, refused bool) {
	if g.control != nil {
		g.control.Waited(now, wait, refused)
	}
}

// answer gives a waiting request its verdict.
func (g *gatekeeper) answer(it scheduler.Item, v verdict) {
	g.waiters[it.ID] <- v
	delete(g.waiters, it.ID)
}

// abandon takes a request out of the queue, unless its verdict was given meanwhile.
func (g *gatekeeper) abandon(it scheduler.Item, ch chan verdict, refusal *chivegauge.Refusal) verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Remove(it) {
		return <-ch
	}
	delete(g.waiters, it.ID)
	now := g.now()
	g.waited(now, now.Sub(it.Queued), refusal.Code == chivegauge.CodeBusy)
	return verdict{
		refusal: refusal,
	}
}

// Leave gives the permission back and admits the next requests.
func (g *gatekeeper) Leave(p Pass, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.running--
	g.limit.Observe(now, limiter.Sample{
		Latency:  now.Sub(p.began),
		InFlight: p.inFlight,
		Waiting:  g.queue.Len(),
		Failed:   failed,
	})
	if g.control != nil {
		g.control.Finished(now)
	}
	for g.running < g.limit.Limit() {
		next, expired, ok := g.queue.Pop(now)
		for _, it := range expired {
			g.answer(it, verdict{
				refusal: busy("waited too long"),
			})
			g.waited(now, now.Sub(it.Queued), true)
		}
		if !ok {
			return
		}
		g.answer(next, g.admit(now, next.Queued))
	}
}

// Load returns the running and waiting requests and the limit.
func (g *gatekeeper) Load() picker.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return picker.Load{
		Running: g.running,
		Waiting: g.queue.Len(),
		Limit:   g.limit.Limit(),
	}
}

// Level returns the admission level for calls such as c.
func (g *gatekeeper) Level(c chivegauge.Call) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.control == nil {
		return 0
	}
	return g.control.Level(g.now(), admitter.ClassOf(c))
}

// ColdStart lets the limit rise anew.
func (g *gatekeeper) ColdStart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.limit.(limiter.Ramp); ok {
		r.Begin(g.now())
	}
}

// SetDraining refuses all new requests while it is on.
func (g *gatekeeper) SetDraining(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = on
}
