package chivegauge_test

import (
	"slices"
	"testing"

	"github.com/chivegauge/chivegauge"
	"github.com/matryer/is"
)

// TestHopByHopHeader checks which headers are not forwarded, in any case.
func TestHopByHopHeader(t *testing.T) {
	tests := map[string]bool{
		"Connection":          true,
		"connection":          true,
		"CONTENT-LENGTH":      true,
		"Keep-Alive":          true,
		"proxy-authenticate":  true,
		"Proxy-Authorization": true,
		"Proxy-Connection":    true,
		"TE":                  true,
		"Trailer":             true,
		"transfer-encoding":   true,
		"Upgrade":             true,
		"Content-Type":        false,
		"Keep-Alives":         false,
		"T":                   false,
		"":                    false,
		"Upgrades":            false,
		"X-Connection":        false,
		"Content-Lengtho":     false,
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(chivegauge.HopByHopHeader(name), want)
		})
	}
}

// TestEndToEnd guards against fields that Connection lists and that are passed on all the same, and against fields of the
// system that a caller or a backend server sends.
func TestEndToEnd(t *testing.T) {
	tests := map[string]struct {
		connection []string
		kept       []string
	}{
		"none":                 {kept: []string{"X-One", "X-Two"}},
		"one":                  {connection: []string{"close, X-One"}, kept: []string{"X-Two"}},
		"other case and space": {connection: []string{"x-one ,\tX-TWO"}},
		"several fields":       {connection: []string{"keep-alive", "X-Two", "X-One"}},
		"odd lists":            {connection: []string{"", ",,", " ", "X-Three"}, kept: []string{"X-One", "X-Two"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fields := chivegauge.OwnHeaderNames().EndToEnd(map[string][]string{
				"Connection":        tt.connection,
				"Keep-Alive":        {"timeout=5"},
				"Chivegauge-Root":   {"1"},
				"Chivegauge-Levels": {"1"},
				"X-One":             {"1"},
				"X-Two":             {"1"},
			})
			names := []string{}
			for _, f := range fields {
				names = append(names, f.Name)
			}
			slices.Sort(names)
			is.New(t).Equal(names, append([]string{}, tt.kept...))
		})
	}
}
