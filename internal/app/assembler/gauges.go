package assembler

import "github.com/chivegauge/chivegauge/internal/telemetry/meter"

// observe registers the gauges, which are evaluated when the metrics are read.
func (n *node) observe() error {
	if err := n.meter.Observe(meter.Backend(n.executor.Load)...); err != nil {
		return err
	}
	return n.meter.Observe(
		meter.Gauge{
			Name:        "chivegauge.backend.failing",
			Description: "Share of the latest runs that failed, from 0 to 1",
			Unit:        "1",
			Read:        func() float64 { return n.executor.Load().FailureRate },
		},
		meter.Gauge{
			Name:        "chivegauge.requests.open",
			Description: "Requests of callers and of other nodes that are not answered yet",
			Read:        func() float64 { return float64(n.inFlight()) },
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
			Read:        func() float64 { return float64(n.logWriter.Dropped()) },
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
