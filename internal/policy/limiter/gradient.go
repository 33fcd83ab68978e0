package limiter

import (
	"math"
	"time"
)

const (
	// gradientTolerance is the ratio of the short to the long latency average up to which the limit isn't reduced.
	gradientTolerance = 1.5

	// gradientSmoothing is the weight of the newly computed limit in the moving average of the limit.
	gradientSmoothing = 0.2

	// gradientLongWeight and gradientShortWeight are the weights of a new sample in the two latency averages.
	gradientLongWeight  = 0.002
	gradientShortWeight = 0.1
)

// gradient adapts the limit to the ratio of a long to a short moving average of the latency, both in seconds.
type gradient struct {
	bounds Bounds
	limit  float64
	long   float64
	short  float64
}

// NewGradient returns a Limiter that follows the ratio of a long to a short moving average of the latency.
func NewGradient(b Bounds) Limiter {
	return &gradient{
		bounds: b,
		limit:  float64(b.Initial),
	}
}

// Limit returns the limit in concurrent runs.
func (g *gradient) Limit() int {
	return int(g.limit)
}

// Observe updates the averages and, if at least half of the limit was in use, the limit.
func (g *gradient) Observe(_ time.Time, s Sample) {
	latency := s.Latency.Seconds()
	if g.long == 0 {
		g.long = latency
		g.short = latency
	}
	g.long += gradientLongWeight * (latency - g.long)
	g.short += gradientShortWeight * (latency - g.short)
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
