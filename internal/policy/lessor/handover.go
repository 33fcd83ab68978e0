package lessor

import "time"

// BucketState is a bucket of a slot in the form in which it is handed over to the next owner.
type BucketState struct {
	Workspace string
	Level     float64
	Leases    []LeaseState
}

// LeaseState is one lease in a BucketState, with token counts since the lease began and the time left until it expires.
type LeaseState struct {
	Lease     uint64
	Granted   float64
	Consumed  float64
	Returned  float64
	Remaining time.Duration `json:"Left"`
}

// Export releases a slot and returns its buckets, or false if the slot was not open.
func (ls *lessor) Export(now time.Time, n int) ([]BucketState, bool) {
	s, owned := ls.slots[n]
	if !owned || now.Before(s.opensAt) {
		ls.Close(n)
		return nil, false
	}
	var states []BucketState
	for workspace, r := range ls.rates {
		if !r.slots[n] {
			continue
		}
		key := bucketKey{
			workspace: workspace,
			slot:      n,
		}
		b := ls.bucket(key, s, r)
		if b == nil {
			continue
		}
		ls.fill(now, key, b)
		states = append(states, b.state(now, workspace))
	}
	ls.Close(n)
	return states, true
}

func (b *bucket) state(now time.Time, workspace string) BucketState {
	state := BucketState{
		Workspace: workspace,
		Level:     b.level,
	}
	for id, l := range b.leases {
		state.Leases = append(state.Leases, LeaseState{
			Lease:     id,
			Granted:   l.granted,
			Consumed:  l.consumed,
			Returned:  l.returned,
			Remaining: l.expires.Sub(now),
		})
	}
	return state
}

// Import opens a slot at once, instead of when the leases of its previous owner expire, with the
// buckets which that owner handed over; a workspace without a bucket among them starts empty.
func (ls *lessor) Import(now time.Time, n int, states []BucketState) {
	s, owned := ls.slots[n]
	if !owned || !now.Before(s.opensAt) {
		return
	}
	ls.slots[n] = slot{
		opensAt: now,
	}
	for _, state := range states {
		b := &bucket{
			level:   state.Level,
			updated: now,
			leases:  map[uint64]*lease{},
		}
		for _, l := range state.Leases {
			b.leases[l.Lease] = &lease{
				granted:  l.Granted,
				consumed: l.Consumed,
				returned: l.Returned,
				expires:  now.Add(l.Remaining),
			}
		}
		ls.buckets[bucketKey{
			workspace: state.Workspace,
			slot:      n,
		}] = b
	}
}
