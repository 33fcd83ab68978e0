package explainer_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/chivegauge/chivegauge/internal/telemetry/explainer"
	"github.com/matryer/is"
)

const logs = `{"Node":"a","Version":3,"time":"2026-01-01T00:00:01Z","message":"configuration in force"}
{"Node":"a","Version":5,"time":"2026-01-01T00:00:02Z","message":"configuration in force"}
not a log line
   0.5 b {"Node":"b","Instance":"i-1","Leaving":true,"time":"2026-01-01T00:00:03Z","message":"backend server changed"}
{"Node":"c","time":"2026-01-01T00:00:03Z","message":"node started"}
{"Node":"a","Request":"r1","Member":"b","Code":"Draining","time":"2026-01-01T00:00:04Z","message":"attempt failed"}
{"Node":"a","Request":"r2","time":"2026-01-01T00:00:04Z","message":"request answered"}
   1.0 b {"level":"warn","Node":"b","Request":"r1","Reason":"the backend server is leaving","time":"2026-01-01T00:00:04Z","message":"request not run to its end here"}
{"Node":"a","Request":"r1","Status":503,"time":"2026-01-01T00:00:05Z","message":"request answered"}
{broken
`

// TestExplain checks which lines are written for a request, and in which order: the state of a node before its first
// line, without lines about other requests or of nodes that are not involved.
func TestExplain(t *testing.T) {
	tests := map[string]struct {
		request string
		err     error
		output  string
	}{
		"known": {
			request: "r1",
			output: `node a, before the request:
    2026-01-01T00:00:02Z a: configuration in force  Version=5
2026-01-01T00:00:04Z a: attempt failed  Code=Draining Member=b
node b, before the request:
    2026-01-01T00:00:03Z b: backend server changed  Instance=i-1 Leaving=true
2026-01-01T00:00:04Z b: request not run to its end here  Reason=the backend server is leaving
2026-01-01T00:00:05Z a: request answered  Status=503
`,
		},
		"unknown": {request: "r3", err: explainer.ErrUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out := &bytes.Buffer{}
			is.Equal(explainer.Explain(strings.NewReader(logs), tt.request, out), tt.err)
			is.Equal(out.String(), tt.output)
		})
	}
}
