package crashtracker

import "maps"

// Counters count the crashes of backend servers that ran one request, by the ID of the crashed process: several nodes
// may recognise the same crash. Each counter only grows, so that nodes that merge the same counters in any order, and any
// number of times, agree.
type Counters struct {
	// Crashes is the number of crashes of each process; nodes of earlier versions counted by the node that recognised them.
	Crashes map[uint64]int

	// Cleared is the number of those crashes that no longer count, because the request completed after them.
	Cleared map[uint64]int `json:",omitempty"`
}

// Sum returns the number of crashes that count.
func (c Counters) Sum() int {
	sum := 0
	for process, crashes := range c.Crashes {
		sum += max(0, crashes-c.Cleared[process])
	}
	return sum
}

// WithCrash returns the counters with the crash of the process, which crashes only once.
func (c Counters) WithCrash(p BackendProcess) Counters {
	return c.WithMerged(Counters{
		Crashes: map[uint64]int{
			p.id(): 1,
		},
	})
}

// WithCleared returns the counters with all crashes so far cleared.
func (c Counters) WithCleared() Counters {
	return c.WithMerged(Counters{
		Cleared: c.Crashes,
	})
}

// WithMerged returns the counters with the higher value of each counter.
func (c Counters) WithMerged(other Counters) Counters {
	return Counters{
		Crashes: mergeMax(c.Crashes, other.Crashes),
		Cleared: mergeMax(c.Cleared, other.Cleared),
	}
}

// Equal reports whether all counters are equal.
func (c Counters) Equal(other Counters) bool {
	return maps.Equal(c.Crashes, other.Crashes) && maps.Equal(c.Cleared, other.Cleared)
}

func mergeMax(a, b map[uint64]int) map[uint64]int {
	out := make(map[uint64]int, max(len(a), len(b)))
	maps.Copy(out, a)
	for process, n := range b {
		out[process] = max(out[process], n)
	}
	return out
}
