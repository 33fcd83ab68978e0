package breaker_test

import (
	"testing"
	"time"

	"github.com/chivegauge/chivegauge/internal/proof/breaker"
)

// TestSilentPeerConnections makes the open connections between nodes silent for good, in both ways or one.
func TestSilentPeerConnections(t *testing.T) {
	cases := map[string]func(r *breaker.Relay){
		"both ways":    (*breaker.Relay).Silence,
		"answers only": (*breaker.Relay).Freeze,
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			x := start(t, layout{
				booking:  2,
				dispatch: 2,
				relayed:  true,
				nested:   true,
			})
			silence := func() {
				for _, r := range x.relays {
					fault(r)
				}
			}
			list := x.load(6*time.Second, 1500*time.Millisecond, []func(){silence, silence}, x.stream("/deposits", 60))
			x.allWhole(list)
			x.noneDoubled()
			x.honest(list)
			x.sound()
		})
	}
}

// TestCutBetweenNodes cuts a node off from all others and mends the cut.
func TestCutBetweenNodes(t *testing.T) {
	x := start(t, layout{
		booking: 3,
		relayed: true,
	})
	victim := x.relays[x.Sites[2].Peer]
	cut := func() { victim.SetCut(true) }
	mend := func() { victim.SetCut(false) }
	list := x.load(8*time.Second, 2*time.Second, []func(){cut, mend}, x.stream("/lookups", 60, x.Sites[0], x.Sites[1]), x.stream("/deposits", 60, x.Sites[0], x.Sites[1]))
	t.Logf("%v", tally(list))
	for _, o := range list {
		if o.Stream == "lookups" && !o.Whole {
			t.Errorf("idempotent request %s at %s: %s %s", o.ID, o.Intended, o.Code, o.Run)
		}
	}
	x.noneDoubled()
	x.honest(list)
	x.sound()
}

// TestSilentStore makes the connections between the nodes and the store silent; a change is in force everywhere afterwards.
func TestSilentStore(t *testing.T) {
	x := start(t, layout{booking: 3})
	before, err := x.Status(x.Sites[0])
	x.is.NoErr(err)
	x.is.NoErr(x.SetFault(map[string]any{"DelayMs": 3000}))
	list := x.load(4*time.Second, time.Second, nil, x.stream("/deposits", 60))
	x.allWhole(list)
	x.is.NoErr(x.SetFault(map[string]any{}))
	x.is.NoErr(x.Apply(x.Sites[1], withdraw("golf", "golf1")))
	x.inForce(before.Revision + 1)
}
