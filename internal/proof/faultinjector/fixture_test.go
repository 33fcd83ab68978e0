package faultinjector_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/measure/launcher"
	"github.com/chivegauge/chivegauge/internal/measure/loadgenerator"
	"github.com/chivegauge/chivegauge/internal/proof/faultinjector"
	"github.com/chivegauge/chivegauge/internal/proof/replayer"
	"github.com/chivegauge/chivegauge/internal/proof/seeder"
	"github.com/matryer/is"
)

func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m))
}

const (
	// fastMembership detects failed nodes sooner than the default settings.
	fastMembership = `Membership: {HeartbeatMs: 100, TimeoutMs: 200, SuspectMs: 800, SilenceMs: 250}
LogLevel: info`
	serviceMs     = 10
	deadlineMs    = 3000
	crashMarker   = "request that kills"
	traceMaxBytes = 4 << 20
)

// fixture is a fleet with one workspace and two services, booking and dispatch, of which booking can call dispatch.
type fixture struct {
	*launcher.Fleet
	t       *testing.T
	is      *is.I
	journal string
	traces  string
	relays  map[string]*faultinjector.Relay
}

// layout describes the fleet to start: the number of instances of each service, whether the nodes connect through
// relays, whether booking makes nested calls to dispatch, and additional settings.
type layout struct {
	booking  int
	dispatch int
	relayed  bool
	nested   bool
	backend  []string
	policy   string
	peerTLS  string
}

func start(t *testing.T, l layout) *fixture {
	t.Helper()
	is := is.New(t)
	f, err := launcher.New(fastMembership + "\n" + l.policy)
	is.NoErr(err)
	x := &fixture{
		Fleet:   f,
		t:       t,
		is:      is,
		journal: filepath.Join(t.TempDir(), "journal"),
		traces:  traceDir(t),
		relays:  map[string]*faultinjector.Relay{},
	}
	t.Cleanup(x.stop)
	for n := range l.booking {
		spec := x.spec("booking", n, l)
		if l.nested {
			spec.Nested = []string{"/assignments"}
		}
		x.add(spec, l.relayed)
	}
	for n := range l.dispatch {
		x.add(x.spec("dispatch", n, l), l.relayed)
	}
	x.is.NoErr(f.Apply(f.Instances[0],
		launcher.SetRoute(x.route("deposits", "booking", false)),
		launcher.SetRoute(x.route("lookups", "booking", true)),
		launcher.SetRoute(x.route("assignments", "dispatch", true)),
		launcher.SetWorkspace("golf", 400, 100),
		launcher.GiveKey("golf", "golf1"),
	))
	x.is.NoErr(f.WaitReady(len(f.Instances)))
	x.is.NoErr(f.WaitBalanced())
	return x
}

// traceDir returns the directory for the traces of the nodes: that of CHIVEGAUGE_TRACES, or else a temporary one.
func traceDir(t *testing.T) string {
	if dir := os.Getenv("CHIVEGAUGE_TRACES"); dir != "" {
		return dir
	}
	return t.TempDir()
}

// replay replays the trace of each node and fails the test if a decision differs or a guarantee is broken.
func (x *fixture) replay() {
	x.t.Helper()
	files, err := filepath.Glob(filepath.Join(x.traces, x.traceName("*")))
	x.is.NoErr(err)
	events := 0
	for _, name := range files {
		f, err := os.Open(name)
		x.is.NoErr(err)
		result, err := replayer.Replay(f)
		x.is.NoErr(f.Close())
		x.is.NoErr(err)
		events += result.Events
		for _, fault := range result.Faults {
			x.t.Errorf("trace %s: %s", name, fault)
		}
	}
	x.t.Logf("%d recorded decisions of %d nodes replayed", events, len(files))
}

func (x *fixture) traceName(instance string) string {
	return strings.ReplaceAll(x.t.Name(), "/", "-") + "-" + instance + ".jsonl"
}

func (x *fixture) stop() {
	for _, s := range x.Instances {
		s.Node.Kill()
	}
	x.replay()
	keep := x.t.Failed()
	if keep {
		x.t.Logf("log in %s", x.LogFile())
	}
	x.Close(keep)
	for _, r := range x.relays {
		r.Close()
	}
}

func (x *fixture) spec(service string, n int, l layout) launcher.InstanceSpec {
	return launcher.InstanceSpec{
		Service:   service,
		Zone:      []string{"sw-1", "sw-2", "sw-3"}[n%3],
		Region:    "sw",
		Slots:     20,
		ServiceMs: serviceMs,
		PeerTLS:   l.peerTLS,
		Args:      append([]string{"--journal", x.journal + "-" + service}, l.backend...),
		Settings:  fmt.Sprintf("Trace: {File: %q, MaxBytes: %d}", filepath.Join(x.traces, x.traceName(service+strconv.Itoa(n))), traceMaxBytes),
	}
}

func (x *fixture) add(spec launcher.InstanceSpec, relayed bool) *launcher.Instance {
	if relayed {
		listen, err := launcher.FreeAddress()
		x.is.NoErr(err)
		r, err := faultinjector.NewRelay(listen)
		x.is.NoErr(err)
		spec.Listen = listen
		spec.Advertise = r.Address()
		x.relays[spec.Advertise] = r
	}
	s, err := x.Add(spec)
	x.is.NoErr(err)
	return s
}

func (x *fixture) route(name, service string, idempotent bool) chivegauge.Route {
	return chivegauge.Route{
		Name:       name,
		Method:     "POST",
		Prefix:     "/" + name,
		Service:    service,
		Importance: chivegauge.Normal,
		Idempotent: idempotent,
		DeadlineMs: deadlineMs,
	}
}

// stream returns a stream of requests a second to the path, through the caller listeners of the instances, or of all
// instances if none are given.
func (x *fixture) stream(path string, rate float64, instances ...*launcher.Instance) loadgenerator.Stream {
	if len(instances) == 0 {
		instances = x.Instances
	}
	targets := make([]string, 0, len(instances))
	for _, s := range instances {
		targets = append(targets, s.Caller)
	}
	return loadgenerator.Stream{
		Name:    strings.Trim(path, "/"),
		Key:     launcher.Key("golf1"),
		Method:  "POST",
		Path:    path,
		Targets: targets,
		Rate:    func(time.Duration) float64 { return rate },
		Timeout: (deadlineMs + 2000) * time.Millisecond,
	}
}

// load sends the streams for the given length while it runs the steps one after another; a pause precedes each step.
func (x *fixture) load(length, pause time.Duration, steps []func(), streams ...loadgenerator.Stream) []loadgenerator.Outcome {
	done := make(chan struct{})
	timer := time.AfterFunc(pause, func() {
		defer close(done)
		for _, step := range steps {
			step()
			time.Sleep(pause)
		}
	})
	defer timer.Stop()
	list := loadgenerator.New(1).Run(context.Background(), length, streams)
	<-done
	return list
}

// runs returns how often each request ran on the backend servers of a service, including those that crashed.
func (x *fixture) runs(service string) map[string]int {
	b, err := os.ReadFile(x.journal + "-" + service)
	if os.IsNotExist(err) {
		return nil
	}
	x.is.NoErr(err)
	counts := map[string]int{}
	for id := range strings.Lines(string(b)) {
		counts[strings.TrimSpace(id)]++
	}
	return counts
}

// checkNoDuplicates fails the test if a deposit ran more than once.
func (x *fixture) checkNoDuplicates() {
	x.t.Helper()
	for id, n := range x.runs("booking") {
		if n > 1 && strings.HasPrefix(id, "deposits") {
			x.t.Errorf("request %s ran %d times", id, n)
		}
	}
}

// checkNotRun fails the test if a request ran although its response said NotRun; it skips requests that were sent
// again, of which an earlier sending may have run.
func (x *fixture) checkNotRun(list []loadgenerator.Outcome) {
	x.t.Helper()
	for _, service := range []string{"booking", "dispatch"} {
		ran := x.runs(service)
		for _, o := range list {
			if o.Run == string(chivegauge.NotRun) && ran[o.ID] > 0 && o.Sends == 1 {
				x.t.Errorf("request %s ran in %s, but the response was %s, not run", o.ID, service, o.Code)
			}
		}
	}
}

// tally counts the outcomes by code and run state.
func tally(list []loadgenerator.Outcome) map[string]int {
	m := map[string]int{}
	for _, o := range list {
		if o.Complete {
			m["Whole"]++
			continue
		}
		m[o.Code+" "+o.Run]++
	}
	return m
}

// checkInvariants fails the test if a running node counted a violation of an invariant.
func (x *fixture) checkInvariants() {
	x.t.Helper()
	for _, s := range x.Instances {
		if s.Node.Ended() {
			continue
		}
		if n, err := x.Metric(s, "chivegauge_invariant_violations_total"); err == nil && n > 0 {
			x.t.Errorf("node %s counted %g violations", s.Peer, n)
		}
	}
}

// checkAllComplete fails the test unless each request got a complete response.
func (x *fixture) checkAllComplete(list []loadgenerator.Outcome) {
	x.t.Helper()
	x.t.Logf("%v", tally(list))
	for _, o := range list {
		if !o.Complete {
			x.t.Errorf("request %s at %s: %s %s %s", o.ID, o.Intended, o.Code, o.Run, o.Reason)
		}
	}
}
