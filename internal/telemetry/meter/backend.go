package meter

import "github.com/chivegauge/chivegauge/internal/policy/picker"

// Backend returns the gauges of the requests that run on and wait for the backend server beside a node.
func Backend(load func() picker.Load) []Gauge {
	return []Gauge{
		{
			Name:        "chivegauge.backend.running",
			Description: "Requests running on the backend server",
			Read:        func() float64 { return float64(load().Running) },
		},
		{
			Name:        "chivegauge.backend.waiting",
			Description: "Requests waiting for the backend server",
			Read:        func() float64 { return float64(load().Waiting) },
		},
		{
			Name:        "chivegauge.backend.limit",
			Description: "Requests that the backend server may run at once",
			Read:        func() float64 { return float64(load().Limit) },
		},
	}
}
