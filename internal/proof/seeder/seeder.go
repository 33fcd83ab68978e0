package seeder

import (
	"flag"
	"testing"

	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
	_ "pgregory.net/rapid" // registers the flags set here
)

const (
	seedFlag   = "rapid.seed"
	checksFlag = "rapid.checks"
	seed       = "1"
	checks     = "1000"
)

// Run runs the tests with strict invariants and returns the exit code; the seed and the number of property checks are
// fixed unless they are set on the command line.
func Run(m *testing.M) int {
	flag.Parse()
	asserter.SetStrict(true)
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	if !given[seedFlag] {
		_ = flag.Set(seedFlag, seed)
	}
	if !given[checksFlag] {
		_ = flag.Set(checksFlag, checks)
	}
	return m.Run()
}
