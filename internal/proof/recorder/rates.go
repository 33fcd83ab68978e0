package recorder

import (
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/lessor"
)

// The recorded calls of a lessor.
const (
	CallConfigure = "Configure"
	CallOpen      = "Open"
	CallClose     = "Close"
	CallGrant     = "Draw"
	CallImport    = "Import"
)

// Import is the recorded import of a rate slot with the buckets of its previous owner.
type Import struct {
	Slot    int
	Buckets []lessor.BucketState
}

// Open is the recorded opening of a rate slot; Fresh reports whether no other process owned it before.
type Open struct {
	Slot  int
	Fresh bool
}

type recordingLessor struct {
	lessor.Lessor
	recorder Recorder
	now      func() time.Time
}

// NewLessor returns l with each decision recorded; now gives the time of calls that have no time parameter.
func NewLessor(r Recorder, now func() time.Time, l lessor.Lessor) lessor.Lessor {
	return &recordingLessor{
		Lessor:   l,
		recorder: r,
		now:      now,
	}
}

// Configure records the workspaces without their keys.
func (l *recordingLessor) Configure(now time.Time, workspaces []chivegauge.Workspace) {
	l.Lessor.Configure(now, workspaces)
	plain := make([]chivegauge.Workspace, 0, len(workspaces))
	for _, w := range workspaces {
		w.Keys = nil
		plain = append(plain, w)
	}
	l.recorder.Record(now, PartRates, CallConfigure, plain, nil)
}

// Open records that this node now owns a slot.
func (l *recordingLessor) Open(now time.Time, slot int, fresh bool) {
	l.Lessor.Open(now, slot, fresh)
	l.recorder.Record(now, PartRates, CallOpen, Open{
		Slot:  slot,
		Fresh: fresh,
	}, nil)
}

// Close records that this node no longer owns a slot.
func (l *recordingLessor) Close(slot int) {
	l.Lessor.Close(slot)
	l.recorder.Record(l.now(), PartRates, CallClose, slot, nil)
}

// Grant records a lease request and the tokens granted.
func (l *recordingLessor) Grant(now time.Time, req lessor.LeaseRequest, random lessor.Random) lessor.Grant {
	g := l.Lessor.Grant(now, req, random)
	l.recorder.Record(now, PartRates, CallGrant, req, g)
	return g
}

// Export records the handover of a slot to another node as a close.
func (l *recordingLessor) Export(now time.Time, slot int) ([]lessor.BucketState, bool) {
	states, ok := l.Lessor.Export(now, slot)
	l.recorder.Record(now, PartRates, CallClose, slot, nil)
	return states, ok
}

// Import records the import of a slot with the buckets of its previous owner.
func (l *recordingLessor) Import(now time.Time, slot int, states []lessor.BucketState) {
	l.Lessor.Import(now, slot, states)
	l.recorder.Record(now, PartRates, CallImport, Import{
		Slot:    slot,
		Buckets: states,
	}, nil)
}
