package suspector_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/suspector"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// fleet is nodes that tell each other news.
type fleet struct {
	nodes map[string]suspector.Suspector
	heard atomic.Int64
}

// view is the fleet as one node sees it.
type view struct {
	*fleet
	self string
}

func (v view) Self() chivegauge.Member {
	return chivegauge.Member{
		Address: v.self,
	}
}

func (v view) Alive() []chivegauge.Member {
	list := []chivegauge.Member{}
	for address := range v.nodes {
		list = append(list, chivegauge.Member{
			Address: address,
		})
	}
	return list
}

func (v view) Suspect(_ context.Context, m chivegauge.Member, n suspector.News) error {
	v.nodes[m.Address].Learn(start, n)
	v.heard.Add(1)
	return nil
}

var start = time.Unix(1000, 0)

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		nodes: map[string]suspector.Suspector{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	group := sync.WaitGroup{}
	for _, address := range []string{"a", "b", "c"} {
		v := view{
			fleet: f,
			self:  address,
		}
		f.nodes[address] = suspector.New(v, v, zerolog.Nop())
	}
	for _, n := range f.nodes {
		group.Go(func() { _ = n.Serve(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return f
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 5000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("not in time: %s", what)
}

// TestRefuses states from when on a request is refused at one node.
func TestRefuses(t *testing.T) {
	const poison = uint64(7)
	tests := map[string]struct {
		after   []time.Duration
		survive int
		at      time.Duration
		refused bool
	}{
		"two deaths":               {after: []time.Duration{0, 2 * time.Second}},
		"three deaths":             {after: []time.Duration{0, 2 * time.Second, 4 * time.Second}, refused: true},
		"three deaths at once":     {after: []time.Duration{0, time.Millisecond, 2 * time.Millisecond}},
		"survived in between":      {after: []time.Duration{0, 2 * time.Second, 4 * time.Second}, survive: 2},
		"three deaths, long after": {after: []time.Duration{0, 2 * time.Second, 4 * time.Second}, at: time.Hour},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFleet(t).nodes["a"]
			is.True(s.Empty())
			last := start
			for n, after := range tt.after {
				if tt.survive > 0 && n == tt.survive {
					s.Survived(poison)
				}
				last = start.Add(after)
				s.Died(last, []uint64{poison, uint64(100 + n)})
			}
			is.Equal(s.Refuses(last.Add(tt.at), poison), tt.refused)
			is.True(!s.Refuses(last, 100)) // ran beside it once
		})
	}
}

// TestDeathsAtDifferentNodes states that deaths add up over the nodes, and that a survival clears a request everywhere.
func TestDeathsAtDifferentNodes(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	const poison, popular = uint64(7), uint64(8)
	known := func(fingerprint uint64, yes bool) func() bool {
		return func() bool {
			for _, n := range f.nodes {
				if n.Refuses(start, fingerprint) != yes {
					return false
				}
			}
			return true
		}
	}
	at := start
	told := int64(2)
	for _, address := range []string{"a", "b", "c"} {
		f.nodes[address].Died(at, []uint64{poison, popular})
		at = at.Add(2 * time.Second)
		eventually(t, "both other nodes have heard", func() bool { return f.heard.Load() == told })
		told += 2
	}
	eventually(t, "refused everywhere", known(poison, true))
	is.True(known(popular, true)())
	f.nodes["b"].Survived(popular) // a run of it that had begun before
	eventually(t, "cleared everywhere", known(popular, false))
	is.True(known(poison, true)())
}

// TestStartedAnew states that a node which knows of fewer deaths than the others hears of them with the first one it sees.
func TestStartedAnew(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	const poison = uint64(7)
	for _, address := range []string{"a", "b"} {
		f.nodes[address].Learn(start, suspector.News{
			Deaths: map[uint64]int{
				poison: 4,
			},
		})
	}
	f.nodes["c"].Died(start, []uint64{poison})
	eventually(t, "refused at the node that did not know", func() bool { return f.nodes["c"].Refuses(start, poison) })
	is.True(f.nodes["a"].Refuses(start, poison))
}
