package guardian

import (
	"math"
	"time"
)

const (
	// failingWeight is the weight of one run in the share of failed ones: it follows some sixteen runs.
	failingWeight = 1.0 / 16

	// failingHalf is the time in which the share halves without runs.
	failingHalf = 2 * time.Second
)

// failing is the share of the latest runs that failed.
type failing struct {
	share float64
	at    time.Time
}

// value returns the share as it counts at now.
func (f failing) value(now time.Time) float64 {
	return f.share * math.Exp2(-now.Sub(f.at).Seconds()/failingHalf.Seconds())
}

// with returns the share after one more run.
func (f failing) with(now time.Time, failed bool) failing {
	share := f.value(now) * (1 - failingWeight)
	if failed {
		share += failingWeight
	}
	return failing{
		share: share,
		at:    now,
	}
}
