package divider

import (
	"time"

	"github.com/chivegauge/chivegauge"
)

// Divider holds a token bucket for each workspace; it is not safe for concurrent use.
type Divider interface {
	// Configure sets the rates, of which this node has one part in parts, at least 1.
	Configure(now time.Time, list []chivegauge.Workspace, parts int)
	// Take spends a token of the workspace, or returns how long it is until there is one.
	Take(now time.Time, workspace string) (ok bool, wait time.Duration)
}

// forever is the wait where no token will come.
const forever = time.Hour

type bucket struct {
	rate  float64
	burst float64
	level float64
	at    time.Time
}

type divider struct {
	initial float64
	buckets map[string]*bucket
}

// New returns a divider whose buckets begin with the part initial of their burst, from 0 to 1.
func New(initial float64) Divider {
	return &divider{
		initial: initial,
		buckets: map[string]*bucket{},
	}
}

// Configure sets the rates; what a bucket holds is kept up to its new burst.
func (d *divider) Configure(now time.Time, list []chivegauge.Workspace, parts int) {
	buckets := make(map[string]*bucket, len(list))
	for _, w := range list {
		if w.RatePerSecond <= 0 {
			continue
		}
		b := d.buckets[w.Name]
		burst := max(1, w.Burst/float64(parts))
		if b == nil {
			b = &bucket{
				level: d.initial * burst,
				at:    now,
			}
		}
		b.fill(now)
		b.rate = w.RatePerSecond / float64(parts)
		b.burst = burst
		b.level = min(b.level, burst)
		buckets[w.Name] = b
	}
	d.buckets = buckets
}

func (b *bucket) fill(now time.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		b.level = min(b.burst, b.level+b.rate*passed.Seconds())
		b.at = now
	}
}

// Take spends a token; a workspace without a rate has no limit.
func (d *divider) Take(now time.Time, workspace string) (bool, time.Duration) {
	b := d.buckets[workspace]
	if b == nil {
		return true, 0
	}
	b.fill(now)
	if b.level >= 1 {
		b.level--
		return true, 0
	}
	if b.rate <= 0 {
		return false, forever
	}
	return false, time.Duration((1 - b.level) / b.rate * float64(time.Second))
}
