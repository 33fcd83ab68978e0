package experimenter

import (
	"sort"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/measure/launcher"
	"github.com/chivegauge/chivegauge/internal/measure/loadgenerator"
	"github.com/chivegauge/chivegauge/internal/standin/backendserver"
	"github.com/go-faster/errors"
)

const (
	region      = "sw"
	settleTime  = 2 * time.Second
	msPerSecond = 1000
)

// Experimenter runs scenarios.
type Experimenter interface {
	// Run runs a scenario under a policy and returns its figures, or an error.
	Run(scenario, policy string, seed uint64) (Report, error)
}

type experimenter struct{}

// New returns an experimenter.
func New() Experimenter {
	return experimenter{}
}

// experiment is one run of a scenario.
type experiment struct {
	fleet  *launcher.Fleet
	seed   uint64
	report Report
}

type scenario func(x *experiment) error

var scenarios = map[string]scenario{
	"deep-slow":  deepSlow,
	"importance": importance,
	"unfair":     unfair,
	"added":      added,
	"greedy":     greedy,
	"moving":     moving,
	"nine-deep":  nineDeep,
	"change":     change,
}

// Scenarios returns the names of the scenarios.
func Scenarios() []string {
	names := make([]string, 0, len(scenarios))
	for name := range scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Run runs a scenario under a policy.
func (experimenter) Run(name, policy string, seed uint64) (Report, error) {
	run, ok := scenarios[name]
	if !ok {
		return Report{}, errors.Errorf("scenario %q is unknown", name)
	}
	settings, err := settingsOf(policy)
	if err != nil {
		return Report{}, err
	}
	f, err := launcher.New(settings)
	if err != nil {
		return Report{}, err
	}
	x := &experiment{
		fleet: f,
		seed:  seed,
		report: Report{
			Scenario: name,
			Policy:   policy,
			Seed:     seed,
		},
	}
	if err := run(x); err != nil {
		f.Close(true)
		return x.report, errors.Wrapf(err, "%s (log in %s)", name, f.LogFile())
	}
	f.Close(false)
	return x.report, nil
}

// service describes the backend servers of one service.
type service struct {
	name      string
	count     int
	slots     int
	serviceMs float64
	nested    []string
	args      []string
	settings  string
}

// start adds the services, with their backend servers spread over four availability zones.
func (x *experiment) start(services ...service) error {
	zones := []string{"sw-1", "sw-2", "sw-3", "sw-4"}
	for _, s := range services {
		for n := range s.count {
			spec := launcher.InstanceSpec{
				Service:   s.name,
				Zone:      zones[n%len(zones)],
				Region:    region,
				Slots:     s.slots,
				ServiceMs: s.serviceMs,
				Nested:    s.nested,
				Args:      s.args,
				Settings:  s.settings,
			}
			if _, err := x.fleet.Add(spec); err != nil {
				return err
			}
		}
	}
	return nil
}

// ready waits until each node lists all members, the rate slots are balanced and the configuration has had time to
// become active on each node.
func (x *experiment) ready() error {
	if err := x.fleet.WaitReady(len(x.fleet.Instances)); err != nil {
		return err
	}
	if err := x.fleet.WaitBalanced(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

func (x *experiment) instancesOf(name string) []*launcher.Instance {
	var list []*launcher.Instance
	for _, s := range x.fleet.Instances {
		if s.Spec.Service == name {
			list = append(list, s)
		}
	}
	return list
}

func callers(instances []*launcher.Instance) []string {
	list := make([]string, 0, len(instances))
	for _, s := range instances {
		list = append(list, s.Caller)
	}
	return list
}

func route(name, service string, i chivegauge.Importance, deadline time.Duration) chivegauge.Route {
	return chivegauge.Route{
		Name:       name,
		Method:     "POST",
		Prefix:     "/" + name,
		Service:    service,
		Importance: i,
		DeadlineMs: int(deadline.Milliseconds()),
	}
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// configure sets the behaviour of the backend servers of a service to the result of cfg for base.
func (x *experiment) configure(name string, cfg func(c backendserver.Config) backendserver.Config, base backendserver.Config) error {
	for _, s := range x.instancesOf(name) {
		if err := x.fleet.PostJSON("http://"+s.Address+"/standin/config", cfg(base)); err != nil {
			return err
		}
	}
	return nil
}

// reportRuns reports how many of the runs that the running backend servers counted were repeated, and the fraction of
// them that contributed to no complete response.
func (x *experiment) reportRuns(outcomes []loadgenerator.Outcome) error {
	complete := map[string]bool{}
	for _, o := range outcomes {
		complete[o.ID] = complete[o.ID] || o.Complete
	}
	total := 0
	useful := 0
	counted := map[string]map[string]bool{}
	for _, s := range x.fleet.Instances {
		if s.Backend.Ended() {
			continue
		}
		r := backendserver.Report{}
		if err := x.fleet.GetJSON("http://"+s.Address+"/standin/report?requests=1", &r); err != nil {
			return err
		}
		seen := counted[s.Spec.Service]
		if seen == nil {
			seen = map[string]bool{}
			counted[s.Spec.Service] = seen
		}
		for id, n := range r.ByRequest {
			total += n
			if seen[id] {
				x.report.DoubledRuns += n
				continue
			}
			x.report.DoubledRuns += n - 1
			seen[id] = true
			if complete[id] {
				useful++
			}
		}
	}
	if total > 0 {
		x.report.WastedRuns = 1 - float64(useful)/float64(total)
	}
	return x.reportAttempts()
}

// reportAttempts reports the attempts per request from the counters of the running nodes.
func (x *experiment) reportAttempts() error {
	first := 0.0
	retries := 0.0
	for _, s := range x.fleet.Instances {
		if s.Node.Ended() {
			continue
		}
		f, err := x.fleet.Metric(s, "chivegauge_attempts_first")
		if err != nil {
			return err
		}
		r, err := x.fleet.Metric(s, "chivegauge_attempts_extra")
		if err != nil {
			return err
		}
		first += f
		retries += r
	}
	x.report.AttemptsPerRequest = (first + retries) / max(1, first)
	return nil
}
