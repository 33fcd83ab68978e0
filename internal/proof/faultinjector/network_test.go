package faultinjector_test

import (
	"testing"
	"time"

	"github.com/chivegauge/chivegauge/internal/proof/faultinjector"
)

// TestSilentPeerConnections silences the open connections between nodes permanently, in both directions or from the
// server only; nodes must detect the silence, although no connection is closed, and still serve each request exactly
// once.
func TestSilentPeerConnections(t *testing.T) {
	cases := map[string]func(r *faultinjector.Relay){
		"both ways":    (*faultinjector.Relay).Silence,
		"answers only": (*faultinjector.Relay).Freeze,
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
			x.checkAllComplete(list)
			x.checkNoDuplicates()
			x.checkNotRun(list)
			x.checkInvariants()
		})
	}
}

// TestCutBetweenNodes cuts a node off from all others and reconnects it; idempotent requests must not fail.
func TestCutBetweenNodes(t *testing.T) {
	x := start(t, layout{
		booking: 3,
		relayed: true,
	})
	victim := x.relays[x.Instances[2].Peer]
	cut := func() { victim.SetCut(true) }
	reconnect := func() { victim.SetCut(false) }
	list := x.load(8*time.Second, 2*time.Second, []func(){cut, reconnect}, x.stream("/lookups", 60, x.Instances[0], x.Instances[1]), x.stream("/deposits", 60, x.Instances[0], x.Instances[1]))
	t.Logf("%v", tally(list))
	for _, o := range list {
		if o.Stream == "lookups" && !o.Complete {
			t.Errorf("idempotent request %s at %s: %s %s", o.ID, o.Intended, o.Code, o.Run)
		}
	}
	x.checkNoDuplicates()
	x.checkNotRun(list)
	x.checkInvariants()
}

// TestSilentStore delays the responses of the store by 3 s: requests must not fail, and a change afterwards must become
// active on every node.
func TestSilentStore(t *testing.T) {
	x := start(t, layout{booking: 3})
	before, err := x.Status(x.Instances[0])
	x.is.NoErr(err)
	x.is.NoErr(x.SetFault(map[string]any{"DelayMs": 3000}))
	list := x.load(4*time.Second, time.Second, nil, x.stream("/deposits", 60))
	x.checkAllComplete(list)
	x.is.NoErr(x.SetFault(map[string]any{}))
	x.is.NoErr(x.Apply(x.Instances[1], withdraw("golf", "golf1")))
	x.waitActive(before.Revision + 1)
}
