package runner_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/chivegauge/chivegauge/internal/command/runner"
	"github.com/matryer/is"
)

const example = "../../../examples/node.yaml"

const lines = `{"Node":"a","Request":"r1","Status":503,"time":"2026-01-01T00:00:05Z","message":"request answered"}`

// sidecarText is a settings file in the format of the Greensward platform.
const sidecarText = `
nodeName: "node-1"
zone: "a"
region: "r"
listenAddrs: {inbound: "127.0.0.1:1", outbound: "127.0.0.1:2", ready: "127.0.0.1:3", control: "127.0.0.1:4"}
limits: {memoryMb: 284}
bounds: ["revoke=4000ms", "grace=1s"]
appAddr: "127.0.0.1:5"
service: "booking"
platform: {address: "127.0.0.1:6"}
`

// TestCommands checks the output and the exit code of commands that need no running node.
func TestCommands(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.yaml")
	if err := os.WriteFile(broken, []byte("Service: x"), 0o600); err != nil {
		t.Fatal(err)
	}
	sidecar := filepath.Join(t.TempDir(), "sidecar.yaml")
	if err := os.WriteFile(sidecar, []byte(sidecarText), 0o600); err != nil {
		t.Fatal(err)
	}
	unknown := filepath.Join(t.TempDir(), "unknown.yaml")
	if err := os.WriteFile(unknown, []byte(strings.Replace(sidecarText, "4000ms", "4", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		args []string
		code int
		out  string
	}{
		"version":             {[]string{"version"}, runner.ExitDone, runner.Version},
		"help":                {[]string{"--help"}, runner.ExitDone, "Exit codes: 0 done"},
		"help of a command":   {[]string{"confirm", "--help"}, runner.ExitDone, "PLAN"},
		"check":               {[]string{"check", "--settings", example}, runner.ExitDone, "are valid"},
		"check, faults":       {[]string{"check", "--settings", broken}, runner.ExitUsage, "BackendServer.URL"},
		"check, no file":      {[]string{"check", "--settings", "none.yaml"}, runner.ExitUsage, "read settings"},
		"check, platform":     {[]string{"check", "--sidecar", "--settings", sidecar}, runner.ExitDone, "withdrawn keys stop within 4s"},
		"check, its faults":   {[]string{"check", "--sidecar", "--settings", unknown}, runner.ExitUsage, "bounds.revoke"},
		"check, other format": {[]string{"check", "--sidecar", "--settings", example}, runner.ExitUsage, "is missing"},
		"explain":             {[]string{"explain", "r1"}, runner.ExitDone, "request answered  Status=503"},
		"explain, no line":    {[]string{"explain", "r2"}, runner.ExitUnknown, "no line is about the request"},
		"no command":          {nil, runner.ExitUsage, "command"},
		"unknown command":     {[]string{"plann"}, runner.ExitUsage, "plann"},
		"unknown flag":        {[]string{"status", "--nod", "x"}, runner.ExitUsage, "nod"},
		"no node":             {[]string{"status", "--node", "http://127.0.0.1:1"}, runner.ExitFailed, "send request to the node"},
		"replay, no trace":    {[]string{"replay", "none.jsonl"}, runner.ExitFailed, "open trace"},
		"replay, not a trace": {[]string{"replay", example}, runner.ExitUsage, "line 1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out := &bytes.Buffer{}
			is.Equal(runner.Run(c.args, strings.NewReader(lines), out, out), c.code)
			is.True(strings.Contains(out.String(), c.out))
		})
	}
}
