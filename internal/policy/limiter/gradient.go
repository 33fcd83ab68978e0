package limiter

import (
	"math"
	"time"
)

const (
	gradientTolerance = 1.5
	gradientSmoothing = 0.2
	gradientLongShare = 0.002
	gradientShortMix  = 0.1
)

// gradient compares a short average of the latency with a long one.
type gradient struct {
	bounds Bounds
	limit  float64
	long   float64
	short  float64
}

// NewGradient returns a limiter that follows the ratio of a long to a short latency average.
func NewGradient(b Bounds) Limiter {
	return &gradient{
		bounds: b,
		limit:  float64(b.Initial),
	}
}

// Limit returns the limit in runs.
func (g *gradient) Limit() int {
	return int(g.limit)
}

// Observe moves the limit by the latency gradient.
func (g *gradient) Observe(_ time.Time, s Sample) {
	latency := s.Latency.Seconds()
	if g.long == 0 {
		g.long = latency
		g.short = latency
	}
	g.long += gradientLongShare * (latency - g.long)
	g.short += gradientShortMix * (latency - g.short)
	if g.long > 2*g.short {
		g.long *= 0.95
	}
	if float64(s.InFlight) < g.limit/2 {
		return
	}
	ratio := min(1, max(0.5, gradientTolerance*g.long/g.short))
	next := g.limit*ratio + math.Sqrt(g.limit)
	next = g.limit*(1-gradientSmoothing) + next*gradientSmoothing
	g.limit = g.bounds.clamp(next)
}
