package locallimiter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/locallimiter"
	"github.com/matryer/is"
)

// TestNeverAboveRateAndBurst checks that the tokens granted never exceed the fraction of rate and burst, and are at
// most one burst and one token fewer.
func TestNeverAboveRateAndBurst(t *testing.T) {
	tests := map[string]struct {
		rate            float64
		burst           float64
		fraction        float64
		initialFraction float64
	}{
		"whole":   {rate: 50, burst: 50, fraction: 1, initialFraction: 1},
		"part":    {rate: 50, burst: 50, fraction: 0.1, initialFraction: 1},
		"started": {rate: 50, burst: 50, fraction: 1, initialFraction: 0},
		"slow":    {rate: 0.5, burst: 1, fraction: 1, initialFraction: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			workspaces := []chivegauge.Workspace{{
				Name:          "golf",
				RatePerSecond: tt.rate,
				Burst:         tt.burst,
			}}
			d := locallimiter.New(tt.initialFraction)
			start := time.Unix(1000, 0)
			now := start
			d.Configure(now, workspaces, tt.fraction)
			taken := 0
			for range 2000 {
				now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
				n, wait := d.Acquire(now, "golf", 1+random.IntN(5))
				is.True(wait >= 0)
				taken += n
			}
			allowed := tt.rate*tt.fraction*now.Sub(start).Seconds() + tt.initialFraction*max(1, tt.burst*tt.fraction)
			is.True(float64(taken) <= allowed+1e-6)
			is.True(float64(taken) >= allowed-max(1, tt.burst*tt.fraction)-1)
		})
	}
}

// TestUnlimited checks that a workspace without a rate is not limited.
func TestUnlimited(t *testing.T) {
	is := is.New(t)
	d := locallimiter.New(0)
	n, wait := d.Acquire(time.Unix(1, 0), "golf", 7)
	is.Equal(n, 7)
	is.Equal(wait, time.Duration(0))
}

// TestAheadTokensCountAgainstTheBurst checks that in no window more tokens are used than rate and burst allow, if tokens
// that were granted ahead are used as late as they may be, and that nine tenths of the burst are left to others.
func TestAheadTokensCountAgainstTheBurst(t *testing.T) {
	const (
		rate  = 50.0
		burst = 40.0
		hold  = time.Second
	)
	type use struct {
		at     time.Time
		tokens int
	}
	tests := map[string]struct {
		ahead int
		pause time.Duration
	}{
		"few":              {ahead: 3, pause: 100 * time.Millisecond},
		"many":             {ahead: 100, pause: 100 * time.Millisecond},
		"many, in a hurry": {ahead: 100, pause: time.Millisecond},
		"seldom":           {ahead: 100, pause: 900 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := locallimiter.New(1)
			now := time.Unix(1000, 0)
			l.Configure(now, []chivegauge.Workspace{{
				Name:          "golf",
				RatePerSecond: rate,
				Burst:         burst,
			}}, 1)
			uses := []use{}
			for range 300 {
				now = now.Add(tt.pause)
				taken, _ := l.Acquire(now, "golf", 1)
				uses = append(uses, use{
					at:     now,
					tokens: taken,
				})
				ahead := l.AcquireAhead(now, "golf", tt.ahead, now.Add(hold))
				is.True(ahead <= burst/10)
				uses = append(uses, use{
					at:     now.Add(hold),
					tokens: ahead,
				})
			}
			for _, from := range uses {
				for _, window := range []time.Duration{time.Millisecond, time.Second, 5 * time.Second} {
					used := 0
					for _, u := range uses {
						if !u.at.Before(from.at) && u.at.Before(from.at.Add(window)) {
							used += u.tokens
						}
					}
					is.True(float64(used) <= burst+rate*window.Seconds()+1)
				}
			}
		})
	}
}
