package supervisor

import "github.com/chivegauge/chivegauge/internal/telemetry/meter"

// registerGauges registers the gauges, which are evaluated when the metrics are read.
func (v *supervisor) registerGauges() error {
	if err := v.parts.meter.Observe(meter.Backend(v.parts.executor.Load)...); err != nil {
		return err
	}
	return v.parts.meter.Observe(
		meter.Gauge{
			Name:        "chivegauge.configuration.revision",
			Description: "Revision of the configuration in force",
			Read:        func() float64 { return float64(v.parts.config.Configuration().Revision) },
		},
		meter.Gauge{
			Name:        "chivegauge.slots",
			Description: "Rate slots kept here",
			Read:        func() float64 { return float64(v.parts.leaseLimiter.OwnedSlots()) },
		},
		meter.Gauge{
			Name:        "chivegauge.members",
			Description: "Members known, the dead included",
			Read:        func() float64 { return float64(len(v.parts.fleet.Members())) },
		},
		meter.Gauge{
			Name:        "chivegauge.attempts.first",
			Description: "First attempts sent since the start",
			Read:        v.firstAttempts,
		},
		meter.Gauge{
			Name:        "chivegauge.attempts.extra",
			Description: "Extra attempts sent since the start",
			Read:        v.retries,
		},
		meter.Gauge{
			Name:        "chivegauge.control.bytes",
			Description: "Bytes of control messages sent and received on connections opened here",
			Unit:        "By",
			Read:        v.controlBytes,
		},
	)
}

func (v *supervisor) firstAttempts() float64 {
	first, _ := v.parts.dispatcher.Attempts()
	return float64(first)
}

func (v *supervisor) retries() float64 {
	_, retries := v.parts.dispatcher.Attempts()
	return float64(retries)
}

func (v *supervisor) controlBytes() float64 {
	sent, received := v.parts.dialer.Bytes()
	return float64(sent + received)
}
