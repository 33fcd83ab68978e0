package chivegauge

import (
	"encoding/json"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// SlotCount is the number of slots that the rates of all workspaces are spread over.
const SlotCount = 64

// Slots is the one document that says which node keeps which slot.
type Slots struct {
	Revision uint64
	Slots    [SlotCount]SlotHolder
}

// SlotHolder is the process that keeps a slot since a revision; Fresh says that nobody kept it before.
type SlotHolder struct {
	Address string
	Process uint64
	Fresh   bool
	Since   uint64
}

// Free reports whether nobody keeps the slot.
func (h SlotHolder) Free() bool {
	return h.Address == ""
}

// HeldBy reports whether the process of the member keeps the slot.
func (h SlotHolder) HeldBy(m Member) bool {
	return h.Address == m.Address && h.Process == m.Process()
}

// WithHolder returns the document with the slot given to the process of the member.
func (s Slots) WithHolder(slot int, m Member) Slots {
	s.Slots[slot] = SlotHolder{
		Address: m.Address,
		Process: m.Process(),
		Fresh:   s.Slots[slot].Free(),
		Since:   s.Revision,
	}
	return s
}

// WithRevision returns the document at the next revision.
func (s Slots) WithRevision(n uint64) Slots {
	s.Revision = n
	return s
}

// DecodeSlots returns the document held in b, or an error.
func DecodeSlots(b []byte) (Slots, error) {
	s := Slots{}
	if err := json.Unmarshal(b, &s); err != nil {
		return Slots{}, errors.Wrap(err, "decode slots")
	}
	return s, nil
}

// SlotsOf returns the slots that the rate of a workspace is spread over.
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
