package limiter_test

import (
	"testing"

	"github.com/chivegauge/chivegauge/internal/policy/limiter"
	"github.com/matryer/is"
)

// TestDeclared states how many of the declared runs are used.
func TestDeclared(t *testing.T) {
	tests := map[string]struct {
		part float64
		runs int
		want int
	}{
		"all":             {part: 1, runs: 61, want: 61},
		"a margin":        {part: 0.93, runs: 61, want: 56},
		"few":             {part: 0.93, runs: 24, want: 22},
		"at least one":    {part: 0.93, runs: 1, want: 1},
		"none is no less": {part: 1, runs: 0, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := limiter.NewDeclared(tt.part)
			l.Declare(tt.runs)
			is.New(t).Equal(l.Limit(), tt.want)
		})
	}
}
