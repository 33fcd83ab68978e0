package concurrencylimiter_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/limiter"
	"github.com/chivegauge/chivegauge/internal/policy/scheduler"
	"github.com/chivegauge/chivegauge/internal/request/concurrencylimiter"
	"github.com/matryer/is"
)

const (
	slots   = 100
	runTime = 50 * time.Millisecond
)

func newLimiter() concurrencylimiter.ConcurrencyLimiter {
	return concurrencylimiter.New(time.Now, limiter.NewStatic(slots), scheduler.New(slots), concurrencylimiter.WithMaxWait(150*time.Millisecond))
}

// load offers requests at a steady rate, and records when they are admitted.
type load struct {
	cl       concurrencylimiter.ConcurrencyLimiter
	group    sync.WaitGroup
	admitted atomic.Int64
}

// offer offers requests of the importance for the duration, in requests per second.
func (l *load) offer(perSecond int, importance chivegauge.Importance, d time.Duration) {
	interval := time.Second / time.Duration(perSecond)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		l.group.Go(func() {
			p, refusal := l.cl.Acquire(context.Background(), chivegauge.Call{
				Importance: importance,
				Deadline:   time.Now().Add(time.Second),
			})
			if refusal != nil {
				return
			}
			l.admitted.Add(1)
			time.Sleep(runTime)
			l.cl.Release(p, false)
		})
	}
}

// TestRateLimit checks how many requests are admitted in 4 s for an announced limit, within 2 percent and a burst.
func TestRateLimit(t *testing.T) {
	tests := map[string]struct {
		limit   float64
		offered int
		min     int64
		max     int64
	}{
		"above the limit":     {limit: 100, offered: 400, min: 392, max: 418},
		"far above":           {limit: 17.1, offered: 1000, min: 66, max: 71},
		"below the limit":     {limit: 100, offered: 50, min: 199, max: 201},
		"takes none":          {limit: 0, offered: 100, min: 1, max: 5},
		"less than one":       {limit: 0.75, offered: 100, min: 2, max: 5},
		"above what it bears": {limit: 1e9, offered: 200, min: 799, max: 801},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := &load{
					cl: newLimiter(),
				}
				l.cl.SetRate(tt.limit)
				l.offer(tt.offered, chivegauge.Normal, 4*time.Second)
				l.group.Wait()
				is.True(l.admitted.Load() >= tt.min)
				is.True(l.admitted.Load() <= tt.max)
				is.Equal(l.cl.Load().Running, 0)
			})
		})
	}
}

// TestRateLimitEnds checks that queued requests are admitted at once when the limit is removed, and that the reported
// limit follows.
func TestRateLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &load{
			cl: newLimiter(),
		}
		l.offer(100, chivegauge.Normal, time.Second)
		is.Equal(l.cl.Load().Limit, slots)
		l.cl.SetRate(40)
		l.offer(100, chivegauge.Normal, 100*time.Millisecond)
		is.Equal(l.cl.Load().Limit, 2) // 40 a second of 50 ms each
		is.True(l.cl.Load().Waiting > 0)
		l.cl.RemoveRate()
		synctest.Wait()
		is.Equal(l.cl.Load().Waiting, 0)
		is.Equal(l.cl.Load().Limit, slots)
		l.group.Wait()
	})
}

// TestRateLimitShedsLeastImportant checks that above an announced limit the more important requests are admitted.
func TestRateLimitShedsLeastImportant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newLimiter()
		cl.SetRate(100)
		important := &load{
			cl: cl,
		}
		other := &load{
			cl: cl,
		}
		group := sync.WaitGroup{}
		group.Go(func() { important.offer(80, chivegauge.Critical, 4*time.Second) })
		group.Go(func() { other.offer(200, chivegauge.Low, 4*time.Second) })
		group.Wait()
		important.group.Wait()
		other.group.Wait()
		is.True(important.admitted.Load() >= 310) // of 320
		is.True(other.admitted.Load() >= 60)
	})
}

// TestProbation checks that few requests are admitted before the first response, and all afterwards.
func TestProbation(t *testing.T) {
	tests := map[string]struct {
		wait  time.Duration // from the first request
		end   bool
		least int
		most  int
	}{
		"at first":       {least: 4, most: 4},
		"response":       {end: true, least: 20, most: 20},
		"no response":    {wait: 900 * time.Millisecond, least: 4, most: 4},
		"not for longer": {wait: 1100 * time.Millisecond, least: 20, most: 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cl := concurrencylimiter.New(time.Now, limiter.NewStatic(slots), scheduler.New(slots), concurrencylimiter.WithMaxWait(time.Minute))
				cl.StartProbation()
				time.Sleep(time.Hour) // before the first request
				ctx, cancel := context.WithCancel(context.Background())
				group := sync.WaitGroup{}
				for range 20 {
					group.Go(func() {
						_, _ = cl.Acquire(ctx, chivegauge.Call{
							Deadline: time.Now().Add(time.Minute),
						})
					})
				}
				time.Sleep(tt.wait)
				synctest.Wait()
				if tt.end {
					cl.EndProbation()
				}
				is.True(cl.Load().Running >= tt.least)
				is.True(cl.Load().Running <= tt.most)
				cancel()
				group.Wait()
			})
		})
	}
}
