package chivegauge_test

import (
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
