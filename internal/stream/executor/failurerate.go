package executor

import (
	"time"

	"github.com/chivegauge/chivegauge/internal/policy/picker"
)

// failureWeight is the weight of one run in the failure rate, an exponential moving average over about 16 runs.
const failureWeight = 1.0 / 16

// failureRate is the share of the latest runs that failed, from 0 to 1, at the time of the last run.
type failureRate struct {
	rate float64
	at   time.Time
}

// value returns the failure rate, decayed from the last run to now.
func (f failureRate) value(now time.Time) float64 {
	return picker.DecayFailureRate(f.rate, now.Sub(f.at))
}

// withRun returns the failure rate after one more run.
func (f failureRate) withRun(now time.Time, failed bool) failureRate {
	rate := f.value(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	return failureRate{
		rate: rate,
		at:   now,
	}
}
