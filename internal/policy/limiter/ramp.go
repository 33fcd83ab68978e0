package limiter

import "time"

// rampInitialFraction is the fraction of the limit at the beginning of a cold start.
const rampInitialFraction = 0.1

// Ramp is a Limiter whose limit rises during a cold start of the backend server.
type Ramp interface {
	Limiter
	// Begin starts a cold start at now.
	Begin(now time.Time)
}

// ramp raises the limit linearly from a tenth of the limit of another limiter to the whole during a cold start.
type ramp struct {
	Limiter
	started  time.Time
	duration time.Duration
	now      time.Time
}

// NewRamp returns a Ramp that reduces the limit of l during a cold start of the duration, which began at started.
func NewRamp(l Limiter, started time.Time, duration time.Duration) Ramp {
	return &ramp{
		Limiter:  l,
		started:  started,
		duration: duration,
		now:      started,
	}
}

// Limit returns the limit in concurrent runs; it is reduced during a cold start.
func (r *ramp) Limit() int {
	limit := r.Limiter.Limit()
	elapsed := r.now.Sub(r.started)
	if elapsed >= r.duration {
		return limit
	}
	fraction := rampInitialFraction + (1-rampInitialFraction)*float64(elapsed)/float64(r.duration)
	return max(1, int(fraction*float64(limit)))
}

// Observe records the time and, after the cold start, passes the run to the other limiter.
func (r *ramp) Observe(now time.Time, s Sample) {
	r.now = now
	if now.Sub(r.started) >= r.duration {
		r.Limiter.Observe(now, s)
	}
}

// Begin starts a cold start.
func (r *ramp) Begin(now time.Time) {
	r.started = now
	r.now = now
}
