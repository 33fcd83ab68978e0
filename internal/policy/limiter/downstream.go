package limiter

import (
	"math"
	"sync"
	"time"
)

const (
	// observeWindow is the time over which refused calls are counted; it is several times the round trip to another zone.
	observeWindow = 100 * time.Millisecond

	// decreaseFactor is the fraction by which the limit falls after a window in which all calls were refused; with fewer
	// refusals, it falls in proportion.
	decreaseFactor = 0.5

	// increaseFraction is the fraction of the ceiling by which the limit rises in a window right after a refusal; in
	// equilibrium with the decrease, about a fiftieth of the calls are refused. It doubles with each increaseDoubling
	// without refusals.
	increaseFraction = 0.01
	increaseDoubling = 500 * time.Millisecond

	// minFraction is the lowest limit as a fraction of the ceiling, so that enough requests run to make the nested calls
	// that detect free capacity.
	minFraction = 0.05
)

// Downstream is a Limiter for requests that make nested calls: its limit falls with the fraction of their nested calls
// that downstream services refuse, and rises while there are no refusals.
type Downstream interface {
	Limiter
	// ObserveOutcome records one nested call and whether it was refused.
	ObserveOutcome(now time.Time, refused bool)
}

type downstream struct {
	ceiling Limiter

	mu          sync.Mutex
	limit       float64
	windowStart time.Time
	lastRefusal time.Time
	calls       int
	refused     int
}

// NewDownstream returns a limiter whose limit starts at, and never exceeds, that of ceiling.
func NewDownstream(ceiling Limiter) Downstream {
	return &downstream{
		ceiling: ceiling,
	}
}

// Limit returns the limit in concurrent runs.
func (d *downstream) Limit() int {
	ceiling := d.ceiling.Limit()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastRefusal.IsZero() {
		return ceiling
	}
	return min(ceiling, max(1, int(d.limit)))
}

// Observe ignores the run.
func (d *downstream) Observe(time.Time, Sample) {}

// ObserveOutcome records one nested call, and adapts the limit at the end of a window.
func (d *downstream) ObserveOutcome(now time.Time, refused bool) {
	ceiling := float64(d.ceiling.Limit())
	d.mu.Lock()
	defer d.mu.Unlock()
	if elapsed := now.Sub(d.windowStart); elapsed >= observeWindow {
		d.adapt(now, ceiling, elapsed)
		d.windowStart = now
		d.calls = 0
		d.refused = 0
	}
	d.calls++
	if refused {
		d.refused++
	}
}

// adapt adapts the limit at the end of a window; d.mu is held.
func (d *downstream) adapt(now time.Time, ceiling float64, elapsed time.Duration) {
	switch {
	case d.refused > 0:
		if d.lastRefusal.IsZero() {
			d.limit = ceiling
		}
		d.lastRefusal = now
		d.limit *= 1 - decreaseFactor*float64(d.refused)/float64(d.calls)
	case !d.lastRefusal.IsZero():
		doublings := now.Sub(d.lastRefusal).Seconds() / increaseDoubling.Seconds()
		windows := elapsed.Seconds() / observeWindow.Seconds()
		d.limit += ceiling * increaseFraction * math.Exp2(min(doublings, 6)) * windows
	}
	d.limit = min(ceiling, max(d.limit, minFraction*ceiling))
}
