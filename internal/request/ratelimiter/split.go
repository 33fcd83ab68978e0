package ratelimiter

import (
	"context"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
)

// SplitLimiter is a rate limiter that divides each rate and burst equally among the nodes.
type SplitLimiter interface {
	RateLimiter
	// Configure sets the workspaces and their rates.
	Configure(c chivegauge.Configuration)
}

// splitBucket is the token bucket of a workspace at this node; rate, in tokens per second, and burst are those of all
// nodes.
type splitBucket struct {
	rate       float64
	burst      float64
	tokens     float64
	refilledAt time.Time
}

type splitLimiter struct {
	mu        sync.Mutex
	now       func() time.Time
	nodeCount func() int
	buckets   map[string]*splitBucket
}

// NewSplitLimiter returns a rate limiter that divides each rate and burst by the number of nodes.
func NewSplitLimiter(now func() time.Time, nodeCount func() int) SplitLimiter {
	return &splitLimiter{
		now:       now,
		nodeCount: nodeCount,
		buckets:   map[string]*splitBucket{},
	}
}

// Configure sets the workspaces and their rates; a workspace that is kept keeps its tokens.
func (s *splitLimiter) Configure(c chivegauge.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	buckets := map[string]*splitBucket{}
	for _, w := range c.Workspaces {
		b := s.buckets[w.Name]
		if b == nil {
			b = &splitBucket{
				tokens:     w.Burst / float64(s.nodeCount()),
				refilledAt: s.now(),
			}
		}
		b.rate = w.RatePerSecond
		b.burst = w.Burst
		buckets[w.Name] = b
	}
	s.buckets = buckets
}

// Acquire takes a token of this node's share of the rate.
func (s *splitLimiter) Acquire(_ context.Context, workspace string) *chivegauge.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[workspace]
	if b == nil {
		return chivegauge.Refuse(chivegauge.CodeRateExceeded, "the workspace is not known")
	}
	now := s.now()
	nodes := float64(s.nodeCount())
	b.tokens = min(b.burst/nodes, b.tokens+b.rate/nodes*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return chivegauge.Refuse(chivegauge.CodeRateExceeded, "the workspace is above this node's part of its rate")
	}
	b.tokens--
	return nil
}
