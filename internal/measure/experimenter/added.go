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
	addedRounds    = 4
	addedRoundTime = 4 * time.Second
	addedRate      = 200
)

// added measures the latency that nodes add: it sends moderate load through a pair of nodes and directly to the backend
// server, alternately.
func added(x *experiment) error {
	if err := x.start(
		service{
			name:      "lookup",
			count:     1,
			slots:     100,
			serviceMs: 3,
			args:      []string{"--jitter", "0"},
		},
		service{
			name:      "entry",
			count:     1,
			slots:     10,
			serviceMs: 1,
		},
	); err != nil {
		return err
	}
	if err := x.fleet.Apply(x.fleet.Instances[0],
		launcher.SetRoute(route("lookup", "lookup", chivegauge.Normal, shareDeadline)),
		launcher.SetWorkspace("golf", 10000, 2000),
		launcher.GiveKey("golf", "golf"),
	); err != nil {
		return err
	}
	if err := x.ready(); err != nil {
		return err
	}
	var through, direct []loadgenerator.Outcome
	for round := range addedRounds {
		through = append(through, x.addedRound(round, x.instancesOf("entry")[0].Caller)...)
		direct = append(direct, x.addedRound(round, x.instancesOf("lookup")[0].Address)...)
	}
	x.report.OfferedPerSecond = addedRate
	x.report.GoodputPerSecond = perSecond(completeCount(through), addedRounds*addedRoundTime)
	x.report.PossibleGoodputPerSecond = perSecond(len(through), addedRounds*addedRoundTime)
	p50, p99 := quantiles(through)
	s50, s99 := quantiles(direct)
	x.report.AddedLatencyP50Ms = p50 - s50
	x.report.AddedLatencyP99Ms = p99 - s99
	x.report.Notes = append(x.report.Notes, fmt.Sprintf("through %.2f/%.2f ms, straight %.2f/%.2f ms", p50, p99, s50, s99))
	return x.reportAttempts()
}

func (x *experiment) addedRound(round int, target string) []loadgenerator.Outcome {
	return loadgenerator.New(x.seed+uint64(round)).Run(context.Background(), addedRoundTime, []loadgenerator.Stream{{
		Name:    "golf",
		Key:     launcher.Key("golf"),
		Method:  "POST",
		Path:    "/lookup",
		Targets: []string{target},
		Rate:    constant(addedRate),
		Timeout: shareDeadline,
	}})
}
