package recorder

import (
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/lessor"
)

// The calls of a keeper of rates.
const (
	CallConfigure = "Configure"
	CallOpen      = "Open"
	CallClose     = "Close"
	CallDraw      = "Draw"
	CallImport    = "Import"
)

// Import is a recorded takeover of a slot with its loans.
type Import struct {
	Slot    int
	Buckets []lessor.BucketState
}

// Open is a recorded opening of a slot.
type Open struct {
	Slot  int
	Fresh bool
}

type rates struct {
	lessor.Lessor
	recorder Recorder
	now      func() time.Time
}

// Rates returns the keeper k with each decision recorded.
func Rates(r Recorder, now func() time.Time, k lessor.Lessor) lessor.Lessor {
	return &rates{
		Lessor:   k,
		recorder: r,
		now:      now,
	}
}

// Configure records the workspaces, without their keys.
func (k *rates) Configure(now time.Time, workspaces []chivegauge.Workspace) {
	k.Lessor.Configure(now, workspaces)
	plain := make([]chivegauge.Workspace, 0, len(workspaces))
	for _, w := range workspaces {
		w.Keys = nil
		plain = append(plain, w)
	}
	k.recorder.Record(now, PartRates, CallConfigure, plain, nil)
}

// Open records that a slot is kept.
func (k *rates) Open(now time.Time, slot int, fresh bool) {
	k.Lessor.Open(now, slot, fresh)
	k.recorder.Record(now, PartRates, CallOpen, Open{
		Slot:  slot,
		Fresh: fresh,
	}, nil)
}

// Close records that a slot is no longer kept.
func (k *rates) Close(slot int) {
	k.Lessor.Close(slot)
	k.recorder.Record(k.now(), PartRates, CallClose, slot, nil)
}

// Grant records what a holder was lent.
func (k *rates) Grant(now time.Time, d lessor.LeaseRequest, random lessor.Random) lessor.Grant {
	g := k.Lessor.Grant(now, d, random)
	k.recorder.Record(now, PartRates, CallDraw, d, g)
	return g
}

// Export records that a slot is handed to another node.
func (k *rates) Export(now time.Time, slot int) ([]lessor.BucketState, bool) {
	states, ok := k.Lessor.Export(now, slot)
	k.recorder.Record(now, PartRates, CallClose, slot, nil)
	return states, ok
}

// Import records that a slot is taken over with its loans.
func (k *rates) Import(now time.Time, slot int, states []lessor.BucketState) {
	k.Lessor.Import(now, slot, states)
	k.recorder.Record(now, PartRates, CallImport, Import{
		Slot:    slot,
		Buckets: states,
	}, nil)
}
