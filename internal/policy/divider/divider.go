package divider

import (
	"time"

	"github.com/chivegauge/chivegauge"
)

// Divider holds a token bucket for a part of each workspace's rate; it is not safe for concurrent use.
type Divider interface {
	// Configure sets the rates, of which the buckets get the part, above 0 and at most 1.
	Configure(now time.Time, list []chivegauge.Workspace, part float64)
	// Empty takes all tokens of the workspace away.
	Empty(now time.Time, workspace string)
	// Take spends up to want tokens and returns how many, and how long it is until there is another.
	Take(now time.Time, workspace string, want int) (taken int, wait time.Duration)
}

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
func (d *divider) Configure(now time.Time, list []chivegauge.Workspace, part float64) {
	buckets := make(map[string]*bucket, len(list))
	for _, w := range list {
		if w.RatePerSecond <= 0 {
			continue
		}
		b := d.buckets[w.Name]
		burst := max(1, w.Burst*part)
		if b == nil {
			b = &bucket{
				level: d.initial * burst,
				at:    now,
			}
		}
		b.fill(now)
		b.rate = w.RatePerSecond * part
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

// Empty takes all tokens of the workspace away.
func (d *divider) Empty(now time.Time, workspace string) {
	if b := d.buckets[workspace]; b != nil {
		b.fill(now)
		b.level = 0
	}
}

// Take spends tokens; a workspace without a rate has no limit.
func (d *divider) Take(now time.Time, workspace string, want int) (int, time.Duration) {
	b := d.buckets[workspace]
	if b == nil {
		return want, 0
	}
	b.fill(now)
	taken := min(want, int(b.level))
	b.level -= float64(taken)
	return taken, time.Duration(max(0, 1-b.level) / b.rate * float64(time.Second))
}
