package finisher

import "time"

// The expected time of a request is the moving average of the times on its route plus a multiple of their mean
// deviation, as in RFC 6298.
const (
	averageWeight   = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
)

// Finisher decides which requests begin while a node stops; it is not safe for concurrent use.
type Finisher interface {
	// Observe records how long a request on the route took.
	Observe(route string, took time.Duration)
	// Stop sets the time at which requests must have ended.
	Stop(end time.Time)
	// Admit returns the deadline for a request that begins at now, which is not after the end of the node, or false if the
	// request is not expected to end in time.
	Admit(now time.Time, route string, deadline time.Time) (time.Time, bool)
}

// times are the times that the requests on one route took.
type times struct {
	average   time.Duration
	deviation time.Duration
}

// withTime returns the times with one more.
func (t times) withTime(took time.Duration) times {
	off := took - t.average
	t.average += scale(off, averageWeight)
	t.deviation += scale(off.Abs()-t.deviation, deviationWeight)
	return t
}

func (t times) expected() time.Duration {
	return t.average + deviations*t.deviation
}

func scale(d time.Duration, weight float64) time.Duration {
	return time.Duration(weight * float64(d))
}

type finisher struct {
	routes map[string]times
	end    time.Time
}

// New returns a Finisher that admits all requests until Stop is called.
func New() Finisher {
	return &finisher{
		routes: map[string]times{},
	}
}

// Observe records how long a request on the route took.
func (f *finisher) Observe(route string, took time.Duration) {
	t, ok := f.routes[route]
	if !ok {
		t = times{
			average:   took,
			deviation: took / 2,
		}
	}
	f.routes[route] = t.withTime(took)
}

// Stop sets the time at which requests must have ended.
func (f *finisher) Stop(end time.Time) {
	f.end = end
}

// Admit admits a request that ends in time by its deadline, or by what requests on its route take; one on a route
// without any may take the whole time until its deadline.
func (f *finisher) Admit(now time.Time, route string, deadline time.Time) (time.Time, bool) {
	if f.end.IsZero() || !deadline.After(f.end) {
		return deadline, true
	}
	t, ok := f.routes[route]
	return f.end, ok && !now.Add(t.expected()).After(f.end)
}
