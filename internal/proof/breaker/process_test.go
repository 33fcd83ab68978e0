package breaker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/measure/driver"
	"github.com/chivegauge/chivegauge/internal/measure/launcher"
)

// TestKillEachProcess kills each process of a fleet in turn and starts it again; idempotent requests go on.
func TestKillEachProcess(t *testing.T) {
	x := start(t, layout{
		booking:  2,
		dispatch: 2,
		nested:   true,
	})
	kills := map[string]func(){
		"store": func() {
			x.Store.Kill()
			x.is.NoErr(x.StartStore())
		},
	}
	for n, s := range x.Sites {
		kills[fmt.Sprintf("backend server %d", n)] = func() {
			s.Backend.Kill()
			time.Sleep(300 * time.Millisecond)
			x.is.NoErr(x.StartBackend(s))
		}
	}
	for name, kill := range kills {
		list := x.load(2*time.Second, 700*time.Millisecond, []func(){kill}, x.stream("/lookups", 40))
		t.Logf("%s: %v", name, tally(list))
		x.mostlyWhole(list, 0.9)
	}
	for n, s := range x.Sites {
		others := make([]*launcher.Site, 0, len(x.Sites))
		for _, other := range x.Sites {
			if other != s {
				others = append(others, other)
			}
		}
		kill := func() {
			s.Node.Kill()
			time.Sleep(300 * time.Millisecond)
			x.is.NoErr(x.StartNode(s))
		}
		list := x.load(3*time.Second, 700*time.Millisecond, []func(){kill}, x.stream("/lookups", 40, others...))
		t.Logf("node %d: %v", n, tally(list))
		x.mostlyWhole(list, 0.9)
	}
	x.sound()
}

// mostlyWhole fails the test unless the given share of the requests got whole answers.
func (x *fixture) mostlyWhole(list []driver.Outcome, share float64) {
	x.t.Helper()
	if whole := tally(list)["Whole"]; float64(whole) < share*float64(len(list)) {
		x.t.Errorf("%d of %d whole answers: %v", whole, len(list), tally(list))
	}
}

// TestDepositsUnderKills sends keyed deposits, each again after a failure, while nodes and backend servers are killed.
func TestDepositsUnderKills(t *testing.T) {
	x := start(t, layout{
		booking:  3,
		dispatch: 2,
		nested:   true,
	})
	kill := func(p func(s *launcher.Site) *launcher.Process, again func(s *launcher.Site) error, n int) func() {
		return func() {
			p(x.Sites[n]).Kill()
			time.Sleep(200 * time.Millisecond)
			x.is.NoErr(again(x.Sites[n]))
		}
	}
	node := func(s *launcher.Site) *launcher.Process { return s.Node }
	backend := func(s *launcher.Site) *launcher.Process { return s.Backend }
	s := x.stream("/deposits", 60)
	s.Keyed = true
	s.Resends = 3
	list := x.load(8*time.Second, 1200*time.Millisecond, []func(){
		kill(backend, x.StartBackend, 0),
		kill(node, x.StartNode, 1),
		kill(backend, x.StartBackend, 3),
		kill(node, x.StartNode, 2),
	}, s)
	t.Logf("%v", tally(list))
	x.noneDoubled()
	x.sound()
	for _, o := range list {
		if o.Whole && x.runs("booking")[o.ID] != 1 {
			t.Errorf("request %s has a whole answer and %d runs", o.ID, x.runs("booking")[o.ID])
		}
	}
}

// TestPausedNode pauses a node for longer than each lease and timeout, then lets it run on.
func TestPausedNode(t *testing.T) {
	x := start(t, layout{booking: 3})
	victim := x.Sites[2]
	pause := func() { x.is.NoErr(victim.Node.Pause()) }
	resume := func() { x.is.NoErr(victim.Node.Resume()) }
	s := x.stream("/deposits", 60, x.Sites[0], x.Sites[1])
	s.Keyed = true
	s.Resends = 2
	flood := x.stream("/lookups", 1200, x.Sites[0], x.Sites[1])
	const length = 9 * time.Second
	list := x.load(length, 3*time.Second, []func(){pause, resume}, s, flood)
	t.Logf("%v", tally(list))
	x.noneDoubled()
	x.sound()
	// A workspace never gets more than its rate and burst; requests were admitted from the start to the last answer.
	allowed := 400*(length+deadlineMs*time.Millisecond).Seconds() + 100
	ran := 0
	for _, n := range x.runs("booking") {
		ran += n
	}
	x.is.True(float64(ran) <= allowed)
}

// TestRollingReplacement stops and replaces each instance in turn; no request is cut.
func TestRollingReplacement(t *testing.T) {
	x := start(t, layout{
		booking:  3,
		dispatch: 2,
		nested:   true,
	})
	entry := x.add(x.spec("entry", 0, layout{}), false)
	x.is.NoErr(x.WaitReady(len(x.Sites)))
	var steps []func()
	for _, s := range x.Sites {
		if s == entry {
			continue
		}
		steps = append(steps, func() {
			x.is.NoErr(s.Node.Stop())
			s.Backend.Kill()
			x.is.NoErr(x.StartBackend(s))
			x.is.NoErr(x.StartNode(s))
		})
	}
	s := x.stream("/deposits", 60, entry)
	s.Keyed = true
	list := x.load(18*time.Second, 1200*time.Millisecond, steps, s)
	x.allWhole(list)
	x.noneDoubled()
	x.honest(list)
	x.sound()
}

// TestRequestThatKills sends a request that kills each backend server that runs it, again and again to other nodes.
func TestRequestThatKills(t *testing.T) {
	x := start(t, layout{
		booking: 4,
		backend: []string{"--crash-marker", marker},
	})
	deaths := 0
	attack := func() {
		for n := range 10 {
			code := x.send(x.Sites[n%4], "/lookups", marker)
			t.Logf("attack %d: %s", n, code)
			time.Sleep(100 * time.Millisecond)
			for _, s := range x.Sites {
				if s.Backend.Ended() {
					deaths++
					x.is.NoErr(x.StartBackend(s))
				}
			}
		}
	}
	list := x.load(6*time.Second, 500*time.Millisecond, []func(){attack}, x.stream("/lookups", 60))
	t.Logf("%d deaths, %v", deaths, tally(list))
	x.is.True(deaths >= 1) // the request did kill
	x.is.True(deaths <= 2) // at most two backend servers of the service
	for _, o := range list {
		if o.Code == string(chivegauge.CodeQuarantined) {
			t.Errorf("innocent request %s was refused", o.ID)
		}
	}
	x.sound()
}
