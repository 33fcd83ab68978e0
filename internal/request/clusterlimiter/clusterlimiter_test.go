package clusterlimiter_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/clusterlimiter"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// cluster is a set of nodes that request tokens from each other; a partitioned node neither sends nor receives.
type cluster struct {
	members     []chivegauge.Member
	nodes       map[string]clusterlimiter.ClusterLimiter
	partitioned sync.Map // address of each partitioned node
}

// view is the cluster from the view of one node.
type view struct {
	*cluster
	self chivegauge.Member
}

func (v view) Self() chivegauge.Member    { return v.self }
func (v view) Alive() []chivegauge.Member { return v.members }

func (v view) RequestTokens(ctx context.Context, m chivegauge.Member, tr clusterlimiter.TokenRequest) (clusterlimiter.Grant, error) {
	if _, found := v.partitioned.Load(m.Address); found {
		return clusterlimiter.Grant{}, errors.New("node is partitioned")
	}
	if _, found := v.partitioned.Load(v.self.Address); found {
		return clusterlimiter.Grant{}, errors.New("node is partitioned")
	}
	return v.nodes[m.Address].Grant(ctx, tr), nil
}

func newCluster(names string, initial float64, list []chivegauge.Workspace) *cluster {
	return newClusterAt(time.Now, names, initial, list)
}

func newClusterAt(now func() time.Time, names string, initial float64, list []chivegauge.Workspace) *cluster {
	c := &cluster{
		nodes: map[string]clusterlimiter.ClusterLimiter{},
	}
	for _, r := range names {
		c.members = append(c.members, chivegauge.Member{
			Address: string(r),
		})
	}
	for _, m := range c.members {
		v := view{
			cluster: c,
			self:    m,
		}
		l := clusterlimiter.New(now, v, v, initial)
		l.Resize(len(c.members))
		l.Configure(list)
		c.nodes[m.Address] = l
	}
	return c
}

const (
	rate  = 200.0
	burst = 20.0
)

func golf() []chivegauge.Workspace {
	return []chivegauge.Workspace{{
		Name:          "golf",
		RatePerSecond: rate,
		Burst:         burst,
	}}
}

// saturate takes tokens at each node without a pause, and returns how many were taken and whether any refusal took
// longer than 5 seconds.
func (c *cluster) saturate(length time.Duration) (taken int64, late bool) {
	count := atomic.Int64{}
	slow := atomic.Bool{}
	group := sync.WaitGroup{}
	end := time.Now().Add(length)
	for _, l := range c.nodes {
		for range 4 {
			group.Go(func() {
				for time.Now().Before(end) {
					began := time.Now()
					ok, _ := l.Acquire(context.Background(), "golf")
					if ok {
						count.Add(1)
						continue
					}
					slow.CompareAndSwap(false, time.Since(began) > 5*time.Second)
					time.Sleep(time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	return count.Load(), slow.Load()
}

// TestTotalWithinRate checks that all nodes together take no more tokens than rate and burst allow, and that no request
// waits indefinitely.
func TestTotalWithinRate(t *testing.T) {
	tests := map[string]string{
		"no partition":              "",
		"one node is partitioned":   "a",
		"two nodes are partitioned": "bc",
	}
	for name, addresses := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster("abcdefghijklmnopq", 1, golf())
			for _, address := range addresses {
				c.partitioned.Store(string(address), true)
			}
			began := time.Now()
			taken, late := c.saturate(time.Second)
			// A partitioned node may grant itself 2.5 even shares; each bucket holds at least one token.
			partitioned := float64(len(addresses)) * 2.5 / 17
			minBursts := float64(len(c.nodes) * 2)
			is.True(float64(taken) <= (rate*time.Since(began).Seconds()+burst)*(1+partitioned)+minBursts)
			is.True(taken > 0)
			is.True(!late)
		})
	}
}

// TestBurstGrantedOnce checks that an acting owner doesn't grant the burst a second time.
func TestBurstGrantedOnce(t *testing.T) {
	is := is.New(t)
	const large = 300.0
	c := newCluster("abcdef", 0, []chivegauge.Workspace{{
		Name:          "golf",
		RatePerSecond: large,
		Burst:         large,
	}})
	began := time.Now()
	time.Sleep(1200 * time.Millisecond) // fills the bucket at every node that may become the owner
	taken := 0
	drain := func() {
		for range int(large) {
			if ok, _ := c.nodes["a"].Acquire(context.Background(), "golf"); ok {
				taken++
			}
		}
	}
	drain()
	for _, m := range c.members[1:] {
		c.partitioned.Store(m.Address, true)
		drain()
	}
	allowed := large * (1 + time.Since(began).Seconds())
	is.True(float64(taken) <= allowed)
}

// TestSingleOwner checks that two nodes grant tokens at the same time only briefly when the preferred owner is
// reachable again and an acting owner hasn't noticed.
func TestSingleOwner(t *testing.T) {
	is := is.New(t)
	now := atomic.Int64{}
	c := newClusterAt(func() time.Time { return time.Unix(0, now.Load()) }, "abcdef", 0, golf())
	preferred := c.members[0]
	for _, m := range c.members {
		if m.Weight("golf") > preferred.Weight("golf") {
			preferred = m
		}
	}
	acting := c.members[0]
	if acting == preferred {
		acting = c.members[1]
	}
	request := clusterlimiter.TokenRequest{
		Workspace: "golf",
		Count:     100,
	}
	c.partitioned.Store(preferred.Address, true)
	c.nodes[acting.Address].Grant(context.Background(), request) // marks the preferred owner as unreachable
	c.partitioned.Delete(preferred.Address)
	granted := 0
	const steps = 16
	for range steps {
		now.Add(int64(50 * time.Millisecond))
		granted += c.nodes[preferred.Address].Grant(context.Background(), request).Granted
		granted += c.nodes[acting.Address].Grant(context.Background(), request).Granted
		time.Sleep(5 * time.Millisecond) // the acting owner probes the preferred owner in the background
	}
	allowed := burst + rate*(steps*0.05+0.25)
	is.True(float64(granted) <= allowed)
}

// TestStartsEmpty checks that nodes start without a burst, because other nodes may have spent it before.
func TestStartsEmpty(t *testing.T) {
	is := is.New(t)
	c := newCluster("abc", 0, []chivegauge.Workspace{{
		Name:          "golf",
		RatePerSecond: 0.001,
		Burst:         1000,
	}})
	for _, l := range c.nodes {
		ok, wait := l.Acquire(context.Background(), "golf")
		is.True(!ok)
		is.True(wait > 0)
	}
}
