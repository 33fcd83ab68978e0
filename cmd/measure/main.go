// Command measure runs scenarios under several policies and prints one line of JSON for each run, then a table if there
// is more than one.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/chivegauge/chivegauge/internal/measure/experimenter"
	"github.com/jessevdk/go-flags"
)

type options struct {
	Scenario string `long:"scenario" default:"all" description:"scenarios, separated by commas, or all"`
	Policy   string `long:"policy" default:"off,on" description:"policies, separated by commas"`
	Seed     uint64 `long:"seed" default:"1" description:"seed of the arrivals"`
}

func main() {
	opts := options{}
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opts options) error {
	names := strings.Split(opts.Scenario, ",")
	if opts.Scenario == "all" {
		names = experimenter.Scenarios()
	}
	x := experimenter.New()
	var reports []experimenter.Report
	for _, name := range names {
		for policy := range strings.SplitSeq(opts.Policy, ",") {
			r, err := x.Run(name, policy, opts.Seed)
			if err != nil {
				return err
			}
			reports = append(reports, r)
			if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
				return err
			}
		}
	}
	if len(reports) > 1 {
		return experimenter.Table(os.Stdout, reports)
	}
	return nil
}
