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

// ending is the end of one simulated run.
type ending struct {
	at       time.Duration
	began    time.Duration
	inFlight int
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// backend is a simulated backend server with hidden slots behind a limiter that is always asked for more.
type backend struct {
	slots   int
	service func(t time.Duration) time.Duration
	rng     *rand.Rand
	free    []time.Duration
	runs    endings
}

// run keeps the backend server saturated and returns completions and the mean latency per span.
func (b *backend) run(l Limiter, spans []time.Duration) (rates []float64, latencies []time.Duration, limits []int) {
	start := time.Unix(0, 0)
	b.free = make([]time.Duration, b.slots)
	now := time.Duration(0)
	from := now
	for _, until := range spans {
		done := 0
		sum := time.Duration(0)
		for now < until {
			for len(b.runs) < l.Limit() {
				b.begin(now)
			}
			e := heap.Pop(&b.runs).(ending)
			now = e.at
			done++
			sum += e.at - e.began
			l.Observe(start.Add(now), Sample{
				Latency:  e.at - e.began,
				InFlight: e.inFlight,
				Waiting:  1,
			})
		}
		rates = append(rates, float64(done)/(until-from).Seconds())
		latencies = append(latencies, sum/time.Duration(max(1, done)))
		limits = append(limits, l.Limit())
		from = until
	}
	return rates, latencies, limits
}

// begin starts a run in the slot that is free first.
func (b *backend) begin(now time.Duration) {
	first := 0
	for n, at := range b.free {
		if at < b.free[first] {
			first = n
		}
	}
	jitter := 0.8 + 0.4*b.rng.Float64()
	starts := max(now, b.free[first])
	ends := starts + time.Duration(float64(b.service(starts))*jitter)
	b.free[first] = ends
	heap.Push(&b.runs, ending{
		at:       ends,
		began:    now,
		inFlight: len(b.runs) + 1,
	})
}

// TestKnee compares the limiters on a backend server that slows five times for a while.
func TestKnee(t *testing.T) {
	const (
		service = 40 * time.Millisecond
		slow    = 5
	)
	spans := []time.Duration{5 * time.Second, 10 * time.Second, 15 * time.Second, 20 * time.Second, 25 * time.Second, 30 * time.Second}
	at := func(now time.Duration) time.Duration {
		if now >= 10*time.Second && now < 20*time.Second {
			return slow * service
		}
		return service
	}
	bounds := Bounds{
		Initial: 20,
		Max:     1000,
	}
	cases := map[string]struct {
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
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &backend{
				slots:   c.slots,
				service: at,
				rng:     rand.New(rand.NewPCG(1, 1)),
			}
			rates, latencies, limits := b.run(c.limiter(), spans)
			t.Logf("completions a second %.0f, latency %v, limit %v", rates, latencies, limits)
			if !c.asserted {
				return
			}
			capacity := float64(c.slots) / service.Seconds()
			for n, rate := range rates {
				possible := capacity
				if n == 2 || n == 3 {
					possible /= slow
				}
				if n > 0 {
					is.True(rate >= 0.85*possible) // saturated throughput stays near the capacity
				}
			}
			is.True(limits[1] <= 2*c.slots) // the limit comes down to the slots
			is.True(limits[3] <= 2*c.slots)
			is.True(limits[5] <= 2*c.slots)
		})
	}
}
