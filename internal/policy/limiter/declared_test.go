package limiter_test

import (
	"testing"

	"github.com/chivegauge/chivegauge/internal/policy/limiter"
	"github.com/matryer/is"
)

// TestDeclared checks the limit for a number of declared runs.
func TestDeclared(t *testing.T) {
	tests := map[string]struct {
		fraction float64
		runs     int
		limit    int
	}{
		"all":             {fraction: 1, runs: 61, limit: 61},
		"a margin":        {fraction: 0.93, runs: 61, limit: 56},
		"few":             {fraction: 0.93, runs: 24, limit: 22},
		"at least one":    {fraction: 0.93, runs: 1, limit: 1},
		"none is no less": {fraction: 1, runs: 0, limit: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := limiter.NewDeclared(tt.fraction)
			l.Declare(tt.runs)
			is.New(t).Equal(l.Limit(), tt.limit)
		})
	}
}
