package experimenter

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report is the figures of one run; a figure that the scenario does not measure is 0.
type Report struct {
	Scenario                 string
	Policy                   string
	Seed                     uint64
	OfferedPerSecond         float64
	GoodputPerSecond         float64
	PossibleGoodputPerSecond float64
	RecoverySeconds          float64
	WorstWorkspaceShare      float64
	WrongfulRefusals         int
	InRateRequests           int
	AttemptsPerRequest       float64
	WastedRuns               float64
	DoubledRuns              int
	AddedLatencyP50Ms        float64
	AddedLatencyP99Ms        float64
	Notes                    []string
}

// Table writes the reports as a table.
func Table(w io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SCENARIO\tPOLICY\tOFFERED/S\tGOODPUT/S\tPOSSIBLE/S\tRECOVERY S\tWORST SHARE\tWRONGFUL\tIN RATE\tATTEMPTS\tWASTED\tDOUBLED\tADDED P50 MS\tADDED P99 MS")
	for _, r := range reports {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.1f\t%.3f\t%d\t%d\t%.2f\t%.3f\t%d\t%.2f\t%.2f\n",
			r.Scenario, r.Policy, r.OfferedPerSecond, r.GoodputPerSecond, r.PossibleGoodputPerSecond, r.RecoverySeconds,
			r.WorstWorkspaceShare, r.WrongfulRefusals, r.InRateRequests, r.AttemptsPerRequest, r.WastedRuns, r.DoubledRuns,
			r.AddedLatencyP50Ms, r.AddedLatencyP99Ms)
	}
	return t.Flush()
}
