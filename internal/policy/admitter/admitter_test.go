package admitter_test

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/admitter"
	"github.com/chivegauge/chivegauge/internal/policy/scheduler"
	"github.com/chivegauge/chivegauge/internal/proof/seeder"
	"github.com/matryer/is"
)

func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m))
}

const (
	tick    = time.Millisecond
	slots   = 10
	service = 50 * time.Millisecond
	maxWait = 500 * time.Millisecond
)

// source is a class that sends at a rate a second.
type source struct {
	class admitter.Class
	rate  float64
}

// simulate runs a backend server of ten slots under the sources and returns the runs a second of each, after a warm-up.
func simulate(sources []source, length, warmup time.Duration) []float64 {
	rng := rand.New(rand.NewPCG(7, 7))
	control := admitter.NewController()
	queue := scheduler.New(1000)
	start := time.Unix(0, 0)
	owner := map[uint64]int{}
	var ends []time.Duration
	done := make([]float64, len(sources))
	id := uint64(0)
	for at := time.Duration(0); at < length; at += tick {
		now := start.Add(at)
		kept := ends[:0]
		for _, e := range ends {
			if e > at {
				kept = append(kept, e)
				continue
			}
			control.Finished(now)
		}
		ends = kept
		for n, s := range sources {
			if rng.Float64() >= s.rate*tick.Seconds() || !control.Admit(now, s.class, rng.IntN(admitter.LevelMax)) {
				continue
			}
			id++
			owner[id] = n
			queue.Push(scheduler.Item{
				ID:         id,
				Workspace:  s.class.Workspace,
				Importance: s.class.Importance,
				Queued:     now,
				Expires:    now.Add(maxWait),
			})
		}
		for len(ends) < slots {
			it, expired, ok := queue.Pop(now)
			for _, e := range expired {
				control.Waited(now, now.Sub(e.Queued), true)
			}
			if !ok {
				break
			}
			control.Waited(now, now.Sub(it.Queued), false)
			jitter := time.Duration(float64(service) * (0.8 + 0.4*rng.Float64()))
			ends = append(ends, at+jitter)
			if at >= warmup {
				done[owner[it.ID]] += 1 / (length - warmup).Seconds()
			}
		}
	}
	return done
}

func class(i chivegauge.Importance, workspace string) admitter.Class {
	return admitter.Class{
		Importance: i,
		Workspace:  workspace,
	}
}

// TestShares states what each class gets of a capacity of 200 runs a second.
func TestShares(t *testing.T) {
	cases := map[string]struct {
		sources []source
		least   []float64
		goodput float64
	}{
		"one class far above capacity": {
			[]source{{class(chivegauge.Normal, "a"), 600}},
			[]float64{180},
			180,
		},
		"one workspace sends ten times the others": {
			[]source{
				{class(chivegauge.Normal, "greedy"), 560},
				{class(chivegauge.Normal, "a"), 56},
				{class(chivegauge.Normal, "b"), 56},
				{class(chivegauge.Normal, "c"), 56},
				{class(chivegauge.Normal, "d"), 56},
			},
			[]float64{38, 38, 38, 38, 38},
			185,
		},
		"three importances at three times the capacity": {
			[]source{
				{class(chivegauge.Critical, "a"), 60},
				{class(chivegauge.Normal, "a"), 240},
				{class(chivegauge.Low, "a"), 300},
			},
			[]float64{59, 110, 0},
			180,
		},
		"below capacity": {
			[]source{{class(chivegauge.Low, "a"), 60}, {class(chivegauge.Normal, "b"), 60}},
			[]float64{57, 57},
			114,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			done := simulate(c.sources, 60*time.Second, 5*time.Second)
			t.Logf("runs a second %.1f", done)
			sum := 0.0
			for n, rate := range done {
				is.True(rate >= c.least[n]) // each class gets its share
				sum += rate
			}
			is.True(sum >= c.goodput) // the capacity is used
		})
	}
}
