package deduplicator_test

import (
	"context"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/request/deduplicator"
	"github.com/matryer/is"
)

// pair is two nodes, of which one is leaving and the other has not heard of it yet.
type pair struct {
	leaving deduplicator.Deduplicator
	staying deduplicator.Deduplicator
	rested  time.Duration
	heardAt time.Duration
	runs    int
}

// half is the pair as one of the nodes sees it.
type half struct {
	*pair
	self string
}

func (h half) Self() chivegauge.Member {
	return chivegauge.Member{
		Address: h.self,
		Service: service,
	}
}

func (h half) Service(string) []chivegauge.Member {
	leaving := chivegauge.Member{
		Address: "leaving",
		Service: service,
	}
	staying := chivegauge.Member{
		Address: "staying",
		Service: service,
	}
	if h.self == "leaving" || h.rested >= h.heardAt {
		return []chivegauge.Member{leaving.WithState(chivegauge.Left), staying}
	}
	return []chivegauge.Member{leaving} // each sees the other as the owner
}

func (h half) Met(chivegauge.Member) (time.Time, bool) { return time.Time{}, true }

func (h half) Dispatch(context.Context, chivegauge.Call) chivegauge.Answer {
	h.runs++
	return chivegauge.Answer{
		Status: 200,
	}
}

func (h half) Hop(ctx context.Context, to chivegauge.Member, c chivegauge.Call) (chivegauge.Answer, picker.Load) {
	if to.Address == "leaving" {
		return h.leaving.Own(ctx, c), picker.Load{}
	}
	return h.staying.Own(ctx, c), picker.Load{}
}

func (h half) Recall(context.Context, chivegauge.Member, string) (bool, error) { return false, nil }

// TestForwards states that a call whose nodes do not agree on the owner of its key waits for them to, for a bounded time.
func TestForwards(t *testing.T) {
	tests := map[string]struct {
		heardAt time.Duration
		served  bool
	}{
		"at once":       {served: true},
		"soon":          {heardAt: 60 * time.Millisecond, served: true},
		"within 0.6 s":  {heardAt: 600 * time.Millisecond, served: true},
		"never in time": {heardAt: time.Hour},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &pair{
				heardAt: tt.heardAt,
			}
			now := func() time.Time { return time.Unix(1000, 0) }
			rest := func(_ context.Context, d time.Duration) { p.rested += d }
			node := func(self string) deduplicator.Deduplicator {
				h := half{
					pair: p,
					self: self,
				}
				return deduplicator.New(now, rest, h, h, h, h, func(string) bool { return false }, time.Minute)
			}
			p.leaving = node("leaving")
			p.staying = node("staying")
			a := p.staying.Dispatch(context.Background(), chivegauge.Call{
				Service:        service,
				IdempotencyKey: "k",
				Deadline:       now().Add(time.Minute),
			})
			is.Equal(a.Refusal == nil, tt.served)
			is.Equal(p.runs == 1, tt.served)
			is.True(p.rested < time.Second)
		})
	}
}
