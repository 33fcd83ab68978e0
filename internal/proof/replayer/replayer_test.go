package replayer_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/chivegauge/chivegauge/internal/proof/replayer"
	"github.com/matryer/is"
)

// TestRecorded replays traces recorded under injected faults and checks that each decision is reproduced and that no
// guarantee is broken.
func TestRecorded(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("testdata/*.jsonl")
	is.NoErr(err)
	is.True(len(files) > 0)
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			is := is.New(t)
			f, err := os.Open(name)
			is.NoErr(err)
			defer f.Close()
			result, err := replayer.Replay(f)
			is.NoErr(err)
			is.True(result.Events > 0)
			is.Equal(result.Faults, nil)
		})
	}
}

const (
	settings       = `{"At":"2026-12-04T00:00:00Z","Part":"Attempts","Call":"Settings","Input":{"Retain":1000000000,"Capacity":10,"MaxBytes":100}}`
	began          = `{"At":"2026-12-04T00:00:01Z","Part":"Attempts","Call":"Begin","Input":{"Sender":"a@1","Sequence":1},"Output":0}`
	reportedNotRun = `{"At":"2026-12-04T00:00:02Z","Part":"Attempts","Call":"Ask","Input":{"Sender":"a@1","Sequence":1},"Output":4}`
)

// TestFaults checks the faults and errors of replays of traces that break a guarantee or are malformed.
func TestFaults(t *testing.T) {
	cases := map[string]struct {
		lines  []string
		faults int
		broken bool
	}{
		"run once":                     {[]string{settings, began}, 0, false},
		"run twice":                    {[]string{settings, began, began}, 1, false},
		"reported not run after a run": {[]string{settings, began, reportedNotRun}, 1, false},
		"run after reported not run":   {[]string{settings, reportedNotRun, began}, 1, false},
		"no settings":                  {[]string{began}, 0, true},
		"not a trace":                  {[]string{"{"}, 0, true},
		"unknown part":                 {[]string{`{"Part":"x"}`}, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			result, err := replayer.Replay(strings.NewReader(strings.Join(c.lines, "\n")))
			is.Equal(err != nil, c.broken)
			is.Equal(len(result.Faults), c.faults)
		})
	}
}
