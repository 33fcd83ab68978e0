package drawer_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/drawer"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// fleet is nodes that draw from each other; a node that is cut off reaches none.
type fleet struct {
	members []chivegauge.Member
	nodes   map[string]drawer.Drawer
	cut     sync.Map
}

// seat is the fleet as one node sees it.
type seat struct {
	*fleet
	self chivegauge.Member
}

func (s seat) Self() chivegauge.Member    { return s.self }
func (s seat) Alive() []chivegauge.Member { return s.members }

func (s seat) Draw(ctx context.Context, m chivegauge.Member, d drawer.Draw) (drawer.Grant, error) {
	if _, cut := s.cut.Load(m.Address); cut {
		return drawer.Grant{}, errors.New("cut off")
	}
	if _, cut := s.cut.Load(s.self.Address); cut {
		return drawer.Grant{}, errors.New("cut off")
	}
	return s.nodes[m.Address].Give(ctx, d), nil
}

func newFleet(names string, initial float64, list []chivegauge.Workspace) *fleet {
	return newFleetAt(time.Now, names, initial, list)
}

func newFleetAt(now func() time.Time, names string, initial float64, list []chivegauge.Workspace) *fleet {
	f := &fleet{
		nodes: map[string]drawer.Drawer{},
	}
	for _, r := range names {
		f.members = append(f.members, chivegauge.Member{
			Address: string(r),
		})
	}
	for _, m := range f.members {
		s := seat{
			fleet: f,
			self:  m,
		}
		d := drawer.New(now, s, s, initial)
		d.Resize(len(f.members))
		d.Configure(list)
		f.nodes[m.Address] = d
	}
	return f
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

// press takes tokens at each node as fast as they come, and returns how many there were and whether one was refused late.
func (f *fleet) press(length time.Duration) (taken int64, late bool) {
	count := atomic.Int64{}
	slow := atomic.Bool{}
	group := sync.WaitGroup{}
	end := time.Now().Add(length)
	for _, d := range f.nodes {
		for range 4 {
			group.Go(func() {
				for time.Now().Before(end) {
					began := time.Now()
					ok, _ := d.Take(context.Background(), "golf")
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

// TestSumStaysBelowRate states that all nodes together get no more than rate and burst, and that nobody waits for ever.
func TestSumStaysBelowRate(t *testing.T) {
	tests := map[string]string{
		"all reach each other": "",
		"one is cut off":       "a",
		"two are cut off":      "bc",
	}
	for name, cut := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet("abcdefghijklmnopq", 1, golf())
			for _, r := range cut {
				f.cut.Store(string(r), true)
			}
			began := time.Now()
			taken, late := f.press(time.Second)
			// A node that is cut off may give itself 2.5 even parts; each bucket holds one token at least.
			apart := float64(len(cut)) * 2.5 / 17
			floors := float64(len(f.nodes) * 2)
			is.True(float64(taken) <= (rate*time.Since(began).Seconds()+burst)*(1+apart)+floors)
			is.True(taken > 0)
			is.True(!late)
		})
	}
}

// TestBurstIsNotGivenTwice states that a node which hands out tokens in another's place does not hand the burst out again.
func TestBurstIsNotGivenTwice(t *testing.T) {
	is := is.New(t)
	const large = 300.0
	f := newFleet("abcdef", 0, []chivegauge.Workspace{{
		Name:          "golf",
		RatePerSecond: large,
		Burst:         large,
	}})
	began := time.Now()
	time.Sleep(1200 * time.Millisecond) // the burst is there now, at each node that might hand it out
	taken := 0
	drain := func() {
		for range int(large) {
			if ok, _ := f.nodes["a"].Take(context.Background(), "golf"); ok {
				taken++
			}
		}
	}
	drain()
	for _, m := range f.members[1:] {
		f.cut.Store(m.Address, true)
		drain()
	}
	allowed := large * (1 + time.Since(began).Seconds())
	is.True(float64(taken) <= allowed)
}

// TestOneHandsOut states that no two nodes hand out for long, where some still take the first one for lost that is back.
func TestOneHandsOut(t *testing.T) {
	is := is.New(t)
	now := atomic.Int64{}
	f := newFleetAt(func() time.Time { return time.Unix(0, now.Load()) }, "abcdef", 0, golf())
	first := f.members[0]
	for _, m := range f.members {
		if m.Weight("golf") > first.Weight("golf") {
			first = m
		}
	}
	other := f.members[0]
	if other == first {
		other = f.members[1]
	}
	want := drawer.Draw{
		Workspace: "golf",
		Want:      100,
	}
	f.cut.Store(first.Address, true)
	f.nodes[other.Address].Give(context.Background(), want) // it takes the first one for lost now
	f.cut.Delete(first.Address)
	granted := 0
	const steps = 16
	for range steps {
		now.Add(int64(50 * time.Millisecond))
		granted += f.nodes[first.Address].Give(context.Background(), want).Granted
		granted += f.nodes[other.Address].Give(context.Background(), want).Granted
		time.Sleep(5 * time.Millisecond) // it asks in the background whether the first one is back
	}
	allowed := burst + rate*(steps*0.05+0.25)
	is.True(float64(granted) <= allowed)
}

// TestStartsEmpty states that nodes which start after others may have spent the burst do not have it again.
func TestStartsEmpty(t *testing.T) {
	is := is.New(t)
	f := newFleet("abc", 0, []chivegauge.Workspace{{
		Name:          "golf",
		RatePerSecond: 0.001,
		Burst:         1000,
	}})
	for _, d := range f.nodes {
		ok, wait := d.Take(context.Background(), "golf")
		is.True(!ok)
		is.True(wait > 0)
	}
}
