package picker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/matryer/is"
)

func member(address, zone string) chivegauge.Member {
	return chivegauge.Member{
		Address: address,
		Zone:    zone,
		Region:  "sw",
	}
}

// TestPick states where attempts go.
func TestPick(t *testing.T) {
	start := time.Unix(1000, 0)
	later := start.Add(time.Minute)
	near := member("near", "sw-1")
	far := member("far", "sw-2")
	cases := map[string]struct {
		learn   func(p picker.Picker)
		members []chivegauge.Member
		tried   []string
		want    string
	}{
		"own zone first": {
			members: []chivegauge.Member{far, near},
			want:    "near",
		},
		"other zone when the own is busy": {
			learn: func(p picker.Picker) {
				p.Begin("near")
				p.End(later, "near", picker.Succeeded, picker.Load{
					Running: 9,
					Limit:   10,
				})
			},
			members: []chivegauge.Member{far, near},
			want:    "far",
		},
		"not one that was tried": {
			members: []chivegauge.Member{far, near},
			tried:   []string{"near"},
			want:    "far",
		},
		"not one that drains": {
			members: []chivegauge.Member{far, near.WithState(chivegauge.Draining)},
			want:    "far",
		},
		"not one that failed five times": {
			learn: func(p picker.Picker) {
				for range 5 {
					p.Begin("near")
					p.End(later, "near", picker.Failed, picker.Load{})
				}
			},
			members: []chivegauge.Member{far, near},
			want:    "far",
		},
		"not one that could not be reached": {
			learn: func(p picker.Picker) {
				p.Begin("near")
				p.End(later, "near", picker.Unreached, picker.Load{})
			},
			members: []chivegauge.Member{far, near},
			want:    "far",
		},
		"not one whose runs fail": {
			learn: func(p picker.Picker) {
				p.Begin("near")
				p.End(later, "near", picker.Succeeded, picker.Load{
					Running: 1,
					Limit:   100,
					Failing: 0.4,
				})
			},
			members: []chivegauge.Member{far, near},
			want:    "far",
		},
		"one whose runs failed a while ago": {
			learn: func(p picker.Picker) {
				p.Begin("near")
				p.End(later.Add(-20*time.Second), "near", picker.Succeeded, picker.Load{
					Running: 1,
					Limit:   100,
					Failing: 0.4,
				})
			},
			members: []chivegauge.Member{far, near},
			want:    "near",
		},
		"the last one, even ejected": {
			learn: func(p picker.Picker) {
				for range 5 {
					p.Begin("near")
					p.End(later, "near", picker.Failed, picker.Load{})
				}
			},
			members: []chivegauge.Member{near},
			want:    "near",
		},
		"none": {
			members: []chivegauge.Member{near.WithState(chivegauge.Dead)},
			want:    "",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := picker.New("sw-1", "sw")
			p.Pick(start, []chivegauge.Member{near, far}, nil, rand.New(rand.NewPCG(1, 1)).IntN)
			if c.learn != nil {
				c.learn(p)
			}
			m, ok := p.Pick(later, c.members, c.tried, rand.New(rand.NewPCG(1, 1)).IntN)
			is.Equal(m.Address, c.want)
			is.Equal(ok, c.want != "")
		})
	}
}
