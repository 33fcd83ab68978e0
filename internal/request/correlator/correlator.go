package correlator

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
)

const (
	// inheritedShare is the share of a route's deadline below which the remaining time of a call is taken to be inherited
	// from its parent.
	inheritedShare = 0.8

	// deadlineTolerance covers the rounding of propagated times to whole milliseconds, and the round trip to the backend
	// server.
	deadlineTolerance = 2 * time.Millisecond

	// matchesMin and matchesShareMin are the number of calls and their share of all attributed calls that must be
	// attributed to a route before its requests count as making nested calls. By chance, requests of other routes have the
	// same deadline in less than a hundredth of the calls.
	matchesMin      = 3
	matchesShareMin = 0.05

	// attributedMax is the number of attributed calls after which all counts are halved, so that the counts follow routes
	// whose behaviour changes.
	attributedMax = 1000
)

// Correlator attributes nested calls to the requests that run on the backend server.
type Correlator interface {
	// Begin adds a request that is sent to the backend server, and returns the ID by which it ends.
	Begin(route string, importance chivegauge.Importance, deadline time.Time) uint64
	// End removes the request with the ID.
	End(id uint64)
	// Attribute attributes a call on the route to a running request, and returns the importance of that request, or false
	// if it can't be determined.
	Attribute(now time.Time, route chivegauge.Route, deadline time.Time) (chivegauge.Importance, bool)
	// MakesNestedCalls reports whether requests on the route make nested calls.
	MakesNestedCalls(route string) bool
	// CalledByBackend reports whether calls on the route are made by requests that run on the backend server.
	CalledByBackend(route string) bool
}

// request is a request that runs on the backend server.
type request struct {
	id         uint64
	route      string
	importance chivegauge.Importance
	deadline   time.Time
}

type correlator struct {
	mu     sync.Mutex
	lastID uint64

	// running is sorted by deadline.
	running []request

	// attributed is the number of attributed calls; parents counts them by the route of the parent, callees by their own.
	attributed int
	parents    map[string]int
	callees    map[string]int
}

// New returns a correlator without running requests.
func New() Correlator {
	return &correlator{
		parents: map[string]int{},
		callees: map[string]int{},
	}
}

// Begin adds a request that is sent to the backend server.
func (c *correlator) Begin(route string, importance chivegauge.Importance, deadline time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	at := sort.Search(len(c.running), func(n int) bool { return c.running[n].deadline.After(deadline) })
	c.running = slices.Insert(c.running, at, request{
		id:         c.lastID,
		route:      route,
		importance: importance,
		deadline:   deadline,
	})
	return c.lastID
}

// End removes the request with the ID.
func (c *correlator) End(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := slices.IndexFunc(c.running, func(r request) bool { return r.id == id }); at >= 0 {
		c.running = slices.Delete(c.running, at, at+1)
	}
}

// Attribute attributes a call to the running request that made it.
func (c *correlator) Attribute(now time.Time, route chivegauge.Route, deadline time.Time) (chivegauge.Importance, bool) {
	inherited := float64(deadline.Sub(now)) < inheritedShare*float64(route.Deadline())
	c.mu.Lock()
	defer c.mu.Unlock()
	parent, importance, ok := c.findParent(deadline, inherited)
	if !ok {
		return 0, false
	}
	c.countAttributed()
	c.parents[parent]++
	c.callees[route.Name]++
	return importance, importance != importanceUnknown
}

// importanceUnknown is the importance if the possible parents of a call differ in theirs.
const importanceUnknown = chivegauge.Importance(-1)

// findParent returns the route of the request that made a call, and its importance or importanceUnknown. No call has a
// later deadline than its parent, and a call with an inherited deadline has the same one.
func (c *correlator) findParent(deadline time.Time, inherited bool) (string, chivegauge.Importance, bool) {
	earliest := deadline.Add(-deadlineTolerance)
	first := sort.Search(len(c.running), func(n int) bool { return !c.running[n].deadline.Before(earliest) })
	exact := candidates{}
	possible := candidates{}
	for _, r := range c.running[first:] {
		possible.add(r)
		inExact := inherited && r.deadline.Sub(deadline) <= deadlineTolerance
		if inExact {
			exact.add(r)
		}
		if !inExact && possible.routes > 1 {
			break
		}
	}
	if exact.unambiguous() {
		return exact.route, exact.importance, true
	}
	return possible.route, possible.importance, possible.unambiguous()
}

// candidates summarizes the running requests that may have made a call.
type candidates struct {
	routes     int
	route      string
	importance chivegauge.Importance
}

func (c *candidates) add(r request) {
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
		c.importance = importanceUnknown
	}
}

// unambiguous reports whether all candidates are on the same route.
func (c *candidates) unambiguous() bool {
	return c.routes == 1
}

// countAttributed counts a call whose parent's route was found.
func (c *correlator) countAttributed() {
	c.attributed++
	if c.attributed < attributedMax {
		return
	}
	c.attributed /= 2
	for _, counts := range []map[string]int{c.parents, c.callees} {
		for route, n := range counts {
			counts[route] = n / 2
		}
	}
}

// significant reports whether n attributed calls are too many for a coincidence.
func (c *correlator) significant(n int) bool {
	return n >= matchesMin && float64(n) >= matchesShareMin*float64(c.attributed)
}

// MakesNestedCalls reports whether requests on the route make nested calls.
func (c *correlator) MakesNestedCalls(route string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.significant(c.parents[route])
}

// CalledByBackend reports whether calls on the route are made by requests that run on the backend server.
func (c *correlator) CalledByBackend(route string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.significant(c.callees[route])
}
