package guardian

import (
	"time"

	"github.com/chivegauge/chivegauge/internal/policy/picker"
)

// failingWeight is the weight of one run in the share of failed ones: it follows some sixteen runs.
const failingWeight = 1.0 / 16

// failing is the share of the latest runs that failed.
type failing struct {
	share float64
	at    time.Time
}

// value returns the share as it counts at now.
func (f failing) value(now time.Time) float64 {
	return picker.Fade(f.share, now.Sub(f.at))
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
