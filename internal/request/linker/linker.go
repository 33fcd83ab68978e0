package linker

import (
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
)

const (
	// cutPart is the part of a route's deadline below which a call's time is taken as cut by its parent's.
	cutPart = 0.8

	// tolerance covers the whole milliseconds in which times are handed on, and the way to the backend server and back.
	tolerance = 2 * time.Millisecond

	// matchesMin and matchesPart are the number of calls, and their part, that must be found to come from a route before
	// it counts as one that makes calls; runs of other routes end at the same moment by chance, in under a hundredth of cases.
	matchesMin  = 3
	matchesPart = 0.05

	// knownMax is the number of calls after which the counts are halved, so that a route that changed is noticed.
	knownMax = 1000
)

// Linker knows the running requests and learns from the calls that begin while they run.
type Linker interface {
	// Begin takes in a request that is sent to the backend server, and returns a number by which it ends.
	Begin(route string, importance chivegauge.Importance, deadline time.Time) uint64
	// End takes in that the request of the number runs no more.
	End(run uint64)
	// Called takes in a call on the route, and returns the importance of the request that made it, if that is known.
	Called(now time.Time, route chivegauge.Route, deadline time.Time) (chivegauge.Importance, bool)
	// Calls reports whether requests on the route make calls.
	Calls(route string) bool
	// FromHere reports whether calls on the route come from the backend server.
	FromHere(route string) bool
}

// run is a request that runs on the backend server.
type run struct {
	route      string
	importance chivegauge.Importance
	deadline   time.Time
}

type linker struct {
	mu      sync.Mutex
	next    uint64
	running map[uint64]run
	known   int
	parents map[string]int
	calls   map[string]int
}

// New returns a linker that knows nothing.
func New() Linker {
	return &linker{
		running: map[uint64]run{},
		parents: map[string]int{},
		calls:   map[string]int{},
	}
}

// Begin takes in a request that is sent to the backend server.
func (l *linker) Begin(route string, importance chivegauge.Importance, deadline time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	l.running[l.next] = run{
		route:      route,
		importance: importance,
		deadline:   deadline,
	}
	return l.next
}

// End takes in that a request runs no more.
func (l *linker) End(run uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, run)
}

// Called looks for the running request that made the call.
func (l *linker) Called(now time.Time, route chivegauge.Route, deadline time.Time) (chivegauge.Importance, bool) {
	cut := float64(deadline.Sub(now)) < cutPart*float64(route.Deadline())
	l.mu.Lock()
	defer l.mu.Unlock()
	parent, importance, ok := l.match(deadline, cut)
	if !ok {
		return 0, false
	}
	l.count()
	l.parents[parent]++
	l.calls[route.Name]++
	return importance, importance != unknown
}

// unknown is the importance of a parent that may be one of several.
const unknown = chivegauge.Importance(-1)

// match returns the route of the parent, and its importance if that is known: a cut call ends with its parent, and no
// call ends after it.
func (l *linker) match(deadline time.Time, cut bool) (string, chivegauge.Importance, bool) {
	exact := candidates{}
	possible := candidates{}
	for _, r := range l.running {
		left := r.deadline.Sub(deadline)
		if left < -tolerance {
			continue
		}
		possible.add(r)
		if cut && left <= tolerance {
			exact.add(r)
		}
	}
	if exact.single() {
		return exact.route, exact.importance, true
	}
	return possible.route, possible.importance, possible.single()
}

// candidates are the running requests that may have made a call.
type candidates struct {
	routes     int
	route      string
	importance chivegauge.Importance
}

func (c *candidates) add(r run) {
	switch {
	case c.routes == 0:
		c.routes = 1
		c.route = r.route
		c.importance = r.importance
		return
	case r.route != c.route:
		c.routes++
	}
	if r.importance != c.importance {
		c.importance = unknown
	}
}

// single reports whether all of them are of one route.
func (c *candidates) single() bool {
	return c.routes == 1
}

// count takes in one call whose parent's route is known.
func (l *linker) count() {
	l.known++
	if l.known < knownMax {
		return
	}
	l.known /= 2
	for _, counts := range []map[string]int{l.parents, l.calls} {
		for route, n := range counts {
			counts[route] = n / 2
		}
	}
}

// enough reports whether so many matches are no chance.
func (l *linker) enough(n int) bool {
	return n >= matchesMin && float64(n) >= matchesPart*float64(l.known)
}

// Calls reports whether requests on the route make calls.
func (l *linker) Calls(route string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.enough(l.parents[route])
}

// FromHere reports whether the calls on the route come from the backend server.
func (l *linker) FromHere(route string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.enough(l.calls[route])
}
