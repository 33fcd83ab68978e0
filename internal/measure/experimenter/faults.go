package experimenter

import (
	"context"
	"fmt"
	"time"

	"github.com/chivegauge/chivegauge/internal/measure/launcher"
	"github.com/chivegauge/chivegauge/internal/measure/loadgenerator"
	"golang.org/x/sync/errgroup"
)

const (
	nineRate     = 60.0
	nineDeadline = 4 * time.Second
	nineTime     = 20 * time.Second
	nineColdMs   = "1000"
	// nineCrashAt is the time from the start of the load to the crash of the backend server; nineDownTime is how long the
	// backend server is down.
	nineCrashAt  = 8 * time.Second
	nineDownTime = 500 * time.Millisecond
	changeTime   = 24 * time.Second
	changePause  = 400 * time.Millisecond
	changeCount  = 20
)

// nineDeep crashes and restarts one of the deepest backend servers of a chain of nine services.
func nineDeep(x *experiment) error {
	names := []string{"one", "two", "three", "four", "five", "six", "seven", "eight"}
	last := service{
		name:      "nine",
		count:     deepCount,
		slots:     5,
		serviceMs: 100,
		args:      []string{"--cold-ms", nineColdMs},
	}
	if err := x.startChain(chain(names, 100, 1, last), nineDeadline); err != nil {
		return err
	}
	victim := x.instancesOf("nine")[0]
	group := errgroup.Group{}
	group.Go(func() error {
		time.Sleep(nineCrashAt)
		victim.Backend.Kill()
		time.Sleep(nineDownTime)
		return x.fleet.StartBackend(victim)
	})
	list := loadgenerator.New(x.seed).Run(context.Background(), nineTime, []loadgenerator.Stream{{
		Name:    "golf",
		Key:     launcher.Key("golf1"),
		Method:  "POST",
		Path:    "/one",
		Targets: callers(x.instancesOf("one")),
		Rate:    constant(nineRate),
		Timeout: nineDeadline + time.Second,
	}})
	if err := group.Wait(); err != nil {
		return err
	}
	before := between(list, 2*time.Second, nineCrashAt)
	share := float64(completeCount(before)) / float64(max(1, len(before)))
	x.report.OfferedPerSecond = perSecond(len(list), nineTime)
	x.report.GoodputPerSecond = perSecond(completeCount(list), nineTime)
	x.report.PossibleGoodputPerSecond = x.report.OfferedPerSecond
	x.report.RecoverySeconds = recovery(list, share, nineCrashAt+nineDownTime, nineTime)
	x.addNote("before", before)
	x.addNote("from the crash", between(list, nineCrashAt, nineTime))
	return x.reportRuns(list)
}

// change adds and withdraws keys under load and measures how long each change takes to become active on each node.
func change(x *experiment) error {
	if err := x.startRated([]string{"golf"}); err != nil {
		return err
	}
	group := errgroup.Group{}
	group.Go(x.runChanges)
	list := loadgenerator.New(x.seed).Run(context.Background(), changeTime, []loadgenerator.Stream{
		x.sharedStream("golf", "golf", "normal", inRateShare*workspaceRate),
	})
	if err := group.Wait(); err != nil {
		return err
	}
	x.reportRates(list)
	x.reportInRate(list)
	return x.reportRuns(list)
}

func (x *experiment) runChanges() error {
	slowest := time.Duration(0)
	for n := range changeCount {
		id := fmt.Sprintf("k%d", n)
		instance := x.fleet.Instances[n%len(x.fleet.Instances)]
		if err := x.fleet.Apply(instance, launcher.GiveKey("golf", id)); err != nil {
			return err
		}
		took, err := x.waitActive()
		if err != nil {
			return err
		}
		slowest = max(slowest, took)
		if err := x.fleet.Apply(instance, launcher.WithdrawKey("golf", id)); err != nil {
			return err
		}
		if took, err = x.waitActive(); err != nil {
			return err
		}
		slowest = max(slowest, took)
		time.Sleep(changePause)
	}
	x.report.RecoverySeconds = slowest.Seconds()
	x.report.Notes = append(x.report.Notes, fmt.Sprintf("%d changes, the slowest in force everywhere after %d ms", 2*changeCount, slowest.Milliseconds()))
	return nil
}

// waitActive waits until the same revision is active on each node, for 24 s at most, and returns how long that took.
func (x *experiment) waitActive() (time.Duration, error) {
	start := time.Now()
	for {
		lowest, highest, err := x.fleet.MetricRange("chivegauge_configuration_revision")
		if err != nil {
			return 0, err
		}
		if lowest == highest || time.Since(start) > changeTime {
			return time.Since(start), nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}
