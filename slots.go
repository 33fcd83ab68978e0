package chivegauge

import (
	"encoding/json"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// SlotCount is the number of rate slots; the rate limit of each workspace is split over some of them.
const SlotCount = 64

// Slots is the allocation document, which states which node owns which slot.
type Slots struct {
	Revision uint64
	Slots    [SlotCount]SlotOwner
}

// SlotOwner is the process that owns a slot.
type SlotOwner struct {
	Address string
	Process uint64

	// Fresh states that the slot had no owner before this one.
	Fresh bool

	// Since is the revision of the document that made the process the owner.
	Since uint64
}

// Free reports whether the slot has no owner.
func (o SlotOwner) Free() bool {
	return o.Address == ""
}

// OwnedBy reports whether the member's current process owns the slot.
func (o SlotOwner) OwnedBy(m Member) bool {
	return o.Address == m.Address && o.Process == m.Process()
}

// WithOwner returns the document with the member's current process as the owner of the slot.
func (s Slots) WithOwner(slot int, m Member) Slots {
	s.Slots[slot] = SlotOwner{
		Address: m.Address,
		Process: m.Process(),
		Fresh:   s.Slots[slot].Free(),
		Since:   s.Revision,
	}
	return s
}

// WithRevision returns the document with the revision n.
func (s Slots) WithRevision(n uint64) Slots {
	s.Revision = n
	return s
}

// DecodeSlots returns the document that b encodes as JSON, or an error.
func DecodeSlots(b []byte) (Slots, error) {
	s := Slots{}
	if err := json.Unmarshal(b, &s); err != nil {
		return Slots{}, errors.Wrap(err, "decode slots")
	}
	return s, nil
}

// SlotsOf returns the slots that the rate limit of a workspace is split over, chosen by rendezvous hashing.
func SlotsOf(w Workspace) []int {
	all := make([]int, SlotCount)
	weights := make([]uint64, SlotCount)
	for n := range all {
		all[n] = n
		weights[n] = xxhash.Sum64String(w.Name + "|" + strconv.Itoa(n))
	}
	sort.Slice(all, func(i, j int) bool { return weights[all[i]] > weights[all[j]] })
	return all[:min(SlotCount, max(1, w.Spread))]
}
