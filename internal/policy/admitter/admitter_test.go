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

// load is the load of one class, in requests per second.
type load struct {
	class admitter.Class
	rate  float64
}

// simulate runs a backend server with ten slots under the loads and returns the completed runs per second of each after
// a warm-up.
func simulate(loads []load, length, warmup time.Duration) []float64 {
	random := rand.New(rand.NewPCG(7, 7))
	controller := admitter.NewController()
	queue := scheduler.New(1000)
	start := time.Unix(0, 0)
	owner := map[uint64]int{}
	var endTimes []time.Duration
	completed := make([]float64, len(loads))
	id := uint64(0)
	for elapsed := time.Duration(0); elapsed < length; elapsed += tick {
		now := start.Add(elapsed)
		stillRunning := endTimes[:0]
		for _, end := range endTimes {
			if end > elapsed {
				stillRunning = append(stillRunning, end)
				continue
			}
			controller.CountFinished(now)
		}
		endTimes = stillRunning
		for n, l := range loads {
			if random.Float64() >= l.rate*tick.Seconds() || !controller.Admit(now, l.class, random.IntN(admitter.LevelMax)) {
				continue
			}
			id++
			owner[id] = n
			queue.Push(scheduler.Item{
				ID:         id,
				Workspace:  l.class.Workspace,
				Importance: l.class.Importance,
				Queued:     now,
				Expires:    now.Add(maxWait),
			})
		}
		for len(endTimes) < slots {
			it, expired, ok := queue.Pop(now)
			for _, expiredItem := range expired {
				controller.ObserveWait(now, now.Sub(expiredItem.Queued), true)
			}
			if !ok {
				break
			}
			controller.ObserveWait(now, now.Sub(it.Queued), false)
			jitter := time.Duration(float64(service) * (0.8 + 0.4*random.Float64()))
			endTimes = append(endTimes, elapsed+jitter)
			if elapsed >= warmup {
				completed[owner[it.ID]] += 1 / (length - warmup).Seconds()
			}
		}
	}
	return completed
}

func class(i chivegauge.Importance, workspace string) admitter.Class {
	return admitter.Class{
		Importance: i,
		Workspace:  workspace,
	}
}

// TestShares checks the completed runs per second of each class at a capacity of 200 runs per second, and their sum.
func TestShares(t *testing.T) {
	tests := map[string]struct {
		loads      []load
		leastRates []float64
		goodput    float64
	}{
		"one class far above capacity": {
			[]load{{class(chivegauge.Normal, "a"), 600}},
			[]float64{180},
			180,
		},
		"one workspace sends ten times the others": {
			[]load{
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
			[]load{
				{class(chivegauge.Critical, "a"), 60},
				{class(chivegauge.Normal, "a"), 240},
				{class(chivegauge.Low, "a"), 300},
			},
			[]float64{59, 110, 0},
			180,
		},
		"below capacity": {
			[]load{{class(chivegauge.Low, "a"), 60}, {class(chivegauge.Normal, "b"), 60}},
			[]float64{57, 57},
			114,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			completed := simulate(tt.loads, 60*time.Second, 5*time.Second)
			t.Logf("runs per second %.1f", completed)
			sum := 0.0
			for n, rate := range completed {
				is.True(rate >= tt.leastRates[n]) // each class gets its share
				sum += rate
			}
			is.True(sum >= tt.goodput) // the capacity is used
		})
	}
}
