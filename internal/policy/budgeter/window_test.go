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
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			share := budgeter.Share{
				All: tt.ratio,
				Ran: tt.ratio / 3,
			}
			w := budgeter.NewWindow(share, tt.slack, length)
			now := time.Unix(1000, 0)
			var firsts, retries, ran []time.Time
			for range 4000 {
				now = now.Add(time.Duration(random.Int64N(int64(tt.gap))))
				if random.IntN(3) > 0 {
					w.First(now, "a")
					firsts = append(firsts, now)
				}
				repeats := random.IntN(2) == 0
				if w.Retry(now, "a", repeats) {
					retries = append(retries, now)
					if repeats {
						ran = append(ran, now)
					}
				}
			}
			bounded(is, firsts, retries, tt.ratio, tt.slack)
			bounded(is, firsts, ran, tt.ratio/3, tt.slack/3)
		})
	}
}

const length = 10 * time.Second

// bounded fails the test if a span of the length holds more retries than are allowed.
func bounded(is *is.I, firsts, retries []time.Time, ratio, slack float64) {
	is.Helper()
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
		is.True(float64(n) <= ratio*float64(sent)+slack+1e-9)
	}
}
