package limiter_test

import (
	"testing"
	"time"

	"github.com/chivegauge/chivegauge/internal/policy/limiter"
	"github.com/matryer/is"
)

// TestMarked states how the limit follows the refused calls; each window has ten calls.
func TestMarked(t *testing.T) {
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
			most := limiter.NewDeclared(1)
			m := limiter.NewMarked(most)
			most.Declare(100)
			now := time.Unix(1000, 0)
			for _, marks := range tt.windows {
				for n := range 10 {
					m.Mark(now, n < marks)
					now = now.Add(10 * time.Millisecond)
				}
			}
			m.Mark(now, false)
			is.True(m.Limit() >= tt.low)
			is.True(m.Limit() <= tt.high)
		})
	}
}

// TestMarkedStaysBelow states that the limit is never above the one that it was made for.
func TestMarkedStaysBelow(t *testing.T) {
	is := is.New(t)
	most := limiter.NewDeclared(1)
	m := limiter.NewMarked(most)
	is.Equal(m.Limit(), 1)
	most.Declare(100)
	m.Mark(time.Unix(1000, 0), true)
	m.Mark(time.Unix(1001, 0), false)
	is.Equal(m.Limit(), 50)
	most.Declare(40)
	is.Equal(m.Limit(), 40)
}
