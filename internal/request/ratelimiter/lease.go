package ratelimiter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
	"github.com/chivegauge/chivegauge/internal/policy/lessee"
	"github.com/chivegauge/chivegauge/internal/policy/lessor"
)

const (
	// waitMax is the maximum time that a request waits for a token.
	waitMax = 100 * time.Millisecond

	// minRetryAfter is the shortest retry delay in a refusal.
	minRetryAfter = 10 * time.Millisecond

	leaseTimeout  = 300 * time.Millisecond
	sweepInterval = 100 * time.Millisecond

	// leaseExchangesMax is the maximum number of concurrent exchanges of lease requests with other nodes.
	leaseExchangesMax = 64
)

// Directory returns the owners of slots.
type Directory interface {
	// Owner returns the owner of the slot.
	Owner(slot int) chivegauge.SlotOwner
}

// LeaseLimiter is a rate limiter that leases its tokens from the owners of slots, and that owns slots itself.
type LeaseLimiter interface {
	RateLimiter
	// Configure sets the workspaces and their rates.
	Configure(c chivegauge.Configuration)
	// Open, Close and Owns manage the slots that this node owns.
	Open(slot int, fresh bool)
	Close(slot int)
	Owns(slot int) bool
	// Export and Import hand over a slot from one node to another.
	Export(slot int) ([]lessor.BucketState, bool)
	Import(slot int, states []lessor.BucketState)
	// OwnedSlots returns the number of slots that this node owns.
	OwnedSlots() int
	// GrantLeases grants the lease requests of another node.
	GrantLeases(r *messenger.DrawRequest) *messenger.DrawResponse
	// Serve returns idle tokens and ends expired leases until the context ends; it returns the error of the context.
	Serve(ctx context.Context) error
	// SetDirectory sets the directory of slot owners; it must be called before the first request.
	SetDirectory(d Directory)
}

type leaseLimiter struct {
	now    func() time.Time
	self   string
	client func(address string) messenger.Control

	mu        sync.Mutex
	lessor    lessor.Lessor
	lessee    lessee.Lessee
	directory Directory
	signals   map[string]chan struct{}

	group    sync.WaitGroup
	inFlight chan struct{}
}

// NewLeaseLimiter returns a rate limiter for the node at the address self. It calls other nodes through client, and ls
// grants leases from the slots that the node owns.
func NewLeaseLimiter(now func() time.Time, self string, client func(address string) messenger.Control, ls lessor.Lessor) LeaseLimiter {
	l := &leaseLimiter{
		now:      now,
		self:     self,
		client:   client,
		lessor:   ls,
		signals:  map[string]chan struct{}{},
		inFlight: make(chan struct{}, leaseExchangesMax),
	}
	l.lessee = lessee.New(l.lessor.Owns)
	return l
}

// SetDirectory sets the directory of slot owners.
func (l *leaseLimiter) SetDirectory(d Directory) {
	l.directory = d
}

// Configure sets the workspaces and their rates.
func (l *leaseLimiter) Configure(c chivegauge.Configuration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lessor.Configure(l.now(), c.Workspaces)
	l.lessee.Configure(c.Workspaces)
}

// Open makes this node the owner of a slot; fresh reports that the slot had no owner before.
func (l *leaseLimiter) Open(slot int, fresh bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lessor.Open(l.now(), slot, fresh)
}

// Close ends the ownership of a slot.
func (l *leaseLimiter) Close(slot int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lessor.Close(slot)
}

// Export ends the ownership of a slot and returns its buckets.
func (l *leaseLimiter) Export(slot int) ([]lessor.BucketState, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lessor.Export(l.now(), slot)
}

// Import opens a slot with the buckets of its previous owner.
func (l *leaseLimiter) Import(slot int, states []lessor.BucketState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lessor.Import(l.now(), slot, states)
}

// Owns reports whether this node owns a slot.
func (l *leaseLimiter) Owns(slot int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lessor.Owns(slot)
}

// OwnedSlots returns the number of slots that this node owns.
func (l *leaseLimiter) OwnedSlots() int {
	n := 0
	for slot := range chivegauge.SlotCount {
		if l.Owns(slot) {
			n++
		}
	}
	return n
}

// Acquire takes a token leased before, and waits for a new lease only if there is none.
func (l *leaseLimiter) Acquire(ctx context.Context, workspace string) *chivegauge.Refusal {
	l.mu.Lock()
	l.lessee.CountArrival(l.now(), workspace)
	if l.lessee.Acquire(l.now(), workspace) {
		requests := l.lessee.LeaseRequests(l.now(), workspace, false)
		l.mu.Unlock()
		l.sendRequests(requests)
		return nil
	}
	l.mu.Unlock()
	return l.waitForTokens(ctx, workspace)
}

// waitForTokens requests tokens from slot owners repeatedly, and takes one or refuses the request after at most
// waitMax.
func (l *leaseLimiter) waitForTokens(ctx context.Context, workspace string) *chivegauge.Refusal {
	deadline := l.now().Add(waitMax)
	for l.now().Before(deadline) {
		l.mu.Lock()
		if l.lessee.Acquire(l.now(), workspace) {
			l.mu.Unlock()
			return nil
		}
		requests := l.lessee.LeaseRequests(l.now(), workspace, true)
		wait := l.lessee.RetryDelay(l.now(), workspace)
		signal := l.signalFor(workspace)
		l.mu.Unlock()
		l.sendRequests(requests)
		if len(requests) == 0 && l.now().Add(wait).After(deadline) {
			break
		}
		if !l.waitForSignal(ctx, signal, deadline, wait) {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lessee.Acquire(l.now(), workspace) {
		return nil
	}
	wait := max(minRetryAfter, l.lessee.RetryDelay(l.now(), workspace))
	refusal := chivegauge.Refuse(chivegauge.CodeRateExceeded, "the workspace is above its rate and burst")
	return refusal.WithRetryAfter(int(wait.Milliseconds()))
}

// signalFor returns a channel that is closed when the response to a lease request for the workspace has arrived or the
// request has failed; l.mu is held.
func (l *leaseLimiter) signalFor(workspace string) chan struct{} {
	ch := l.signals[workspace]
	if ch == nil {
		ch = make(chan struct{})
		l.signals[workspace] = ch
	}
	return ch
}

// waitForSignal waits for the signal or for the retry delay, and reports whether one of them came before the deadline.
func (l *leaseLimiter) waitForSignal(ctx context.Context, signal chan struct{}, deadline time.Time, retryDelay time.Duration) bool {
	remaining := deadline.Sub(l.now())
	if remaining <= 0 {
		return false
	}
	if retryDelay <= 0 {
		retryDelay = remaining
	}
	timer := time.NewTimer(min(remaining, retryDelay))
	defer timer.Stop()
	select {
	case <-signal:
		return true
	case <-timer.C:
		return l.now().Before(deadline)
	case <-ctx.Done():
		return false
	}
}

// GrantLeases grants the lease requests of another node.
func (l *leaseLimiter) GrantLeases(r *messenger.DrawRequest) *messenger.DrawResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	res := &messenger.DrawResponse{}
	for _, item := range r.GetItems() {
		g := l.lessor.Grant(l.now(), decodeLeaseRequest(item), rand.Uint64)
		res.Items = append(res.Items, encodeGrant(g))
	}
	return res
}

// Serve returns idle tokens and ends expired leases until the context ends.
func (l *leaseLimiter) Serve(ctx context.Context) error {
	defer l.group.Wait()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		l.mu.Lock()
		requests := l.lessee.ReturnIdle(l.now())
		l.lessor.Sweep(l.now())
		l.mu.Unlock()
		l.sendRequests(requests)
	}
}
