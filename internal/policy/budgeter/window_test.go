package budgeter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge/internal/policy/budgeter"
	"github.com/matryer/is"
)

// TestWindowBound states that in each span of the window's length there are no more retries than the share of the first
// attempts in that span and the window before it, and the slack.
func TestWindowBound(t *testing.T) {
	tests := map[string]struct {
		ratio float64
		slack float64
		gap   time.Duration
	}{
		"busy":     {ratio: 0.05, slack: 1, gap: 5 * time.Millisecond},
		"quiet":    {ratio: 0.05, slack: 0.3, gap: 3 * time.Second},
		"no slack": {ratio: 0.2, slack: 0, gap: 50 * time.Millisecond},
	}
	const length = 10 * time.Second
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			w := budgeter.NewWindow(tt.ratio, tt.slack, length)
			now := time.Unix(1000, 0)
			var firsts, retries []time.Time
			for range 4000 {
				now = now.Add(time.Duration(random.Int64N(int64(tt.gap))))
				if random.IntN(3) > 0 {
					w.First(now, "a")
					firsts = append(firsts, now)
				}
				if w.Retry(now, "a") {
					retries = append(retries, now)
				}
			}
			for i, from := range retries {
				n := 0
				for _, r := range retries[i:] {
					if r.Sub(from) < length {
						n++
					}
				}
				sent := 0
				for _, f := range firsts {
					if f.After(from.Add(-length-length/20)) && f.Before(from.Add(length)) {
						sent++
					}
				}
				is.True(float64(n) <= tt.ratio*float64(sent)+tt.slack+1e-9)
			}
		})
	}
}
