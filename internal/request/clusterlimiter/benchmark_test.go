package clusterlimiter_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/clusterlimiter"
)

// countingView is a node whose token requests are granted by one other node.
type countingView struct {
	view
	owner    clusterlimiter.ClusterLimiter
	requests int
}

func (v *countingView) RequestTokens(ctx context.Context, _ chivegauge.Member, tr clusterlimiter.TokenRequest) (clusterlimiter.Grant, error) {
	v.requests++
	return v.owner.Grant(ctx, tr), nil
}

// BenchmarkAcquire measures a request of a workspace that uses half of its rate, and how many token requests it takes. The
// requests come at an even pace, a tenth of them at this node.
func BenchmarkAcquire(b *testing.B) {
	for _, nodes := range []int{17, 100, 1900} {
		b.Run(fmt.Sprintf("%d nodes", nodes), func(b *testing.B) {
			const perSecond = 1000
			now := time.Unix(1000, 0)
			list := []chivegauge.Workspace{{
				Name:          "golf",
				RatePerSecond: perSecond,
				Burst:         perSecond,
			}}
			c := &cluster{}
			for n := range nodes {
				c.members = append(c.members, chivegauge.Member{
					Address: fmt.Sprintf("10.0.%d.%d:8543", n/250, n%250),
				})
			}
			none := func(chivegauge.Member) bool { return false }
			owner := chivegauge.Heaviest(c.members[0], c.members, "golf", none)
			self := c.members[0]
			if self == owner {
				self = c.members[1]
			}
			clock := func() time.Time { return now }
			newNode := func(v clusterlimiter.Members, client clusterlimiter.TokenClient) clusterlimiter.ClusterLimiter {
				l := clusterlimiter.New(clock, v, client, 1)
				l.Resize(nodes)
				l.Configure(list)
				return l
			}
			ownerView := view{
				cluster: c,
				self:    owner,
			}
			v := &countingView{
				view: view{
					cluster: c,
					self:    self,
				},
				owner: newNode(ownerView, ownerView),
			}
			l := newNode(v, v)
			now = now.Add(time.Minute)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(2 * time.Second / perSecond * 10)
				if ok, _ := l.Acquire(context.Background(), "golf"); !ok {
					b.Fatal("refused within the rate")
				}
			}
			b.ReportMetric(float64(v.requests)/float64(b.N), "requests/op")
		})
	}
}
