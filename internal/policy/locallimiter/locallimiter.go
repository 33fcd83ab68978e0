package locallimiter

import (
	"time"

	"github.com/chivegauge/chivegauge"
)

// LocalLimiter holds a token bucket for a fraction of each workspace's rate; it is not safe for concurrent use.
type LocalLimiter interface {
	// Configure sets the workspaces; each bucket gets the fraction, above 0 and at most 1, of the rate and burst.
	Configure(now time.Time, workspaces []chivegauge.Workspace, fraction float64)
	// Empty removes all tokens of the workspace.
	Empty(now time.Time, workspace string)
	// Acquire spends up to n tokens and returns how many it spent, and the time until a token is available.
	Acquire(now time.Time, workspace string, n int) (taken int, wait time.Duration)
	// AcquireAhead spends up to n tokens that may be used until the given time, and returns how many it spent. Until then
	// they count against the burst, most of which is left to other requests.
	AcquireAhead(now time.Time, workspace string, n int, until time.Time) int
}

// leftToOthers is the fraction of the burst that must be left when tokens are spent ahead: those that are not used are
// lost, which only a bucket that is nearly full doesn't miss.
const leftToOthers = 0.9

// bucket is a token bucket; rate is in tokens per second, level and burst are in tokens.
type bucket struct {
	rate    float64
	burst   float64
	level   float64
	updated time.Time

	// held are the tokens that were spent ahead of their use, by the order of the ends of that time.
	held []holding
}

// holding is a number of tokens that may be used until a time.
type holding struct {
	tokens float64
	until  time.Time
}

type localLimiter struct {
	initialFraction float64
	buckets         map[string]*bucket
}

// New returns a local limiter whose buckets start with the fraction initialFraction, from 0 to 1, of their burst.
func New(initialFraction float64) LocalLimiter {
	return &localLimiter{
		initialFraction: initialFraction,
		buckets:         map[string]*bucket{},
	}
}

// Configure sets the workspaces; a bucket keeps its tokens, up to its new burst.
func (l *localLimiter) Configure(now time.Time, workspaces []chivegauge.Workspace, fraction float64) {
	buckets := make(map[string]*bucket, len(workspaces))
	for _, w := range workspaces {
		if w.RatePerSecond <= 0 {
			continue
		}
		b := l.buckets[w.Name]
		burst := max(1, w.Burst*fraction)
		if b == nil {
			b = &bucket{
				level:   l.initialFraction * burst,
				updated: now,
			}
		}
		b.refill(now)
		b.rate = w.RatePerSecond * fraction
		b.burst = burst
		b.level = min(b.level, burst)
		buckets[w.Name] = b
	}
	l.buckets = buckets
}

// refill adds the tokens since the last call, up to the part of the burst that is not held, but at least one token.
func (b *bucket) refill(now time.Time) {
	held := 0.0
	kept := b.held[:0]
	for _, h := range b.held {
		if now.Before(h.until) {
			kept = append(kept, h)
			held += h.tokens
		}
	}
	b.held = kept
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.level = min(max(1, b.burst-held), b.level+b.rate*elapsed.Seconds())
		b.updated = now
	}
}

// Empty removes all tokens of the workspace.
func (l *localLimiter) Empty(now time.Time, workspace string) {
	if b := l.buckets[workspace]; b != nil {
		b.refill(now)
		b.level = 0
	}
}

// Acquire spends up to n tokens; a workspace without a rate has no limit.
func (l *localLimiter) Acquire(now time.Time, workspace string, n int) (int, time.Duration) {
	b := l.buckets[workspace]
	if b == nil {
		return n, 0
	}
	b.refill(now)
	taken := min(n, int(b.level))
	b.level -= float64(taken)
	return taken, time.Duration(max(0, 1-b.level) / b.rate * float64(time.Second))
}

// AcquireAhead spends up to n tokens above the part of the burst that is left to others; a workspace without a rate needs none.
func (l *localLimiter) AcquireAhead(now time.Time, workspace string, n int, until time.Time) int {
	b := l.buckets[workspace]
	if b == nil {
		return 0
	}
	b.refill(now)
	taken := min(n, int(b.level-leftToOthers*b.burst))
	if taken <= 0 {
		return 0
	}
	b.level -= float64(taken)
	b.held = append(b.held, holding{
		tokens: float64(taken),
		until:  until,
	})
	return taken
}
