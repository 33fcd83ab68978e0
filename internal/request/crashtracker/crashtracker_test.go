package crashtracker_test

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/crashtracker"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// cluster is a set of nodes that send reports to each other.
type cluster struct {
	nodes    map[string]crashtracker.CrashTracker
	received atomic.Int64 // reports

	mu        sync.Mutex
	published map[string]crashtracker.Requests // by the address of the node
}

// view is the cluster from the view of one node.
type view struct {
	*cluster
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

func (v view) NotifyCrashes(_ context.Context, m chivegauge.Member, r crashtracker.CrashReport) error {
	v.nodes[m.Address].Merge(start, r)
	v.received.Add(1)
	return nil
}

func (v view) PublishRefused(_ context.Context, refused crashtracker.Requests) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.published[v.self] = refused
}

// stored returns the requests that the nodes have published.
func (c *cluster) stored() crashtracker.Requests {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := crashtracker.Requests{}
	for _, refused := range c.published {
		maps.Copy(all, refused)
	}
	return all
}

var start = time.Now()

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{
		nodes:     map[string]crashtracker.CrashTracker{},
		published: map[string]crashtracker.Requests{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	group := sync.WaitGroup{}
	for _, address := range []string{"a", "b", "c"} {
		v := view{
			cluster: c,
			self:    address,
		}
		c.nodes[address] = crashtracker.New(v, v, v, zerolog.Nop())
	}
	for _, n := range c.nodes {
		group.Go(func() { _ = n.Serve(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return c
}

func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for range 5000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("condition not met within 5 s: %s", condition)
}

func backendProcess(instance string) crashtracker.BackendProcess {
	return crashtracker.BackendProcess{
		Instance:    instance,
		StartedAtMs: 1,
	}
}

// poison is the fingerprint of a request that crashes backend servers.
const poison = uint64(7)

// crashReport returns a report of crashes by poison that one other node process recognised, the last at the given time.
func crashReport(crashes int, last time.Time) crashtracker.CrashReport {
	return crashtracker.CrashReport{
		SentAtMs: last.UnixMilli(),
		Requests: crashtracker.Requests{
			poison: {
				Counters: crashtracker.Counters{
					Crashes: map[uint64]int{
						1: crashes,
					},
				},
				LastCrashMs: last.UnixMilli(),
			},
		},
	}
}

// TestRefuses checks after how many crashes one node refuses a request.
func TestRefuses(t *testing.T) {
	tests := map[string]struct {
		crashes   []time.Duration // after the start
		completed int             // before this crash, 0 for never
		at        time.Duration   // after the last crash
		refused   bool
	}{
		"two crashes":               {crashes: []time.Duration{0, 2 * time.Second}},
		"three crashes":             {crashes: []time.Duration{0, 2 * time.Second, 4 * time.Second}, refused: true},
		"three crashes at once":     {crashes: []time.Duration{0, time.Millisecond, 2 * time.Millisecond}, refused: true},
		"at once, then completed":   {crashes: []time.Duration{0, time.Millisecond, 2 * time.Millisecond}, completed: 3},
		"completed in between":      {crashes: []time.Duration{0, 2 * time.Second, 4 * time.Second}, completed: 2},
		"three crashes, long after": {crashes: []time.Duration{0, 2 * time.Second, 4 * time.Second}, at: time.Hour},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newCluster(t).nodes["a"]
			is.True(s.Empty())
			last := start
			for n, after := range tt.crashes {
				if tt.completed > 0 && n == tt.completed {
					s.Clear(last, poison)
				}
				last = start.Add(after)
				s.RecordCrash(last, backendProcess(strconv.Itoa(n)), []uint64{poison, uint64(100 + n)})
			}
			if tt.completed == len(tt.crashes) {
				s.Clear(last, poison)
			}
			is.Equal(s.Quarantined(last.Add(tt.at), poison), tt.refused)
			is.True(!s.Quarantined(last, 100)) // ran during one crash only
		})
	}
}

// TestCrashesAtDifferentNodes checks that crashes are added up over all nodes, and that the completion of a request
// clears it at every node.
func TestCrashesAtDifferentNodes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	const popular = uint64(8)
	refused := func(fingerprint uint64, want bool) func() bool {
		return func() bool {
			for _, n := range c.nodes {
				if n.Quarantined(start, fingerprint) != want {
					return false
				}
			}
			return true
		}
	}
	at := start
	sent := int64(2)
	for _, address := range []string{"a", "b", "c"} {
		c.nodes[address].RecordCrash(at, backendProcess(address), []uint64{poison, popular})
		at = at.Add(2 * time.Second)
		eventually(t, "both other nodes received the report", func() bool { return c.received.Load() == sent })
		sent += 2
	}
	eventually(t, "refused everywhere", refused(poison, true))
	is.True(refused(popular, true)())
	c.nodes["b"].Clear(at, popular) // a run that began before the request was refused
	eventually(t, "cleared everywhere", refused(popular, false))
	is.True(refused(poison, true)())
}

// TestCountsSentAfterRestart checks that a node with lower counts than the others receives theirs after the first crash
// that it reports.
func TestCountsSentAfterRestart(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	for _, address := range []string{"a", "b"} {
		c.nodes[address].Merge(start, crashReport(4, start))
	}
	c.nodes["c"].RecordCrash(start, backendProcess("c"), []uint64{poison})
	eventually(t, "refused at the node with the lower count", func() bool { return c.nodes["c"].Quarantined(start, poison) })
	is.True(c.nodes["a"].Quarantined(start, poison))
}

// TestConcurrentCrashesAreAdded checks that crashes that several nodes recognise before they have heard of each other's
// are all counted.
func TestConcurrentCrashesAreAdded(t *testing.T) {
	c := newCluster(t)
	for address, n := range c.nodes {
		n.RecordCrash(start, backendProcess(address), []uint64{poison})
	}
	for address, n := range c.nodes {
		eventually(t, "refused at "+address, func() bool { return n.Quarantined(start, poison) })
	}
}

// TestReportsOvertakeEachOther checks that a crash counts once however often it is reported, and that a late report of
// a crash doesn't count again after the request completed.
func TestReportsOvertakeEachOther(t *testing.T) {
	is := is.New(t)
	s := newCluster(t).nodes["a"]
	for _, n := range []int{2, 1, 2, 2} {
		s.Merge(start, crashReport(n, start))
		is.True(!s.Quarantined(start, poison))
	}
	s.Merge(start, crashReport(3, start))
	is.True(s.Quarantined(start, poison))
	s.Clear(start, poison)
	s.Merge(start, crashReport(3, start))
	is.True(!s.Quarantined(start, poison))
	s.Merge(start, crashReport(6, start))
	is.True(s.Quarantined(start, poison))
}

// TestTrials checks that one node admits a refused request on trial, once after each delay, and that the delay doubles
// with each further crash.
func TestTrials(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	crash := func(at time.Time, crashes int) {
		for _, n := range c.nodes {
			n.Merge(at, crashReport(crashes, at))
		}
	}
	trials := func(at time.Time) int {
		count := 0
		for range 3 {
			for _, n := range c.nodes {
				switch n.Admit(at, poison) {
				case crashtracker.Trial:
					count++
				case crashtracker.Quarantined:
				case crashtracker.Unsuspected:
					t.Errorf("not refused at %v", at)
				}
			}
		}
		return count
	}
	crash(start, 3)
	is.Equal(trials(start.Add(9*time.Second)), 0)
	is.Equal(trials(start.Add(11*time.Second)), 1)
	crash(start.Add(11*time.Second), 4)
	is.Equal(trials(start.Add(30*time.Second)), 0)
	is.Equal(trials(start.Add(32*time.Second)), 1)
	for _, n := range c.nodes {
		n.Clear(start.Add(32*time.Second), poison)
		is.Equal(n.Admit(start.Add(32*time.Second), poison), crashtracker.Unsuspected)
	}
}

// TestRestartedNodeRefuses checks that a node that has seen neither a crash nor a report, such as after its restart,
// learns which requests the others refuse, and which of them completed.
func TestRestartedNodeRefuses(t *testing.T) {
	c := newCluster(t)
	now := time.Now()
	c.nodes["a"].Merge(now, crashReport(3, start))
	eventually(t, "refused at the other nodes", func() bool {
		return c.nodes["b"].Quarantined(start, poison) && c.nodes["c"].Quarantined(start, poison)
	})
	c.nodes["c"].Clear(now, poison)
	eventually(t, "cleared at the first node", func() bool { return !c.nodes["a"].Quarantined(now, poison) })
}

// TestReportsDoNotProlongRefusals checks that a request is refused until a fixed time after its last crash, however late
// other nodes report it.
func TestReportsDoNotProlongRefusals(t *testing.T) {
	is := is.New(t)
	s := newCluster(t).nodes["a"]
	for _, after := range []time.Duration{0, 4 * time.Minute, 6 * time.Minute} {
		r := crashReport(3, start)
		r.SentAtMs = start.Add(after).UnixMilli()
		s.Merge(start.Add(after), r)
		is.Equal(s.Quarantined(start.Add(after), poison), after < 5*time.Minute)
	}
}

// TestRefusedAfterRestartOfAllNodes checks that one node publishes a refused request, that nodes which start with only
// what is published refuse it, and that it is no longer published once it completed.
func TestRefusedAfterRestartOfAllNodes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.nodes["a"].Merge(start, crashReport(3, start))
	eventually(t, "published", func() bool { return len(c.stored()) == 1 })
	publishers := 0
	c.mu.Lock()
	for _, refused := range c.published {
		publishers += len(refused)
	}
	c.mu.Unlock()
	is.Equal(publishers, 1)
	for after, refused := range map[time.Duration]bool{
		time.Minute:     true,
		6 * time.Minute: false,
	} {
		n := newCluster(t).nodes["b"]
		n.Merge(start.Add(after), crashtracker.CrashReport{
			Requests: c.stored(),
		})
		is.Equal(n.Quarantined(start.Add(after), poison), refused)
	}
	eventually(t, "known at the node that completes it", func() bool { return c.nodes["b"].Quarantined(start, poison) })
	c.nodes["b"].Clear(start, poison)
	eventually(t, "no longer published", func() bool { return len(c.stored()) == 0 })
}

// TestCrashIsReportedAtOnce checks that the other nodes learn of a crash before its node can be killed, not a batch later.
func TestCrashIsReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		synctest.Wait()
		c.nodes["a"].RecordCrash(start, backendProcess("a"), []uint64{poison})
		synctest.Wait() // no time passes
		is.True(!c.nodes["b"].Empty())
		is.True(!c.nodes["c"].Empty())
	})
}
