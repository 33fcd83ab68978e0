package limiter

import (
	"time"

	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
)

// Sample is the observation of one finished run: its latency, and how many runs were in flight and requests waiting.
type Sample struct {
	Latency  time.Duration
	InFlight int
	Waiting  int
	Failed   bool
}

// Limiter holds a concurrency limit and adapts it to the observed runs.
type Limiter interface {
	// Limit returns the maximum number of concurrent runs, at least 1.
	Limit() int
	// Observe records one run that finished at now.
	Observe(now time.Time, s Sample)
}

// Bounds are the initial and the maximum limit, in concurrent runs.
type Bounds struct {
	Initial int
	Max     int
}

func (b Bounds) clamp(limit float64) float64 {
	limit = min(max(limit, 1), float64(b.Max))
	asserter.Check(asserter.LimitInBounds, limit >= 1)
	return limit
}

type static struct {
	limit int
}

// NewStatic returns a Limiter with a constant limit.
func NewStatic(limit int) Limiter {
	return &static{
		limit: max(1, limit),
	}
}

// Limit returns the limit in concurrent runs.
func (s *static) Limit() int {
	return s.limit
}

// Observe ignores the run.
func (s *static) Observe(time.Time, Sample) {}
