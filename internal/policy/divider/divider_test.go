package divider_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/divider"
	"github.com/matryer/is"
)

func TestNeverAboveRateAndBurst(t *testing.T) {
	tests := map[string]struct {
		rate    float64
		burst   float64
		part    float64
		initial float64
	}{
		"whole":   {rate: 50, burst: 50, part: 1, initial: 1},
		"part":    {rate: 50, burst: 50, part: 0.1, initial: 1},
		"started": {rate: 50, burst: 50, part: 1, initial: 0},
		"slow":    {rate: 0.5, burst: 1, part: 1, initial: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			list := []chivegauge.Workspace{{
				Name:          "golf",
				RatePerSecond: tt.rate,
				Burst:         tt.burst,
			}}
			d := divider.New(tt.initial)
			start := time.Unix(1000, 0)
			now := start
			d.Configure(now, list, tt.part)
			taken := 0
			for range 2000 {
				now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
				n, wait := d.Take(now, "golf", 1+random.IntN(5))
				is.True(wait >= 0)
				taken += n
			}
			allowed := tt.rate*tt.part*now.Sub(start).Seconds() + tt.initial*max(1, tt.burst*tt.part)
			is.True(float64(taken) <= allowed+1e-6)
			is.True(float64(taken) >= allowed-max(1, tt.burst*tt.part)-1)
		})
	}
}

func TestUnlimited(t *testing.T) {
	is := is.New(t)
	d := divider.New(0)
	n, wait := d.Take(time.Unix(1, 0), "golf", 7)
	is.Equal(n, 7)
	is.Equal(wait, time.Duration(0))
}
