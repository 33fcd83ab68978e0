package picker_test

import (
	"math/rand/v2"
	"strconv"
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

// TestPick checks which member is picked, one minute after the members were first seen.
func TestPick(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start.Add(time.Minute)
	near := member("near", "sw-1")
	far := member("far", "sw-2")
	tests := map[string]struct {
		prepare func(p picker.Picker)
		members []chivegauge.Member
		tried   []string
		picked  string
	}{
		"own zone first": {
			members: []chivegauge.Member{far, near},
			picked:  "near",
		},
		"other zone when the own one is busy": {
			prepare: func(p picker.Picker) {
				p.Begin("near")
				p.End(now, "near", picker.Succeeded, picker.Load{
					Running: 9,
					Limit:   10,
				})
			},
			members: []chivegauge.Member{far, near},
			picked:  "far",
		},
		"not one that was tried": {
			members: []chivegauge.Member{far, near},
			tried:   []string{"near"},
			picked:  "far",
		},
		"not one that is draining": {
			members: []chivegauge.Member{far, near.WithState(chivegauge.Draining)},
			picked:  "far",
		},
		"not one that failed five times": {
			prepare: func(p picker.Picker) {
				for range 5 {
					p.Begin("near")
					p.End(now, "near", picker.Failed, picker.Load{})
				}
			},
			members: []chivegauge.Member{far, near},
			picked:  "far",
		},
		"not one that was unreachable": {
			prepare: func(p picker.Picker) {
				p.Begin("near")
				p.End(now, "near", picker.Unreached, picker.Load{})
			},
			members: []chivegauge.Member{far, near},
			picked:  "far",
		},
		"not one whose runs fail": {
			prepare: func(p picker.Picker) {
				p.Begin("near")
				p.End(now, "near", picker.Succeeded, picker.Load{
					Running:     1,
					Limit:       100,
					FailureRate: 0.4,
				})
			},
			members: []chivegauge.Member{far, near},
			picked:  "far",
		},
		"one whose runs failed 20 seconds ago": {
			prepare: func(p picker.Picker) {
				p.Begin("near")
				p.End(now.Add(-20*time.Second), "near", picker.Succeeded, picker.Load{
					Running:     1,
					Limit:       100,
					FailureRate: 0.4,
				})
			},
			members: []chivegauge.Member{far, near},
			picked:  "near",
		},
		"the only one, even if ejected": {
			prepare: func(p picker.Picker) {
				for range 5 {
					p.Begin("near")
					p.End(now, "near", picker.Failed, picker.Load{})
				}
			},
			members: []chivegauge.Member{near},
			picked:  "near",
		},
		"none": {
			members: []chivegauge.Member{near.WithState(chivegauge.Dead)},
			picked:  "",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := picker.New("sw-1", "sw")
			p.Pick(start, []chivegauge.Member{near, far}, nil, rand.New(rand.NewPCG(1, 1)).IntN)
			if tt.prepare != nil {
				tt.prepare(p)
			}
			m, ok := p.Pick(now, tt.members, tt.tried, rand.New(rand.NewPCG(1, 1)).IntN)
			is.Equal(m.Address, tt.picked)
			is.Equal(ok, tt.picked != "")
		})
	}
}

// TestEjectionsInALargeService checks that ejected members are passed over while at most half of the service is ejected, and
// are picked again afterwards.
func TestEjectionsInALargeService(t *testing.T) {
	const size = 40
	tests := map[string]struct {
		ejected int
		later   time.Duration
		picked  bool // members that were ejected are picked
	}{
		"one":                       {ejected: 1},
		"half":                      {ejected: size / 2},
		"more than half":            {ejected: size/2 + 1, picked: true},
		"all":                       {ejected: size, picked: true},
		"half, after the ejections": {ejected: size / 2, later: 2 * time.Second, picked: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			members := []chivegauge.Member{}
			for n := range size {
				members = append(members, member(strconv.Itoa(n), "sw-"+strconv.Itoa(n%4)))
			}
			p := picker.New("sw-1", "sw")
			random := rand.New(rand.NewPCG(1, 1)).IntN
			p.Pick(now, members, nil, random) // before the ejections
			for n := range tt.ejected {
				p.Begin(members[n].Address)
				p.End(now, members[n].Address, picker.Unreached, picker.Load{})
			}
			p.Pick(now, members, nil, random)
			now = now.Add(tt.later)
			picked := map[string]int{}
			for range 2000 {
				m, ok := p.Pick(now, members, []string{"39"}, random)
				is.True(ok)
				picked[m.Address]++
				p.Begin(m.Address) // spreads the picks
			}
			is.Equal(picked["39"], 0) // tried
			for n := range tt.ejected {
				if tt.picked && n != 39 {
					is.True(picked[strconv.Itoa(n)] > 0)
				}
				if !tt.picked {
					is.Equal(picked[strconv.Itoa(n)], 0)
				}
			}
		})
	}
}

// TestOwnZoneAfterStart checks that a node which has just started, as all nodes have after a loss of power, keeps requests
// in its zone while the members there have room, and that a member which joins later gets few at first.
func TestOwnZoneAfterStart(t *testing.T) {
	tests := map[string]struct {
		running int           // of 100 in the own zone, 10 in the other
		started time.Duration // before the pick
		joined  time.Duration // when the member in the own zone was first seen, after the start
		picked  string
	}{
		"at the start":                {running: 25, picked: "near"},
		"at the start, busy":          {running: 60, picked: "far"},
		"a minute later":              {running: 25, started: time.Minute, picked: "near"},
		"a minute later, just joined": {running: 25, started: time.Minute, joined: time.Minute, picked: "far"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			now := start.Add(tt.started)
			near := member("near", "sw-1")
			far := member("far", "sw-2")
			p := picker.New("sw-1", "sw")
			random := rand.New(rand.NewPCG(1, 1)).IntN
			before := []chivegauge.Member{near, far}
			if tt.joined > 0 {
				before = []chivegauge.Member{far}
			}
			p.Pick(start, before, nil, random)
			for address, running := range map[string]int{"near": tt.running, "far": 10} {
				p.Begin(address)
				p.End(now, address, picker.Succeeded, picker.Load{
					Running: running,
					Limit:   100,
				})
			}
			m, ok := p.Pick(now, []chivegauge.Member{near, far}, nil, random)
			is.True(ok)
			is.Equal(m.Address, tt.picked)
		})
	}
}
