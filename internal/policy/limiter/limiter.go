package limiter

import (
	"time"

	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
)

// Sample is what one finished run showed.
type Sample struct {
	Latency  time.Duration
	InFlight int
	Waiting  int
	Failed   bool
}

// Limiter holds a concurrency limit and adapts it to the runs observed.
type Limiter interface {
	// Limit returns the number of runs allowed at once, at least 1.
	Limit() int
	// Observe takes in one finished run at now.
	Observe(now time.Time, s Sample)
}

// Bounds are the limits within which a limiter stays, in runs.
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

// NewStatic returns a limiter that never changes.
func NewStatic(limit int) Limiter {
	return &static{
		limit: max(1, limit),
	}
}

// Limit returns the limit in runs.
func (s *static) Limit() int {
	return s.limit
}

// Observe ignores the run.
func (s *static) Observe(time.Time, Sample) {}
