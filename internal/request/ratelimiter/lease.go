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
	// Holder returns the owner of the slot.
	Holder(slot int) chivegauge.SlotHolder
}

// LeaseLimiter is a rate limiter that leases its tokens from the owners of slots, and that owns slots itself.
type LeaseLimiter interface {
	RateLimiter
	// Configure sets the workspaces and their rates.
	Configure(c chivegauge.Configuration)
	// Open, Close and Keeps manage the slots that this node owns.
	Open(slot int, fresh bool)
	Close(slot int)
	Owns(slot int) bool
	// Export and Import hand over a slot from one node to another.
	Export(slot int) ([]lessor.BucketState, bool)
	Import(slot int, states []lessor.BucketState)
	// OwnedSlots returns the number of slots that this node owns.
	OwnedSlots() int
	// Draw grants the lease requests of another node.
	Draw(r *messenger.DrawRequest) *messenger.DrawResponse
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

// NewLeaseLimiter returns a rate limiter for the node at the address self. It calls other nodes through client, and k grants leases
// from the slots that the node owns.
func NewLeaseLimiter(now func() time.Time, self string, client func(address string) messenger.Control, k lessor.Lessor) LeaseLimiter {
	s := &leaseLimiter{
		now:      now,
		self:     self,
		client:   client,
		lessor:   k,
		signals:  map[string]chan struct{}{},
		inFlight: make(chan struct{}, leaseExchangesMax),
	}
	s.lessee = lessee.New(s.lessor.Owns)
	return s
}

// SetDirectory sets the directory of slot owners.
func (s *leaseLimiter) SetDirectory(d Directory) {
	s.directory = d
}

// Configure sets the workspaces and their rates.
func (s *leaseLimiter) Configure(c chivegauge.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lessor.Configure(s.now(), c.Workspaces)
	s.lessee.Configure(c.Workspaces)
}

// Open makes this node the owner of a slot; fresh reports that the slot had no owner before.
func (s *leaseLimiter) Open(slot int, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lessor.Open(s.now(), slot, fresh)
}

// Close ends the ownership of a slot.
func (s *leaseLimiter) Close(slot int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lessor.Close(slot)
}

// Export ends the ownership of a slot and returns its buckets.
func (s *leaseLimiter) Export(slot int) ([]lessor.BucketState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lessor.Export(s.now(), slot)
}

// Import opens a slot with the buckets of its previous owner.
func (s *leaseLimiter) Import(slot int, states []lessor.BucketState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lessor.Import(s.now(), slot, states)
}

// Owns reports whether this node owns a slot.
func (s *leaseLimiter) Owns(slot int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lessor.Owns(slot)
}

// OwnedSlots returns the number of slots that this node owns.
func (s *leaseLimiter) OwnedSlots() int {
	n := 0
	for slot := range chivegauge.SlotCount {
		if s.Owns(slot) {
			n++
		}
	}
	return n
}

// Acquire takes a token leased before, and waits for a new lease only if there is none.
func (s *leaseLimiter) Acquire(ctx context.Context, workspace string) *chivegauge.Refusal {
	s.mu.Lock()
	s.lessee.CountArrival(s.now(), workspace)
	if s.lessee.Acquire(s.now(), workspace) {
		requests := s.lessee.LeaseRequests(s.now(), workspace, false)
		s.mu.Unlock()
		s.sendRequests(requests)
		return nil
	}
	s.mu.Unlock()
	return s.waitForTokens(ctx, workspace)
}

// waitForTokens requests tokens from slot owners repeatedly, and takes one or refuses the request after at most waitMax.
func (s *leaseLimiter) waitForTokens(ctx context.Context, workspace string) *chivegauge.Refusal {
	deadline := s.now().Add(waitMax)
	for s.now().Before(deadline) {
		s.mu.Lock()
		if s.lessee.Acquire(s.now(), workspace) {
			s.mu.Unlock()
			return nil
		}
		requests := s.lessee.LeaseRequests(s.now(), workspace, true)
		wait := s.lessee.RetryDelay(s.now(), workspace)
		signal := s.signalFor(workspace)
		s.mu.Unlock()
		s.sendRequests(requests)
		if len(requests) == 0 && s.now().Add(wait).After(deadline) {
			break
		}
		if !s.waitForSignal(ctx, signal, deadline, wait) {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lessee.Acquire(s.now(), workspace) {
		return nil
	}
	wait := max(minRetryAfter, s.lessee.RetryDelay(s.now(), workspace))
	refusal := chivegauge.Refuse(chivegauge.CodeRateExceeded, "the workspace is above its rate and burst")
	return refusal.WithRetryAfter(int(wait.Milliseconds()))
}

// signalFor returns a channel that is closed when a lease request for the workspace has been answered or has failed; s.mu is
// held.
func (s *leaseLimiter) signalFor(workspace string) chan struct{} {
	ch := s.signals[workspace]
	if ch == nil {
		ch = make(chan struct{})
		s.signals[workspace] = ch
	}
	return ch
}

// waitForSignal waits for the signal or for the retry delay, and reports whether one of them came before the deadline.
func (s *leaseLimiter) waitForSignal(ctx context.Context, signal chan struct{}, deadline time.Time, retryDelay time.Duration) bool {
	remaining := deadline.Sub(s.now())
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
		return s.now().Before(deadline)
	case <-ctx.Done():
		return false
	}
}

// Draw grants the lease requests of another node.
func (s *leaseLimiter) Draw(r *messenger.DrawRequest) *messenger.DrawResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := &messenger.DrawResponse{}
	for _, item := range r.GetItems() {
		g := s.lessor.Grant(s.now(), decodeLeaseRequest(item), rand.Uint64)
		res.Items = append(res.Items, encodeGrant(g))
	}
	return res
}

// Serve returns idle tokens and ends expired leases until the context ends.
func (s *leaseLimiter) Serve(ctx context.Context) error {
	defer s.group.Wait()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		s.mu.Lock()
		requests := s.lessee.ReturnIdle(s.now())
		s.lessor.Sweep(s.now())
		s.mu.Unlock()
		s.sendRequests(requests)
	}
}
