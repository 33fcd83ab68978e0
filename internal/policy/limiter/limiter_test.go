package limiter

import (
	"container/heap"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge/internal/proof/seeder"
	"github.com/matryer/is"
)

func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m))
}

// completion is the end of one simulated run.
type completion struct {
	endsAt   time.Duration
	started  time.Duration
	inFlight int
}

type completions []completion

func (e completions) Len() int           { return len(e) }
func (e completions) Less(i, j int) bool { return e[i].endsAt < e[j].endsAt }
func (e completions) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completions) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completions) Pop() any {
	all := *e
	last := all[len(all)-1]
	*e = all[:len(all)-1]
	return last
}

// backend is a simulated backend server with a number of slots unknown to the limiter, under a load that always uses
// the whole limit.
type backend struct {
	slots   int
	service func(t time.Duration) time.Duration
	random  *rand.Rand
	freeAt  []time.Duration
	runs    completions
}

// run keeps the backend server saturated and returns the completions per second, the mean latency and the final limit
// of each span.
func (b *backend) run(l Limiter, spans []time.Duration) (rates []float64, latencies []time.Duration, limits []int) {
	startTime := time.Unix(0, 0)
	b.freeAt = make([]time.Duration, b.slots)
	now := time.Duration(0)
	spanStart := now
	for _, spanEnd := range spans {
		completed := 0
		sum := time.Duration(0)
		for now < spanEnd {
			for len(b.runs) < l.Limit() {
				b.start(now)
			}
			e := heap.Pop(&b.runs).(completion)
			now = e.endsAt
			completed++
			sum += e.endsAt - e.started
			l.Observe(startTime.Add(now), Sample{
				Latency:  e.endsAt - e.started,
				InFlight: e.inFlight,
				Waiting:  1,
			})
		}
		rates = append(rates, float64(completed)/(spanEnd-spanStart).Seconds())
		latencies = append(latencies, sum/time.Duration(max(1, completed)))
		limits = append(limits, l.Limit())
		spanStart = spanEnd
	}
	return rates, latencies, limits
}

// start starts a run in the slot that is free first.
func (b *backend) start(now time.Duration) {
	slot := 0
	for n, freeAt := range b.freeAt {
		if freeAt < b.freeAt[slot] {
			slot = n
		}
	}
	jitter := 0.8 + 0.4*b.random.Float64()
	startsAt := max(now, b.freeAt[slot])
	endsAt := startsAt + time.Duration(float64(b.service(startsAt))*jitter)
	b.freeAt[slot] = endsAt
	heap.Push(&b.runs, completion{
		endsAt:   endsAt,
		started:  now,
		inFlight: len(b.runs) + 1,
	})
}

// TestKnee compares the limiters on a backend server that is five times slower from second 10 to 20; the probe must
// keep the throughput near capacity, and its limit near the number of slots.
func TestKnee(t *testing.T) {
	const (
		service  = 40 * time.Millisecond
		slowdown = 5
	)
	spans := []time.Duration{5 * time.Second, 10 * time.Second, 15 * time.Second, 20 * time.Second, 25 * time.Second, 30 * time.Second}
	serviceTime := func(now time.Duration) time.Duration {
		if now >= 10*time.Second && now < 20*time.Second {
			return slowdown * service
		}
		return service
	}
	bounds := Bounds{
		Initial: 20,
		Max:     1000,
	}
	tests := map[string]struct {
		limiter  func() Limiter
		slots    int
		asserted bool
	}{
		"static 20 slots 8":    {func() Limiter { return NewStatic(20) }, 8, false},
		"gradient 20 slots 8":  {func() Limiter { return NewGradient(bounds) }, 8, false},
		"probe 20 slots 8":     {func() Limiter { return NewProbe(bounds) }, 8, true},
		"static 20 slots 60":   {func() Limiter { return NewStatic(20) }, 60, false},
		"gradient 20 slots 60": {func() Limiter { return NewGradient(bounds) }, 60, false},
		"probe 20 slots 60":    {func() Limiter { return NewProbe(bounds) }, 60, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &backend{
				slots:   tt.slots,
				service: serviceTime,
				random:  rand.New(rand.NewPCG(1, 1)),
			}
			rates, latencies, limits := b.run(tt.limiter(), spans)
			t.Logf("completions per second %.0f, latency %v, limit %v", rates, latencies, limits)
			if !tt.asserted {
				return
			}
			capacity := float64(tt.slots) / service.Seconds()
			for n, rate := range rates {
				achievable := capacity
				if n == 2 || n == 3 {
					achievable /= slowdown
				}
				if n > 0 {
					is.True(rate >= 0.85*achievable) // throughput at saturation stays near the capacity
				}
			}
			is.True(limits[1] <= 2*tt.slots) // the limit falls to near the number of slots
			is.True(limits[3] <= 2*tt.slots)
			is.True(limits[5] <= 2*tt.slots)
		})
	}
}
