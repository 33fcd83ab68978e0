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
	shareTime      = 12 * time.Second
	shareWarmUp    = 4 * time.Second
	shareSlots     = 10
	shareServiceMs = 50
	shareCount     = 2
	shareDeadline  = time.Second
	// shareCapacity is the capacity of the service in requests a second.
	shareCapacity = shareCount * shareSlots * msPerSecond / shareServiceMs
)

// startShared starts one service and an entry service that only forwards the requests of callers to it.
func (x *experiment) startShared(workspaces []string, rate, burst float64) error {
	if err := x.start(
		service{
			name:      "booking",
			count:     shareCount,
			slots:     shareSlots,
			serviceMs: shareServiceMs,
		},
		service{
			name:      "entry",
			count:     2,
			slots:     10,
			serviceMs: 1,
		},
	); err != nil {
		return err
	}
	first := x.fleet.Instances[0]
	for _, r := range []chivegauge.Route{
		route("critical", "booking", chivegauge.Critical, shareDeadline),
		route("normal", "booking", chivegauge.Normal, shareDeadline),
		route("low", "booking", chivegauge.Low, shareDeadline),
	} {
		if err := x.fleet.Apply(first, launcher.SetRoute(r)); err != nil {
			return err
		}
	}
	for _, w := range workspaces {
		if err := x.fleet.Apply(first, launcher.SetWorkspace(w, rate, burst), launcher.GiveKey(w, w)); err != nil {
			return err
		}
	}
	return x.ready()
}

func (x *experiment) sharedStream(name, workspace, path string, rate float64) loadgenerator.Stream {
	return loadgenerator.Stream{
		Name:    name,
		Key:     launcher.Key(workspace),
		Method:  "POST",
		Path:    "/" + path,
		Targets: callers(x.fleet.Instances),
		Rate:    constant(rate),
		Timeout: shareDeadline + time.Second,
	}
}

// importance sends a load of three times the capacity, spread over three importances.
func importance(x *experiment) error {
	if err := x.startShared([]string{"golf"}, 100000, 20000); err != nil {
		return err
	}
	list := loadgenerator.New(x.seed).Run(context.Background(), shareTime, []loadgenerator.Stream{
		x.sharedStream("critical", "golf", "critical", 0.3*shareCapacity),
		x.sharedStream("normal", "golf", "normal", 1.2*shareCapacity),
		x.sharedStream("low", "golf", "low", 1.5*shareCapacity),
	})
	x.reportShares(list)
	critical := ofStream(between(list, shareWarmUp, shareTime), "critical")
	x.report.InRateRequests = len(critical)
	x.report.WrongfulRefusals = len(critical) - completeCount(critical)
	for _, name := range []string{"critical", "normal", "low"} {
		x.addNote(name, ofStream(between(list, shareWarmUp, shareTime), name))
	}
	return x.reportRuns(list)
}

func (x *experiment) addNote(name string, list []loadgenerator.Outcome) {
	x.report.Notes = append(x.report.Notes, fmt.Sprintf("%s: %v", name, codes(list)))
}

func (x *experiment) reportShares(list []loadgenerator.Outcome) {
	window := shareTime - shareWarmUp
	steady := between(list, shareWarmUp, shareTime)
	x.report.OfferedPerSecond = perSecond(len(steady), window)
	x.report.GoodputPerSecond = perSecond(completeCount(steady), window)
	x.report.PossibleGoodputPerSecond = min(shareCapacity, x.report.OfferedPerSecond)
}

// unfair sends load above the capacity, of five workspaces at one importance; one workspace sends ten times as much as
// each of the others.
func unfair(x *experiment) error {
	names := []string{"greedy", "golf", "estate", "caterer", "club"}
	if err := x.startShared(names, 100000, 20000); err != nil {
		return err
	}
	fair := shareCapacity / float64(len(names))
	offered := 1.4 * fair
	streams := make([]loadgenerator.Stream, 0, len(names))
	for n, name := range names {
		rate := offered
		if n == 0 {
			rate = 10 * offered
		}
		streams = append(streams, x.sharedStream(name, name, "normal", rate))
	}
	list := loadgenerator.New(x.seed).Run(context.Background(), shareTime, streams)
	x.reportShares(list)
	worst := 1e9
	for _, name := range names {
		steady := ofStream(between(list, shareWarmUp, shareTime), name)
		worst = min(worst, perSecond(completeCount(steady), shareTime-shareWarmUp)/fair)
		x.addNote(name, steady)
	}
	x.report.WorstWorkspaceShare = worst
	return x.reportRuns(list)
}
