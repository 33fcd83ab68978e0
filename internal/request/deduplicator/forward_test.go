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

// pair is a leaving node and a staying one; the staying one is notified once calls have waited for notifiedAt in total.
type pair struct {
	leaving    deduplicator.Deduplicator
	staying    deduplicator.Deduplicator
	slept      time.Duration
	notifiedAt time.Duration
	runs       int
}

// nodeView is the pair from the view of one of its nodes.
type nodeView struct {
	*pair
	self string
}

func (v nodeView) Self() chivegauge.Member {
	return chivegauge.Member{
		Address: v.self,
		Service: service,
	}
}

func (v nodeView) Service(string) []chivegauge.Member {
	leaving := chivegauge.Member{
		Address: "leaving",
		Service: service,
	}
	staying := chivegauge.Member{
		Address: "staying",
		Service: service,
	}
	if v.self == "leaving" || v.slept >= v.notifiedAt {
		return []chivegauge.Member{leaving.WithState(chivegauge.Left), staying}
	}
	return []chivegauge.Member{leaving} // each node considers the other one the owner
}

func (v nodeView) KnownSince(chivegauge.Member) (time.Time, bool) { return time.Time{}, true }

func (v nodeView) Dispatch(context.Context, chivegauge.Call) chivegauge.Response {
	v.runs++
	return chivegauge.Response{
		Status: 200,
	}
}

func (v nodeView) Send(ctx context.Context, to chivegauge.Member, c chivegauge.Call) (chivegauge.Response, picker.Load) {
	if to.Address == "leaving" {
		return v.leaving.DispatchOwned(ctx, c), picker.Load{}
	}
	return v.staying.DispatchOwned(ctx, c), picker.Load{}
}

func (v nodeView) Recall(context.Context, chivegauge.Member, string) (bool, error) { return false, nil }

// TestForwards checks that a call waits while the nodes disagree on the owner of its key, but for less than a second.
// They disagree until one node is notified that the other is leaving.
func TestForwards(t *testing.T) {
	tests := map[string]struct {
		notifiedAt time.Duration
		served     bool
	}{
		"at once":       {served: true},
		"soon":          {notifiedAt: 60 * time.Millisecond, served: true},
		"within 0.6 s":  {notifiedAt: 600 * time.Millisecond, served: true},
		"never in time": {notifiedAt: time.Hour},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &pair{
				notifiedAt: tt.notifiedAt,
			}
			now := func() time.Time { return time.Unix(1000, 0) }
			sleep := func(_ context.Context, d time.Duration) { p.slept += d }
			node := func(self string) deduplicator.Deduplicator {
				v := nodeView{
					pair: p,
					self: self,
				}
				return deduplicator.New(now, sleep, v, v, v, v, func(string) bool { return false }, time.Minute)
			}
			p.leaving = node("leaving")
			p.staying = node("staying")
			response := p.staying.Dispatch(context.Background(), chivegauge.Call{
				Service:        service,
				IdempotencyKey: "k",
				Deadline:       now().Add(time.Minute),
			})
			is.Equal(response.Refusal == nil, tt.served)
			is.Equal(p.runs == 1, tt.served)
			is.True(p.slept < time.Second)
		})
	}
}
