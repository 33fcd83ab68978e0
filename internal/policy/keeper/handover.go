package keeper

import "time"

// BucketState is a bucket of a slot as one keeper hands it to the next.
type BucketState struct {
	Workspace string
	Level     float64
	Leases    []LeaseState
}

// LeaseState is what is lent to one holder, and for how long it counts.
type LeaseState struct {
	Lease    uint64
	Granted  float64
	Consumed float64
	Returned float64
	Left     time.Duration
}

// Export stops keeping a slot that is open and returns its buckets; false says that it was not open.
func (k *keeper) Export(now time.Time, n int) ([]BucketState, bool) {
	s, kept := k.slots[n]
	if !kept || now.Before(s.opens) {
		k.Close(n)
		return nil, false
	}
	var states []BucketState
	for workspace, r := range k.rates {
		if !r.slots[n] {
			continue
		}
		key := bucketKey{
			workspace: workspace,
			slot:      n,
		}
		b := k.bucket(key, s, r)
		if b == nil {
			continue
		}
		k.fill(now, key, b)
		states = append(states, b.state(now, workspace))
	}
	k.Close(n)
	return states, true
}

func (b *bucket) state(now time.Time, workspace string) BucketState {
	state := BucketState{
		Workspace: workspace,
		Level:     b.level,
	}
	for id, l := range b.leases {
		state.Leases = append(state.Leases, LeaseState{
			Lease:    id,
			Granted:  l.granted,
			Consumed: l.consumed,
			Returned: l.returned,
			Left:     l.ends.Sub(now),
		})
	}
	return state
}

// Import opens a slot that waits for the loans of its earlier keeper, with the
// buckets that this keeper handed over; a workspace without one starts empty.
func (k *keeper) Import(now time.Time, n int, states []BucketState) {
	s, kept := k.slots[n]
	if !kept || !now.Before(s.opens) {
		return
	}
	k.slots[n] = slot{
		opens: now,
	}
	for _, state := range states {
		b := &bucket{
			level:  state.Level,
			at:     now,
			leases: map[uint64]*lease{},
		}
		for _, l := range state.Leases {
			b.leases[l.Lease] = &lease{
				granted:  l.Granted,
				consumed: l.Consumed,
				returned: l.Returned,
				ends:     now.Add(l.Left),
			}
		}
		k.buckets[bucketKey{
			workspace: state.Workspace,
			slot:      n,
		}] = b
	}
}
