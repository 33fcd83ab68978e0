package finisher_test

import (
	"testing"
	"time"

	"github.com/chivegauge/chivegauge/internal/policy/finisher"
	"github.com/matryer/is"
)

// TestAdmit checks which requests begin, and with which deadline, when the node stops in three seconds.
func TestAdmit(t *testing.T) {
	const left = 3 * time.Second
	tests := map[string]struct {
		took     []time.Duration
		deadline time.Duration
		running  bool // the node does not stop
		want     time.Duration
		refused  bool
	}{
		"not stopping":                    {running: true, deadline: time.Minute, want: time.Minute},
		"ends by its deadline":            {deadline: 2 * time.Second, want: 2 * time.Second},
		"deadline at the end":             {deadline: left, want: left},
		"route not known":                 {deadline: 4 * time.Second, refused: true},
		"short runs":                      {took: []time.Duration{200 * time.Millisecond, 300 * time.Millisecond}, deadline: 5 * time.Second, want: left},
		"long runs":                       {took: []time.Duration{4 * time.Second, 4 * time.Second, 4 * time.Second}, deadline: 5 * time.Second, refused: true},
		"uneven runs":                     {took: []time.Duration{100 * time.Millisecond, 2 * time.Second, 100 * time.Millisecond, 2 * time.Second}, deadline: 5 * time.Second, refused: true},
		"long runs, ends by its deadline": {took: []time.Duration{4 * time.Second}, deadline: time.Second, want: time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			f := finisher.New()
			for _, took := range tt.took {
				f.Observe("r", took)
			}
			f.Observe("another", time.Millisecond)
			if !tt.running {
				f.Stop(now.Add(left))
			}
			deadline, ok := f.Admit(now, "r", now.Add(tt.deadline))
			is.Equal(ok, !tt.refused)
			if ok {
				is.Equal(deadline.Sub(now), tt.want)
			}
		})
	}
}

// TestSteadyTimesNarrowTheEstimate checks that the estimate follows the times on a route after they changed.
func TestSteadyTimesNarrowTheEstimate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := finisher.New()
	f.Stop(now.Add(time.Second))
	admits := func() bool {
		_, ok := f.Admit(now, "r", now.Add(time.Minute))
		return ok
	}
	f.Observe("r", 10*time.Second)
	is.True(!admits())
	for range 100 {
		f.Observe("r", 800*time.Millisecond)
	}
	is.True(admits())
	f.Observe("r", 5*time.Second)
	is.True(!admits())
}
