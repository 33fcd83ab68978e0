package experimenter

import (
	"context"
	"fmt"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/measure/driver"
	"github.com/chivegauge/chivegauge/internal/measure/launcher"
)

const (
	rateTime      = 20 * time.Second
	rateOf        = 100.0
	burstOf       = 50.0
	inRateShare   = 0.8
	greedyFactor  = 5
	rateInstances = 6
	movingPeriod  = time.Second
)

// startRated starts one wide service and workspaces with a rate and burst.
func (x *experiment) startRated(workspaces []string) error {
	if err := x.start(service{
		name:      "booking",
		count:     rateInstances,
		slots:     50,
		serviceMs: 5,
	}); err != nil {
		return err
	}
	first := x.fleet.Instances[0]
	if err := x.fleet.Apply(first, launcher.SetRoute(route("normal", "booking", chivegauge.Normal, shareDeadline))); err != nil {
		return err
	}
	for _, w := range workspaces {
		if err := x.fleet.Apply(first, launcher.SetWorkspace(w, rateOf, burstOf), launcher.GiveKey(w, w)); err != nil {
			return err
		}
	}
	return x.ready()
}

// greedy has one workspace at five times its rate beside three inside theirs.
func greedy(x *experiment) error {
	names := []string{"greedy", "golf", "estate", "club"}
	if err := x.startRated(names); err != nil {
		return err
	}
	streams := make([]driver.Stream, 0, len(names))
	for n, name := range names {
		rate := inRateShare * rateOf
		if n == 0 {
			rate = greedyFactor * rateOf
		}
		streams = append(streams, x.sharedStream(name, name, "normal", rate))
	}
	list := driver.New(x.seed).Run(context.Background(), rateTime, streams)
	x.rateFigures(list)
	for _, name := range names[1:] {
		x.inRate(ofStream(list, name))
	}
	for n, name := range names {
		x.note(name, ofStream(list, name))
		if n > 0 {
			x.report.Notes = append(x.report.Notes, fmt.Sprintf("refused by second: %v", refusedBySecond(ofStream(list, name))))
		}
	}
	spent := completeCount(ofStream(list, "greedy"))
	allowed := rateOf*(rateTime+shareDeadline).Seconds() + burstOf
	x.report.WorstWorkspaceShare = float64(spent) / allowed
	return x.runs(list)
}

func (x *experiment) rateFigures(list []driver.Outcome) {
	x.report.OfferedPerSecond = perSecond(len(list), rateTime)
	x.report.GoodputPerSecond = perSecond(completeCount(list), rateTime)
	x.report.PossibleGoodputPerSecond = x.report.OfferedPerSecond
}

func (x *experiment) inRate(list []driver.Outcome) {
	x.report.InRateRequests += len(list)
	x.report.WrongfulRefusals += len(list) - completeCount(list)
}

// moving has workspaces inside their rate whose demand moves to another node every second.
func moving(x *experiment) error {
	names := []string{"golf", "estate", "club", "caterer"}
	if err := x.startRated(names); err != nil {
		return err
	}
	streams := make([]driver.Stream, 0, len(names))
	for n, name := range names {
		s := x.sharedStream(name, name, "normal", inRateShare*rateOf)
		s.Target = func(t time.Duration) int { return (int(t/movingPeriod)*(n+1) + n) % rateInstances }
		streams = append(streams, s)
	}
	list := driver.New(x.seed).Run(context.Background(), rateTime, streams)
	x.rateFigures(list)
	x.inRate(list)
	x.note("all", list)
	x.report.Notes = append(x.report.Notes, fmt.Sprintf("refused by second: %v", refusedBySecond(list)))
	return x.runs(list)
}
