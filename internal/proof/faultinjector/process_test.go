package faultinjector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/measure/launcher"
	"github.com/chivegauge/chivegauge/internal/measure/loadgenerator"
)

// TestKillEachProcess kills and restarts each process of a fleet in turn; 90% of the idempotent requests must succeed.
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
	for n, s := range x.Instances {
		kills[fmt.Sprintf("backend server %d", n)] = func() {
			s.Backend.Kill()
			time.Sleep(300 * time.Millisecond)
			x.is.NoErr(x.StartBackend(s))
		}
	}
	for name, kill := range kills {
		list := x.load(2*time.Second, 700*time.Millisecond, []func(){kill}, x.stream("/lookups", 40))
		t.Logf("%s: %v", name, tally(list))
		x.checkMostlyComplete(list, 0.9)
	}
	for n, s := range x.Instances {
		others := make([]*launcher.Instance, 0, len(x.Instances))
		for _, other := range x.Instances {
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
		x.checkMostlyComplete(list, 0.9)
	}
	x.checkInvariants()
}

// checkMostlyComplete fails the test unless at least the given share (0 to 1) of the requests got complete responses.
func (x *fixture) checkMostlyComplete(list []loadgenerator.Outcome, share float64) {
	x.t.Helper()
	if complete := tally(list)["Whole"]; float64(complete) < share*float64(len(list)) {
		x.t.Errorf("%d of %d responses complete: %v", complete, len(list), tally(list))
	}
}

// TestDepositsUnderKills sends deposits with idempotency keys and client retries while nodes and backend servers are
// killed; no deposit may run twice, and each with a complete response must have run once.
func TestDepositsUnderKills(t *testing.T) {
	x := start(t, layout{
		booking:  3,
		dispatch: 2,
		nested:   true,
	})
	kill := func(p func(s *launcher.Instance) *launcher.Process, restart func(s *launcher.Instance) error, n int) func() {
		return func() {
			p(x.Instances[n]).Kill()
			time.Sleep(200 * time.Millisecond)
			x.is.NoErr(restart(x.Instances[n]))
		}
	}
	node := func(s *launcher.Instance) *launcher.Process { return s.Node }
	backend := func(s *launcher.Instance) *launcher.Process { return s.Backend }
	s := x.stream("/deposits", 60)
	s.Keyed = true
	s.Retries = 3
	list := x.load(8*time.Second, 1200*time.Millisecond, []func(){
		kill(backend, x.StartBackend, 0),
		kill(node, x.StartNode, 1),
		kill(backend, x.StartBackend, 3),
		kill(node, x.StartNode, 2),
	}, s)
	t.Logf("%v", tally(list))
	x.checkNoDuplicates()
	x.checkInvariants()
	for _, o := range list {
		if o.Complete && x.runs("booking")[o.ID] != 1 {
			t.Errorf("request %s has a complete response and %d runs", o.ID, x.runs("booking")[o.ID])
		}
	}
}

// TestPausedNode pauses a node for longer than each lease and timeout and resumes it; no deposit may run twice, and the
// workspace must not exceed its rate and burst.
func TestPausedNode(t *testing.T) {
	x := start(t, layout{booking: 3})
	victim := x.Instances[2]
	pause := func() { x.is.NoErr(victim.Node.Pause()) }
	resume := func() { x.is.NoErr(victim.Node.Resume()) }
	s := x.stream("/deposits", 60, x.Instances[0], x.Instances[1])
	s.Keyed = true
	s.Retries = 2
	flood := x.stream("/lookups", 1200, x.Instances[0], x.Instances[1])
	const length = 9 * time.Second
	list := x.load(length, 3*time.Second, []func(){pause, resume}, s, flood)
	t.Logf("%v", tally(list))
	x.checkNoDuplicates()
	x.checkInvariants()
	// Requests may be admitted from the start to the last response, at most at the rate of the workspace plus its
	// burst.
	allowed := 400*(length+deadlineMs*time.Millisecond).Seconds() + 100
	ran := 0
	for _, n := range x.runs("booking") {
		ran += n
	}
	x.is.True(float64(ran) <= allowed)
}

// TestRollingReplacement stops and replaces each instance in turn; no request may fail.
func TestRollingReplacement(t *testing.T) {
	x := start(t, layout{
		booking:  3,
		dispatch: 2,
		nested:   true,
	})
	entry := x.add(x.spec("entry", 0, layout{}), false)
	x.is.NoErr(x.WaitReady(len(x.Instances)))
	var steps []func()
	for _, s := range x.Instances {
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
	x.checkAllComplete(list)
	x.checkNoDuplicates()
	x.checkNotRun(list)
	x.checkInvariants()
}

// TestRequestThatKills sends a request that crashes each backend server that runs it, repeatedly and to different
// nodes; it may crash at most two backend servers, and no other request may be quarantined.
func TestRequestThatKills(t *testing.T) {
	x := start(t, layout{
		booking: 4,
		backend: []string{"--crash-marker", crashMarker},
	})
	crashes := 0
	sendCrashing := func() {
		for n := range 10 {
			code := x.send(x.Instances[n%4], "/lookups", crashMarker)
			t.Logf("crashing request %d: %s", n, code)
			time.Sleep(100 * time.Millisecond)
			for _, s := range x.Instances {
				if s.Backend.Ended() {
					crashes++
					x.is.NoErr(x.StartBackend(s))
				}
			}
		}
	}
	list := x.load(6*time.Second, 500*time.Millisecond, []func(){sendCrashing}, x.stream("/lookups", 60))
	t.Logf("%d crashes, %v", crashes, tally(list))
	x.is.True(crashes >= 1) // the request crashed a backend server
	x.is.True(crashes <= 2) // at most two backend servers of the service
	for _, o := range list {
		if o.Code == string(chivegauge.CodeQuarantined) {
			t.Errorf("request %s without the crash marker was refused as quarantined", o.ID)
		}
	}
	x.checkInvariants()
}
