package budgeter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge/internal/policy/budgeter"
	"github.com/matryer/is"
)

// TestWindowBound checks that each interval of the window's length has at most slack retries more than the ratio times
// the first attempts in that interval and the window before it.
func TestWindowBound(t *testing.T) {
	tests := map[string]struct {
		ratio  float64
		slack  float64
		maxGap time.Duration
	}{
		"busy":     {ratio: 0.05, slack: 1, maxGap: 5 * time.Millisecond},
		"quiet":    {ratio: 0.05, slack: 0.3, maxGap: 3 * time.Second},
		"no slack": {ratio: 0.2, slack: 0, maxGap: 50 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			ratios := budgeter.Ratios{
				All:        tt.ratio,
				MayHaveRun: tt.ratio / 3,
			}
			w := budgeter.NewWindow(ratios, tt.slack, windowLength)
			now := time.Unix(1000, 0)
			var firsts, retries, ran []time.Time
			for range 4000 {
				now = now.Add(time.Duration(random.Int64N(int64(tt.maxGap))))
				if random.IntN(3) > 0 {
					w.CountFirst(now, "a")
					firsts = append(firsts, now)
				}
				mayHaveRun := random.IntN(2) == 0
				if w.TryRetry(now, "a", mayHaveRun) {
					retries = append(retries, now)
					if mayHaveRun {
						ran = append(ran, now)
					}
				}
			}
			checkBound(is, firsts, retries, tt.ratio, tt.slack)
			checkBound(is, firsts, ran, tt.ratio/3, tt.slack/3)
		})
	}
}

const windowLength = 10 * time.Second

// checkBound fails the test if an interval of the window's length has more retries than allowed.
func checkBound(is *is.I, firsts, retries []time.Time, ratio, slack float64) {
	is.Helper()
	for i, from := range retries {
		n := 0
		for _, r := range retries[i:] {
			if r.Sub(from) < windowLength {
				n++
			}
		}
		firstsInRange := 0
		for _, f := range firsts {
			if f.After(from.Add(-windowLength-windowLength/20)) && f.Before(from.Add(windowLength)) {
				firstsInRange++
			}
		}
		is.True(float64(n) <= ratio*float64(firstsInRange)+slack+1e-9)
	}
}
