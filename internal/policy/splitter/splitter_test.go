package splitter_test

import (
	"math"
	"testing"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/splitter"
	"github.com/matryer/is"
)

// TestChooseFollowsWeights checks that each service gets its exact share of 1000 requests, within one request.
func TestChooseFollowsWeights(t *testing.T) {
	tests := map[string]struct {
		split []chivegauge.ServiceWeight
	}{
		"even":   {split: []chivegauge.ServiceWeight{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}},
		"uneven": {split: []chivegauge.ServiceWeight{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}},
		"none":   {split: []chivegauge.ServiceWeight{{Service: "a", Weight: 0}, {Service: "b", Weight: 3}, {Service: "c", Weight: 1}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := splitter.New()
			r := chivegauge.Route{
				Name:  "r",
				Split: tt.split,
			}
			const requests = 1000
			got := map[string]int{}
			for range requests {
				got[s.Choose(r)]++
			}
			total := 0.0
			for _, w := range tt.split {
				total += w.Weight
			}
			for _, w := range tt.split {
				is.True(math.Abs(float64(got[w.Service])-requests*w.Weight/total) <= 1)
			}
		})
	}
}
