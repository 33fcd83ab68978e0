package experimenter

import (
	"context"
	"fmt"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/measure/launcher"
	"github.com/chivegauge/chivegauge/internal/measure/loadgenerator"
	"github.com/chivegauge/chivegauge/internal/standin/backendserver"
	"golang.org/x/sync/errgroup"
)

const (
	normalTime    = 8 * time.Second
	overloadTime  = 10 * time.Second
	recoveryTime  = 10 * time.Second
	deepRate      = 120.0
	deepSlots     = 8
	deepServiceMs = 40
	slowFactor    = 5
	deepCount     = 2
	deepDeadline  = 2 * time.Second
	clientRetries = 5
)

// chain returns services of which each calls the next, with the given slots and service time, followed by last.
func chain(names []string, slots int, serviceMs float64, last service) []service {
	list := make([]service, 0, len(names)+1)
	for n, name := range names {
		next := last.name
		if n+1 < len(names) {
			next = names[n+1]
		}
		list = append(list, service{
			name:      name,
			count:     deepCount,
			slots:     slots,
			serviceMs: serviceMs,
			nested:    []string{"/" + next},
		})
	}
	return append(list, last)
}

// startChain starts a chain of services with a route for each and one workspace whose rate is above the load.
func (x *experiment) startChain(services []service, deadline time.Duration) error {
	if err := x.start(services...); err != nil {
		return err
	}
	first := x.fleet.Instances[0]
	if err := x.fleet.Apply(first, launcher.SetWorkspace("golf", 10000, 2000), launcher.GiveKey("golf", "golf1")); err != nil {
		return err
	}
	for _, s := range services {
		if err := x.fleet.Apply(first, launcher.SetRoute(route(s.name, s.name, chivegauge.Normal, deadline))); err != nil {
			return err
		}
	}
	return x.ready()
}

// deepSlow makes the deepest of four services five times slower while the load doubles and clients retry without delay.
func deepSlow(x *experiment) error {
	last := service{
		name:      "dispatch",
		count:     deepCount,
		slots:     deepSlots,
		serviceMs: deepServiceMs,
	}
	if err := x.startChain(chain([]string{"lookup", "booking", "haulage"}, 100, 4, last), deepDeadline); err != nil {
		return err
	}
	end := normalTime + overloadTime
	total := end + recoveryTime
	stream := loadgenerator.Stream{
		Name:    "golf",
		Key:     launcher.Key("golf1"),
		Method:  "POST",
		Path:    "/lookup",
		Targets: callers(x.instancesOf("lookup")),
		Rate: func(t time.Duration) float64 {
			if t >= normalTime && t < end {
				return 2 * deepRate
			}
			return deepRate
		},
		Retries: clientRetries,
		Timeout: deepDeadline + time.Second,
		Keyed:   true,
	}
	var list []loadgenerator.Outcome
	group := errgroup.Group{}
	group.Go(func() error {
		time.Sleep(normalTime)
		if err := x.slow("dispatch", last, slowFactor); err != nil {
			return err
		}
		time.Sleep(overloadTime)
		return x.slow("dispatch", last, 1)
	})
	list = loadgenerator.New(x.seed).Run(context.Background(), total, []loadgenerator.Stream{stream})
	if err := group.Wait(); err != nil {
		return err
	}
	x.reportOverload(list, end, total)
	return x.reportRuns(list)
}

// slow sets the service time of a service to factor times that of s.
func (x *experiment) slow(name string, s service, factor float64) error {
	set := func(c backendserver.Config) backendserver.Config {
		c.ServiceMs *= factor
		return c
	}
	return x.configure(name, set, backendserver.Config{
		Slots:       s.slots,
		ServiceMs:   s.serviceMs,
		JitterShare: 0.2,
		EchoesToken: true,
	})
}

func (x *experiment) reportOverload(list []loadgenerator.Outcome, end, total time.Duration) {
	before := between(list, normalTime/2, normalTime)
	during := between(list, normalTime, end)
	share := float64(completeCount(before)) / float64(max(1, len(before)))
	x.report.OfferedPerSecond = perSecond(len(during), overloadTime)
	x.report.GoodputPerSecond = perSecond(completeCount(during), overloadTime)
	capacity := float64(deepCount*deepSlots) * msPerSecond / (deepServiceMs * slowFactor)
	x.report.PossibleGoodputPerSecond = min(capacity, 2*deepRate)
	x.report.RecoverySeconds = recovery(list, share, end, total)
	x.report.Notes = append(x.report.Notes,
		fmt.Sprintf("before: %.3f whole of %d", share, len(before)),
		fmt.Sprintf("during: %v", codes(during)),
		fmt.Sprintf("after: %v", codes(between(list, end, total))))
}
