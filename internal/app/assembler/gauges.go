package assembler

import (
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/telemetry/meter"
)

// observe registers what is read when the metrics are.
func (n *node) observe() error {
	load := func(f func(picker.Load) float64) func() float64 {
		return func() float64 { return f(n.guardian.Load()) }
	}
	return n.meter.Observe(
		meter.Gauge{
			Name:        "chivegauge.backend.running",
			Description: "Requests that run on the backend server",
			Read:        load(func(l picker.Load) float64 { return float64(l.Running) }),
		},
		meter.Gauge{
			Name:        "chivegauge.backend.waiting",
			Description: "Requests that wait for the backend server",
			Read:        load(func(l picker.Load) float64 { return float64(l.Waiting) }),
		},
		meter.Gauge{
			Name:        "chivegauge.backend.limit",
			Description: "Requests that may run on the backend server at once",
			Read:        load(func(l picker.Load) float64 { return float64(l.Limit) }),
		},
		meter.Gauge{
			Name:        "chivegauge.backend.failing",
			Description: "Share of the latest runs that failed, from 0 to 1",
			Unit:        "1",
			Read:        load(func(l picker.Load) float64 { return l.Failing }),
		},
		meter.Gauge{
			Name:        "chivegauge.requests.open",
			Description: "Requests of callers and of other nodes that are not answered yet",
			Read:        func() float64 { return float64(n.running()) },
		},
		meter.Gauge{
			Name:        "chivegauge.configuration.version",
			Description: "Version of the configuration in force, 0 before the first",
			Read:        n.version,
		},
		meter.Gauge{
			Name:        "chivegauge.configuration.proof.age",
			Description: "Time since the configuration and its keys were proved to be the newest",
			Unit:        "s",
			Read:        func() float64 { return n.config.Age().Seconds() },
		},
		meter.Gauge{
			Name:        "chivegauge.nodes",
			Description: "Nodes that have not left, this one included",
			Read:        func() float64 { return float64(n.members.Len()) },
		},
		meter.Gauge{
			Name:        "chivegauge.log.dropped",
			Description: "Log lines that were dropped since the start",
			Read:        func() float64 { return float64(n.journal.Dropped()) },
		},
	)
}

func (n *node) version() float64 {
	r, ok := n.config.Router()
	if !ok {
		return 0
	}
	return float64(r.Version())
}
