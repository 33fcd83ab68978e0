package crashtracker

import (
	"sync"
	"time"
)

const (
	// witnessRetention is how long a request that was at a node which broke off is kept; the next process of a crashed
	// backend server reports within this time.
	witnessRetention = 10 * time.Second

	// witnessedMax bounds the number of these requests.
	witnessedMax = 4096
)

// Processes knows the backend servers beside the nodes.
type Processes interface {
	// BackendProcess returns the process that the node at the address reported last.
	BackendProcess(address string) BackendProcess
}

// Witness counts the crashes of backend servers whose nodes ended with them: it keeps the requests that it had sent to a
// node which broke off, and counts a crash against them if another process of the backend server is reported next.
type Witness interface {
	// RecordInterrupted keeps a request that was sent to the node at the address, which broke off.
	RecordInterrupted(now time.Time, address string, fingerprint uint64)
	// ApplyProcess counts a crash if the node at the address reports another process than the one that was interrupted.
	ApplyProcess(now time.Time, address string, p BackendProcess)
}

// witnessed is a request that may have run on the process when its node broke off.
type witnessed struct {
	fingerprint uint64
	process     BackendProcess
	at          time.Time
}

type witness struct {
	tracker   CrashTracker
	processes Processes

	mu sync.Mutex

	// interrupted holds the requests by the address of the node.
	interrupted map[string][]witnessed
	count       int
}

// NewWitness returns a witness that counts crashes with the tracker.
func NewWitness(t CrashTracker, p Processes) Witness {
	return &witness{
		tracker:     t,
		processes:   p,
		interrupted: map[string][]witnessed{},
	}
}

// RecordInterrupted keeps a request that was sent to the node at the address, which broke off.
func (w *witness) RecordInterrupted(now time.Time, address string, fingerprint uint64) {
	p := w.processes.BackendProcess(address)
	if !p.Known() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count >= witnessedMax {
		w.removeExpired(now)
	}
	if w.count >= witnessedMax {
		return
	}
	w.count++
	w.interrupted[address] = append(w.interrupted[address], witnessed{
		fingerprint: fingerprint,
		process:     p,
		at:          now,
	})
}

// removeExpired removes the requests that no longer count; w.mu is held.
func (w *witness) removeExpired(now time.Time) {
	for address, list := range w.interrupted {
		kept := list[:0]
		for _, i := range list {
			if now.Sub(i.at) < witnessRetention {
				kept = append(kept, i)
			}
		}
		w.count -= len(list) - len(kept)
		w.interrupted[address] = kept
		if len(kept) == 0 {
			delete(w.interrupted, address)
		}
	}
}

// ApplyProcess counts a crash if the node at the address reports another process than the one that was interrupted.
func (w *witness) ApplyProcess(now time.Time, address string, p BackendProcess) {
	if !p.Known() {
		return
	}
	for crashed, requests := range w.takeCrashed(now, address, p) {
		w.tracker.RecordCrash(now, crashed, requests)
	}
}

// takeCrashed removes the requests that were interrupted on other processes than p, and returns those that count.
func (w *witness) takeCrashed(now time.Time, address string, p BackendProcess) map[BackendProcess][]uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.interrupted[address]
	if len(list) == 0 {
		return nil
	}
	crashed := map[BackendProcess][]uint64{}
	kept := list[:0]
	for _, i := range list {
		switch {
		case i.process == p:
			kept = append(kept, i)
		case now.Sub(i.at) < witnessRetention:
			crashed[i.process] = append(crashed[i.process], i.fingerprint)
		}
	}
	w.count -= len(list) - len(kept)
	w.interrupted[address] = kept
	if len(kept) == 0 {
		delete(w.interrupted, address)
	}
	return crashed
}
