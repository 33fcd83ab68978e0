package limiter

import (
	"math"
	"sync"
	"time"
)

const (
	// markWindow is the time over which refused calls are counted, several times the way to another zone and back.
	markWindow = 100 * time.Millisecond

	// markCut is the part by which the limit falls in a window in which all calls were refused, in proportion for fewer.
	markCut = 0.5

	// markRise is the part of the most that the limit rises in a window right after a refusal: at a balance with the cut
	// some fiftieth of the calls is refused. It doubles with each markCalm without refusals.
	markRise = 0.01
	markCalm = 500 * time.Millisecond

	// markLeast is the least part of the most, so that what runs keeps asking for room.
	markLeast = 0.05
)

// Marked is a limiter that falls with the share of calls further down that were refused, and rises without.
type Marked interface {
	Limiter
	// Mark takes in one call and whether it was refused.
	Mark(now time.Time, refused bool)
}

type marked struct {
	most Limiter

	mu      sync.Mutex
	limit   float64
	since   time.Time
	refusal time.Time
	calls   int
	refused int
}

// NewMarked returns a limiter that is at most the other's limit.
func NewMarked(most Limiter) Marked {
	return &marked{
		most: most,
	}
}

// Limit returns the limit in runs.
func (m *marked) Limit() int {
	most := m.most.Limit()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refusal.IsZero() {
		return most
	}
	return min(most, max(1, int(m.limit)))
}

// Observe ignores the run.
func (m *marked) Observe(time.Time, Sample) {}

// Mark takes in one call, and adapts the limit at the end of a window.
func (m *marked) Mark(now time.Time, refused bool) {
	most := float64(m.most.Limit())
	m.mu.Lock()
	defer m.mu.Unlock()
	if passed := now.Sub(m.since); passed >= markWindow {
		m.adapt(now, most, passed)
		m.since = now
		m.calls = 0
		m.refused = 0
	}
	m.calls++
	if refused {
		m.refused++
	}
}

// adapt moves the limit at the end of a window; m.mu is held.
func (m *marked) adapt(now time.Time, most float64, passed time.Duration) {
	switch {
	case m.refused > 0:
		if m.refusal.IsZero() {
			m.limit = most
		}
		m.refusal = now
		m.limit *= 1 - markCut*float64(m.refused)/float64(m.calls)
	case !m.refusal.IsZero():
		calm := now.Sub(m.refusal).Seconds() / markCalm.Seconds()
		windows := passed.Seconds() / markWindow.Seconds()
		m.limit += most * markRise * math.Exp2(min(calm, 6)) * windows
	}
	m.limit = min(most, max(m.limit, markLeast*most))
}
