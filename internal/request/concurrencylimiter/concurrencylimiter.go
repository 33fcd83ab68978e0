package concurrencylimiter

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

// Permit is a permit to run one request.
type Permit struct {
	startedAt time.Time
	inFlight  int
}

// ConcurrencyLimiter limits the number of requests that run concurrently on one backend server, and the rate at which
// they are admitted if the backend server announces a limit.
type ConcurrencyLimiter interface {
	// Acquire waits for a permit to run the call, or returns a refusal that says that the call did not run.
	Acquire(ctx context.Context, c chivegauge.Call) (Permit, *chivegauge.Refusal)
	// Release returns the permit; failed reports whether the run failed.
	Release(p Permit, failed bool)
	// Load returns the number of running and of queued requests and the concurrency limit.
	Load() picker.Load
	// Level returns the admission level of this backend server for calls with the importance and workspace of c.
	Level(c chivegauge.Call) int
	// ColdStart restarts the ramp-up of the limit after the backend server was started.
	ColdStart()
	// SetRate limits the requests that are admitted per second.
	SetRate(perSecond float64)
	// RemoveRate removes that limit.
	RemoveRate()
	// StartProbation admits few requests at once until EndProbation, or for probationMax from the first one.
	StartProbation()
	// EndProbation ends the probation.
	EndProbation()
	// SetDraining turns draining on or off: while it is on, new requests are refused and queued ones still run.
	SetDraining(on bool)
}

// decision is the permit or the refusal of a request.
type decision struct {
	permit  Permit
	refusal *chivegauge.Refusal
}

type concurrencyLimiter struct {
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
	pace      pace
	nextCall  time.Time // of admitQueued, zero if none is scheduled
	probation probation
}

// Option configures a concurrency limiter.
type Option func(*concurrencyLimiter)

// WithAdmission refuses calls below the admission level of the controller.
func WithAdmission(c admitter.Controller) Option {
	return func(cl *concurrencyLimiter) {
		cl.admission = c
	}
}

// WithMaxWait sets the maximum time that a request is queued.
func WithMaxWait(d time.Duration) Option {
	return func(cl *concurrencyLimiter) {
		cl.maxWait = d
	}
}

const defaultMaxWait = 500 * time.Millisecond

// New returns a concurrency limiter that takes its concurrency limit from l and queues requests in q.
func New(now Clock, l limiter.Limiter, q scheduler.Scheduler, opts ...Option) ConcurrencyLimiter {
	cl := &concurrencyLimiter{
		now:     now,
		limiter: l,
		queue:   q,
		maxWait: defaultMaxWait,
		waiters: map[uint64]chan decision{},
	}
	for _, opt := range opts {
		opt(cl)
	}
	return cl
}

// Acquire waits for a permit to run the call.
func (cl *concurrencyLimiter) Acquire(ctx context.Context, c chivegauge.Call) (Permit, *chivegauge.Refusal) {
	now := cl.now()
	item, ch, d := cl.admitOrEnqueue(now, c)
	if ch == nil {
		return d.permit, d.refusal
	}
	timer := time.NewTimer(item.Expires.Sub(now))
	defer timer.Stop()
	select {
	case d = <-ch:
	case <-ctx.Done():
		d = cl.dequeue(item, ch, chivegauge.Refuse(chivegauge.CodeCancelled, "cancelled while waiting"))
	case <-timer.C:
		d = cl.dequeue(item, ch, busyRefusal("waited too long"))
	}
	return d.permit, d.refusal
}

func busyRefusal(message string) *chivegauge.Refusal {
	return chivegauge.Refuse(chivegauge.CodeBusy, message)
}

// admitOrEnqueue admits or refuses the call immediately, or queues it and returns the channel that its decision is sent
// to.
func (cl *concurrencyLimiter) admitOrEnqueue(now time.Time, c chivegauge.Call) (scheduler.Item, chan decision, decision) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if refusal := cl.refusalFor(now, c); refusal != nil {
		return scheduler.Item{}, nil, decision{
			refusal: refusal,
		}
	}
	if cl.running < cl.limit(now) && cl.queue.Len() == 0 && cl.pace.take(now) {
		return scheduler.Item{}, nil, cl.admit(now, now)
	}
	cl.lastID++
	item := scheduler.Item{
		ID:         cl.lastID,
		Workspace:  c.Workspace,
		Importance: c.Importance,
		Queued:     now,
		Deadline:   c.Deadline,
		Expires:    earlier(c.Deadline, now.Add(cl.maxWait)),
	}
	ch := make(chan decision, 1)
	cl.waiters[item.ID] = ch
	if evicted, full := cl.queue.PushWithin(item, cl.pace.queueMax(cl.maxWait)); full {
		cl.deliver(evicted, decision{
			refusal: busyRefusal("the queue is full"),
		})
		cl.observeWait(now, 0, true)
	}
	cl.admitQueued(now)
	return item, ch, decision{}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// refusalFor returns the refusal of a new call that must not be queued, or nil; cl.mu is held.
func (cl *concurrencyLimiter) refusalFor(now time.Time, c chivegauge.Call) *chivegauge.Refusal {
	if cl.draining {
		return chivegauge.Refuse(chivegauge.CodeDraining, "the backend server is leaving")
	}
	if !now.Before(c.Deadline) {
		return chivegauge.Refuse(chivegauge.CodeDeadline, "the deadline has passed")
	}
	if cl.admission == nil {
		return nil
	}
	if !cl.admission.Admit(now, admitter.ClassOf(c), admitter.ShedRank(c.Root)) {
		return chivegauge.Refuse(chivegauge.CodeOverloaded, "below the admission level")
	}
	return nil
}

// admit counts a request as running and returns its permit; cl.mu is held.
func (cl *concurrencyLimiter) admit(now, queued time.Time) decision {
	asserter.Check(asserter.NoNewWorkWhenLeaving, !cl.draining || queued.Before(now))
	cl.running++
	if cl.probation.begins() {
		cl.probation.until = now.Add(probationMax)
		cl.scheduleAdmission(now, probationMax)
	}
	cl.observeWait(now, now.Sub(queued), false)
	return decision{
		permit: Permit{
			startedAt: now,
			inFlight:  cl.running,
		},
	}
}

// observeWait reports the queueing time of a request to the admission controller, if there is one.
func (cl *concurrencyLimiter) observeWait(now time.Time, wait time.Duration, refused bool) {
	if cl.admission != nil {
		cl.admission.ObserveWait(now, wait, refused)
	}
}

// deliver sends a queued request its decision; cl.mu is held.
func (cl *concurrencyLimiter) deliver(item scheduler.Item, d decision) {
	cl.waiters[item.ID] <- d
	delete(cl.waiters, item.ID)
}

// dequeue removes a request from the queue and refuses it, or returns its decision if that was sent in the meantime.
func (cl *concurrencyLimiter) dequeue(item scheduler.Item, ch chan decision, refusal *chivegauge.Refusal) decision {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if !cl.queue.Remove(item) {
		return <-ch
	}
	delete(cl.waiters, item.ID)
	now := cl.now()
	cl.observeWait(now, now.Sub(item.Queued), refusal.Code == chivegauge.CodeBusy)
	return decision{
		refusal: refusal,
	}
}

// Release returns the permit and admits the next queued requests within the limit.
func (cl *concurrencyLimiter) Release(p Permit, failed bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	now := cl.now()
	cl.running--
	cl.limiter.Observe(now, limiter.Sample{
		Latency:  now.Sub(p.startedAt),
		InFlight: p.inFlight,
		Waiting:  cl.queue.Len(),
		Failed:   failed,
	})
	if cl.admission != nil {
		cl.admission.CountFinished(now)
	}
	cl.pace = cl.pace.withRun(now.Sub(p.startedAt))
	cl.admitQueued(now)
}

// admitQueued admits queued requests within the limit and the rate, and calls itself again when the rate admits the next
// one; cl.mu is held.
func (cl *concurrencyLimiter) admitQueued(now time.Time) {
	for cl.queue.Len() > 0 && cl.running < cl.limit(now) {
		if wait := cl.pace.wait(now); wait > 0 {
			cl.scheduleAdmission(now, wait)
			return
		}
		next, expired, ok := cl.queue.Pop(now)
		for _, item := range expired {
			cl.deliver(item, decision{
				refusal: busyRefusal("waited too long"),
			})
			cl.observeWait(now, now.Sub(item.Queued), true)
		}
		if !ok {
			return
		}
		cl.pace.take(now)
		cl.deliver(next, cl.admit(now, next.Queued))
	}
}

// scheduleAdmission calls admitQueued after the wait, unless an earlier call is scheduled; cl.mu is held.
func (cl *concurrencyLimiter) scheduleAdmission(now time.Time, wait time.Duration) {
	at := now.Add(wait)
	if !cl.nextCall.IsZero() && !at.Before(cl.nextCall) {
		return
	}
	cl.nextCall = at
	time.AfterFunc(wait, func() {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		if cl.nextCall.Equal(at) {
			cl.nextCall = time.Time{}
		}
		cl.admitQueued(cl.now())
	})
}

// SetRate limits the requests that are admitted per second.
func (cl *concurrencyLimiter) SetRate(perSecond float64) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	now := cl.now()
	cl.pace = cl.pace.withRate(now, perSecond)
	cl.admitQueued(now)
}

// RemoveRate removes the limit of the requests that are admitted per second.
func (cl *concurrencyLimiter) RemoveRate() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.pace = cl.pace.withoutRate()
	cl.admitQueued(cl.now())
}

// Load returns the number of running and of queued requests and the concurrency limit, or the lower concurrency at which
// the rate is reached.
func (cl *concurrencyLimiter) Load() picker.Load {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return picker.Load{
		Running: cl.running,
		Waiting: cl.queue.Len(),
		Limit:   cl.pace.concurrency(cl.limit(cl.now())),
	}
}

// Level returns the admission level for calls with the importance and workspace of c, 0 without admission control.
func (cl *concurrencyLimiter) Level(c chivegauge.Call) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.admission == nil {
		return 0
	}
	return cl.admission.Level(cl.now(), admitter.ClassOf(c))
}

// ColdStart restarts the ramp-up of the limit, if the limiter has one.
func (cl *concurrencyLimiter) ColdStart() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if r, ok := cl.limiter.(limiter.Ramp); ok {
		r.Begin(cl.now())
	}
}

// SetDraining turns draining on or off.
func (cl *concurrencyLimiter) SetDraining(on bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.draining = on
}
