package guardian

import (
	"net/http"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/stream/carrier"
)

const (
	// brokenMax bounds the runs that are kept until it is known whether the backend server died, above its slots.
	brokenMax = 1024

	// brokenTime is how long a run that broke off is kept for that; within it another request finds the port closed.
	brokenTime = 2 * time.Second
)

// broken are the runs that broke off since the backend server last answered.
type broken struct {
	fingerprints []uint64
	last         time.Time
}

// brokeOff keeps a run whose connection ended, which the death of the backend server may explain.
func (g *guardian) brokeOff(now time.Time, c chivegauge.Call, r *carrier.Request) {
	f := r.Fingerprint(c.Workspace, c.Route)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.broken.fingerprints) < brokenMax {
		g.broken.fingerprints = append(g.broken.fingerprints, f)
	}
	g.broken.last = now
}

// died counts the death of the backend server against the runs that broke off just before; g.mu is held.
func (g *guardian) died(now time.Time) {
	if len(g.broken.fingerprints) > 0 && now.Sub(g.broken.last) < brokenTime {
		g.Suspects.Died(now, g.broken.fingerprints)
	}
	g.broken = broken{}
}

// answered takes in that the backend server answered a request sent at the time: it lived then, unless another one
// answered in its place.
func (g *guardian) answered(sent time.Time, a *carrier.Answer, c chivegauge.Call, r *carrier.Request) {
	another := a.Status == http.StatusMisdirectedRequest
	if !another && !g.Suspects.Empty() {
		g.Suspects.Survived(r.Fingerprint(c.Workspace, c.Route))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case another:
		g.died(time.Now())
	case sent.After(g.broken.last):
		g.broken = broken{}
	}
}
