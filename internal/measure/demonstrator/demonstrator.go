package demonstrator

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/measure/launcher"
	"github.com/chivegauge/chivegauge/internal/measure/loadgenerator"
	"github.com/chivegauge/chivegauge/internal/standin/backendserver"
	"github.com/go-faster/errors"
)

const (
	// trafficRate is in requests a second for each key.
	trafficRate = 60
	trafficTime = 3 * time.Second
	seed        = 1
	deadlineMs  = 2000
	serviceMs   = 5
	slots       = 20
)

type step struct {
	name string
	run  func(d *demo) (string, error)
}

type demo struct {
	fleet *launcher.Fleet
}

// Run runs the steps until the first failure, writes a table of their results to out and reports whether all results
// were as expected; it returns an error that names the log if a result was not.
func Run(out io.Writer) (bool, error) {
	f, err := launcher.New("")
	if err != nil {
		return false, err
	}
	d := &demo{
		fleet: f,
	}
	ok := d.runSteps(out)
	f.Close(!ok)
	if !ok {
		return false, errors.Errorf("the log is in %s", f.LogFile())
	}
	return true, nil
}

func (d *demo) runSteps(out io.Writer) bool {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	_, _ = fmt.Fprintln(w, "STEP\tRESULT\tSHOWED")
	for _, s := range []step{
		{"start", (*demo).start},
		{"traffic with nested calls", (*demo).traffic},
		{"requests without a right key", (*demo).unknownKey},
		{"withdraw a key", (*demo).withdraw},
		{"drain a backend server", (*demo).drain},
		{"planned stop under load", (*demo).plannedStop},
		{"store outage", (*demo).outage},
		{"invariants", (*demo).invariants},
	} {
		summary, err := s.run(d)
		if err != nil {
			_, _ = fmt.Fprintf(w, "%s\tWRONG\t%s %v\n", s.name, summary, err)
			return false
		}
		_, _ = fmt.Fprintf(w, "%s\tright\t%s\n", s.name, summary)
	}
	return true
}

func (d *demo) start() (string, error) {
	for _, service := range []string{"booking", "dispatch"} {
		for _, zone := range []string{"sw-1", "sw-2"} {
			spec := launcher.InstanceSpec{
				Service:   service,
				Zone:      zone,
				Region:    "sw",
				Slots:     slots,
				ServiceMs: serviceMs,
			}
			if service == "booking" {
				spec.Nested = []string{"/assignments"}
			}
			if _, err := d.fleet.Add(spec); err != nil {
				return "", err
			}
		}
	}
	if err := d.fleet.Apply(d.fleet.Instances[0],
		launcher.SetRoute(route("bookings", "/bookings", "booking", chivegauge.High, false)),
		launcher.SetRoute(route("assignments", "/assignments", "dispatch", chivegauge.Normal, true)),
		launcher.SetWorkspace("golf", 500, 100),
		launcher.SetWorkspace("estate", 500, 100),
		launcher.GiveKey("golf", "golf1"),
		launcher.GiveKey("estate", "estate1"),
	); err != nil {
		return "", err
	}
	if err := d.fleet.WaitReady(len(d.fleet.Instances)); err != nil {
		return "", err
	}
	return "a store, 4 backend servers with their nodes, 2 services, 2 availability zones", nil
}

func route(name, prefix, service string, i chivegauge.Importance, internal bool) chivegauge.Route {
	return chivegauge.Route{
		Name:       name,
		Method:     "POST",
		Prefix:     prefix,
		Service:    service,
		Importance: i,
		Internal:   internal,
		DeadlineMs: deadlineMs,
	}
}

func (d *demo) stream(key string) loadgenerator.Stream {
	targets := make([]string, 0, len(d.fleet.Instances))
	for _, s := range d.fleet.Instances {
		if !s.Node.Ended() {
			targets = append(targets, s.Caller)
		}
	}
	return loadgenerator.Stream{
		Name:    key,
		Key:     launcher.Key(key),
		Method:  "POST",
		Path:    "/bookings/1",
		Targets: targets,
		Rate:    func(time.Duration) float64 { return trafficRate },
		Timeout: deadlineMs * time.Millisecond,
	}
}

// load sends traffic with each of the keys and returns the outcomes.
func (d *demo) load(length time.Duration, keys ...string) []loadgenerator.Outcome {
	streams := make([]loadgenerator.Stream, 0, len(keys))
	for _, k := range keys {
		streams = append(streams, d.stream(k))
	}
	return loadgenerator.New(seed).Run(context.Background(), length, streams)
}

// checkComplete returns a summary of the outcomes, or an error unless each request got a complete response.
func checkComplete(list []loadgenerator.Outcome) (string, error) {
	for _, o := range list {
		if !o.Complete {
			return "", errors.Errorf("request %s ended with %s (%s)", o.ID, o.Code, o.Run)
		}
	}
	return fmt.Sprintf("%d of %d whole answers", len(list), len(list)), nil
}

func (d *demo) traffic() (string, error) {
	summary, err := checkComplete(d.load(trafficTime, "golf1", "estate1"))
	if err != nil {
		return "", err
	}
	runs := 0
	for _, s := range d.fleet.Instances {
		r := backendserver.Report{}
		if err := d.fleet.GetJSON("http://"+s.Address+"/standin/report", &r); err != nil {
			return "", err
		}
		if r.KeysSeen > 0 || r.Doubled > 0 {
			return "", errors.Errorf("backend server %s saw %d keys and %d doubled runs", s.Address, r.KeysSeen, r.Doubled)
		}
		runs += r.Finished
	}
	return fmt.Sprintf("%s, %d runs, no run doubled, no key seen by a backend server", summary, runs), nil
}

func (d *demo) unknownKey() (string, error) {
	list := d.load(time.Second, "nobody")
	for _, o := range list {
		if o.Code != string(chivegauge.CodeKeyUnknown) || o.Run != string(chivegauge.NotRun) {
			return "", errors.Errorf("request %s ended with %s (%s)", o.ID, o.Code, o.Run)
		}
	}
	return fmt.Sprintf("%d of %d refused as not run", len(list), len(list)), nil
}

func (d *demo) withdraw() (string, error) {
	if err := d.fleet.Apply(d.fleet.Instances[1], launcher.GiveKey("golf", "golf2")); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	if _, err := checkComplete(d.load(time.Second, "golf2")); err != nil {
		return "", err
	}
	if err := d.fleet.Apply(d.fleet.Instances[2], launcher.WithdrawKey("golf", "golf2")); err != nil {
		return "", err
	}
	last := time.Duration(0)
	for _, o := range d.load(trafficTime, "golf2") {
		if o.Complete {
			last = max(last, o.Intended)
		}
	}
	if last > 2*time.Second {
		return "", errors.Errorf("the key still worked after %s", last)
	}
	return fmt.Sprintf("a new key worked; withdrawn, its last answer came %d ms later", last.Milliseconds()), nil
}

func (d *demo) drain() (string, error) {
	instance := d.fleet.Instances[0]
	if err := d.fleet.Apply(d.fleet.Instances[3], leaveIntent(instance)); err != nil {
		return "", err
	}
	summary, err := checkComplete(d.load(trafficTime, "golf1"))
	if err != nil {
		return "", err
	}
	before, err := d.runs(instance)
	if err != nil {
		return "", err
	}
	if _, err := checkComplete(d.load(time.Second, "golf1")); err != nil {
		return "", err
	}
	after, err := d.runs(instance)
	if err != nil {
		return "", err
	}
	if after != before {
		return "", errors.Errorf("the leaving backend server got %d new runs", after-before)
	}
	return summary + ", then no new work for the leaving backend server", d.fleet.Apply(d.fleet.Instances[3], returnIntent(instance))
}

func (d *demo) runs(s *launcher.Instance) (int, error) {
	r := backendserver.Report{}
	return r.Runs, d.fleet.GetJSON("http://"+s.Address+"/standin/report", &r)
}

func (d *demo) plannedStop() (string, error) {
	time.Sleep(2 * time.Second)
	instance := d.fleet.Instances[1]
	others := d.stream("estate1")
	others.Targets = []string{d.fleet.Instances[0].Caller, d.fleet.Instances[2].Caller, d.fleet.Instances[3].Caller}
	stopped := make(chan error, 1)
	timer := time.AfterFunc(time.Second, func() { stopped <- instance.Node.Stop() })
	defer timer.Stop()
	summary, err := checkComplete(loadgenerator.New(seed).Run(context.Background(), 2*trafficTime, []loadgenerator.Stream{others}))
	if err != nil {
		return "", err
	}
	if err := <-stopped; err != nil {
		return "", errors.Wrap(err, "stop node")
	}
	return summary + " while a node stopped", d.fleet.StartNode(instance)
}

func (d *demo) outage() (string, error) {
	if err := d.fleet.WaitReady(len(d.fleet.Instances)); err != nil {
		return "", err
	}
	if err := d.fleet.SetFault(map[string]bool{"Down": true}); err != nil {
		return "", err
	}
	summary, err := checkComplete(d.load(trafficTime, "golf1", "estate1"))
	if err != nil {
		return "", err
	}
	return summary + " without a store", d.fleet.SetFault(map[string]bool{})
}

func (d *demo) invariants() (string, error) {
	st, err := d.fleet.Status(d.fleet.Instances[0])
	if err != nil {
		return "", err
	}
	if st.Violations > 0 || len(st.Lagging) > 0 {
		return "", errors.Errorf("%d violations, %d members lag", st.Violations, len(st.Lagging))
	}
	return fmt.Sprintf("no violation at %d members, revision %d everywhere", len(st.Members), st.Revision), nil
}
