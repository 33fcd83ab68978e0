package limiter_test

import (
	"testing"
	"time"

	"github.com/chivegauge/chivegauge/internal/policy/limiter"
	"github.com/matryer/is"
)

// TestDownstream checks how the limit follows the refused calls in windows of ten calls each.
func TestDownstream(t *testing.T) {
	tests := map[string]struct {
		windows []int
		low     int
		high    int
	}{
		"none refused":    {windows: []int{0, 0, 0}, low: 100, high: 100},
		"one refused":     {windows: []int{1, 0}, low: 94, high: 97},
		"all refused":     {windows: []int{10, 10, 0}, low: 25, high: 28},
		"long overload":   {windows: []int{10, 10, 10, 10, 10, 10, 10, 10, 10, 0}, low: 5, high: 7},
		"half of them":    {windows: []int{5, 5, 0}, low: 56, high: 59},
		"half a second":   {windows: []int{10, 10, 0, 0, 0, 0, 0, 0}, low: 30, high: 45},
		"two seconds":     {windows: append([]int{10, 10}, make([]int, 20)...), low: 90, high: 100},
		"now and then":    {windows: []int{1, 0, 0, 0, 0, 1, 0, 0, 0, 0, 1, 0, 0, 0, 0, 1, 0, 0, 0, 0}, low: 90, high: 100},
		"one in each ten": {windows: []int{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, low: 45, high: 55},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ceiling := limiter.NewDeclared(1)
			d := limiter.NewDownstream(ceiling)
			ceiling.Declare(100)
			now := time.Unix(1000, 0)
			for _, refusals := range tt.windows {
				for n := range 10 {
					d.ObserveOutcome(now, n < refusals)
					now = now.Add(10 * time.Millisecond)
				}
			}
			d.ObserveOutcome(now, false)
			is.True(d.Limit() >= tt.low)
			is.True(d.Limit() <= tt.high)
		})
	}
}

// TestDownstreamStaysBelowCeiling checks that the limit never exceeds that of the other limiter, even when that falls.
func TestDownstreamStaysBelowCeiling(t *testing.T) {
	is := is.New(t)
	ceiling := limiter.NewDeclared(1)
	d := limiter.NewDownstream(ceiling)
	is.Equal(d.Limit(), 1)
	ceiling.Declare(100)
	d.ObserveOutcome(time.Unix(1000, 0), true)
	d.ObserveOutcome(time.Unix(1001, 0), false)
	is.Equal(d.Limit(), 50)
	ceiling.Declare(40)
	is.Equal(d.Limit(), 40)
}
