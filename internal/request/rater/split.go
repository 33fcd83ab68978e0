package rater

import (
	"context"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
)

// Split is a rater that gives each node an equal, fixed part of each rate.
type Split interface {
	Rater
	// Configure sets the workspaces.
	Configure(c chivegauge.Configuration)
}

type splitBucket struct {
	rate  float64
	burst float64
	level float64
	at    time.Time
}

type split struct {
	mu      sync.Mutex
	now     func() time.Time
	nodes   func() int
	buckets map[string]*splitBucket
}

// NewSplit returns a rater that divides rates by the number of nodes.
func NewSplit(now func() time.Time, nodes func() int) Split {
	return &split{
		now:     now,
		nodes:   nodes,
		buckets: map[string]*splitBucket{},
	}
}

// Configure sets the workspaces.
func (s *split) Configure(c chivegauge.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	buckets := map[string]*splitBucket{}
	for _, w := range c.Workspaces {
		b := s.buckets[w.Name]
		if b == nil {
			b = &splitBucket{
				level: w.Burst / float64(s.nodes()),
				at:    s.now(),
			}
		}
		b.rate = w.RatePerSecond
		b.burst = w.Burst
		buckets[w.Name] = b
	}
	s.buckets = buckets
}

// Take spends a token of this node's part.
func (s *split) Take(_ context.Context, workspace string) *chivegauge.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[workspace]
	if b == nil {
		return chivegauge.Refuse(chivegauge.CodeRateExceeded, "the workspace is not known")
	}
	now := s.now()
	nodes := float64(s.nodes())
	b.level = min(b.burst/nodes, b.level+b.rate/nodes*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < 1 {
		return chivegauge.Refuse(chivegauge.CodeRateExceeded, "the workspace is above this node's part of its rate")
	}
	b.level--
	return nil
}
