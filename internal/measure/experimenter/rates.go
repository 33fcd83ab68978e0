package experimenter

import (
	"context"
	"fmt"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/measure/launcher"
	"github.com/chivegauge/chivegauge/internal/measure/loadgenerator"
)

const (
	rateTime       = 20 * time.Second
	workspaceRate  = 100.0
	workspaceBurst = 50.0
	inRateShare    = 0.8
	greedyFactor   = 5
	rateInstances  = 6
	movingPeriod   = time.Second
)

// startRated starts one service with spare capacity on six instances, and workspaces with a rate and a burst.
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
		if err := x.fleet.Apply(first, launcher.SetWorkspace(w, workspaceRate, workspaceBurst), launcher.GiveKey(w, w)); err != nil {
			return err
		}
	}
	return x.ready()
}

// greedy sends load of one workspace at five times its rate and of three workspaces within their rates.
func greedy(x *experiment) error {
	names := []string{"greedy", "golf", "estate", "club"}
	if err := x.startRated(names); err != nil {
		return err
	}
	streams := make([]loadgenerator.Stream, 0, len(names))
	for n, name := range names {
		rate := inRateShare * workspaceRate
		if n == 0 {
			rate = greedyFactor * workspaceRate
		}
		streams = append(streams, x.sharedStream(name, name, "normal", rate))
	}
	list := loadgenerator.New(x.seed).Run(context.Background(), rateTime, streams)
	x.reportRates(list)
	for _, name := range names[1:] {
		x.reportInRate(ofStream(list, name))
	}
	for n, name := range names {
		x.addNote(name, ofStream(list, name))
		if n > 0 {
			x.report.Notes = append(x.report.Notes, fmt.Sprintf("refused by second: %v", refusedBySecond(ofStream(list, name))))
		}
	}
	admitted := completeCount(ofStream(list, "greedy"))
	allowed := workspaceRate*(rateTime+shareDeadline).Seconds() + workspaceBurst
	x.report.WorstWorkspaceShare = float64(admitted) / allowed
	return x.reportRuns(list)
}

func (x *experiment) reportRates(list []loadgenerator.Outcome) {
	x.report.OfferedPerSecond = perSecond(len(list), rateTime)
	x.report.GoodputPerSecond = perSecond(completeCount(list), rateTime)
	x.report.PossibleGoodputPerSecond = x.report.OfferedPerSecond
}

// reportInRate adds requests that are within the rate of their workspace, each of which should have got a complete
// response.
func (x *experiment) reportInRate(list []loadgenerator.Outcome) {
	x.report.InRateRequests += len(list)
	x.report.WrongfulRefusals += len(list) - completeCount(list)
}

// moving sends load of four workspaces within their rates; the load of each workspace moves to another node every
// second.
func moving(x *experiment) error {
	names := []string{"golf", "estate", "club", "caterer"}
	if err := x.startRated(names); err != nil {
		return err
	}
	streams := make([]loadgenerator.Stream, 0, len(names))
	for n, name := range names {
		s := x.sharedStream(name, name, "normal", inRateShare*workspaceRate)
		s.Target = func(t time.Duration) int { return (int(t/movingPeriod)*(n+1) + n) % rateInstances }
		streams = append(streams, s)
	}
	list := loadgenerator.New(x.seed).Run(context.Background(), rateTime, streams)
	x.reportRates(list)
	x.reportInRate(list)
	x.addNote("all", list)
	x.report.Notes = append(x.report.Notes, fmt.Sprintf("refused by second: %v", refusedBySecond(list)))
	return x.reportRuns(list)
}
