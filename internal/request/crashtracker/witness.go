package crashtracker

import (
	"sync"
	"sync/atomic"
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

// Witness counts the crashes of backend servers whose nodes ended before they reported the crash: it keeps the requests
// that were interrupted at other nodes, and counts a crash against them if another process of the backend server is
// reported next.
type Witness interface {
	// RecordInterrupted keeps a request that was interrupted at the node at the address or at its backend server.
	RecordInterrupted(now time.Time, address string, fingerprint uint64)
	// RecordAbandoned keeps a request that this node left while the node at the address had it; its backend server may run
	// it until the given time.
	RecordAbandoned(now, until time.Time, address string, fingerprint uint64)
	// RecordResponse drops the requests that had ended before the backend server responded to one sent later.
	RecordResponse(sent time.Time, address string)
	// ApplyProcess counts a crash if the node at the address reports another process than the one that may have run requests;
	// leaving says that the process is going to end as announced, which is no crash for abandoned requests.
	ApplyProcess(now time.Time, address string, p BackendProcess, leaving bool)
}

// witnessed is a request that may have run on the process until the given time; abandoned says that this node left it.
type witnessed struct {
	fingerprint uint64
	process     BackendProcess
	until       time.Time
	abandoned   bool
}

type witness struct {
	tracker   CrashTracker
	processes Processes

	mu sync.Mutex

	// interrupted holds the requests by the address of the node.
	interrupted map[string][]witnessed
	count       atomic.Int64

	// leaving holds, by the address of the node, the processes that announced their end.
	leaving map[string]BackendProcess
}

// NewWitness returns a witness that counts crashes with the tracker.
func NewWitness(t CrashTracker, p Processes) Witness {
	return &witness{
		tracker:     t,
		processes:   p,
		interrupted: map[string][]witnessed{},
		leaving:     map[string]BackendProcess{},
	}
}

// RecordInterrupted keeps a request that was interrupted at the node at the address or at its backend server.
func (w *witness) RecordInterrupted(now time.Time, address string, fingerprint uint64) {
	w.record(now, address, witnessed{
		fingerprint: fingerprint,
		until:       now,
	})
}

// RecordAbandoned keeps a request that this node left while the node at the address had it.
func (w *witness) RecordAbandoned(now, until time.Time, address string, fingerprint uint64) {
	w.record(now, address, witnessed{
		fingerprint: fingerprint,
		until:       until,
		abandoned:   true,
	})
}

func (w *witness) record(now time.Time, address string, i witnessed) {
	i.process = w.processes.BackendProcess(address)
	if !i.process.Known() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count.Load() >= witnessedMax {
		w.removeExpired(now)
	}
	if w.count.Load() >= witnessedMax {
		return
	}
	w.count.Add(1)
	w.interrupted[address] = append(w.interrupted[address], i)
}

// removeExpired removes the requests that no longer count; w.mu is held.
func (w *witness) removeExpired(now time.Time) {
	for address := range w.interrupted {
		w.keep(address, func(i witnessed) bool { return now.Sub(i.until) < witnessRetention })
	}
}

// keep removes the requests at the address for which kept returns false; w.mu is held.
func (w *witness) keep(address string, kept func(witnessed) bool) {
	list := w.interrupted[address]
	rest := list[:0]
	for _, i := range list {
		if kept(i) {
			rest = append(rest, i)
		}
	}
	w.count.Add(int64(len(rest) - len(list)))
	w.interrupted[address] = rest
	if len(rest) == 0 {
		delete(w.interrupted, address)
	}
}

// RecordResponse drops the requests that had ended before the backend server responded to one sent later.
func (w *witness) RecordResponse(sent time.Time, address string) {
	if w.count.Load() == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keep(address, func(i witnessed) bool { return !i.until.Before(sent) })
}

// ApplyProcess counts a crash if the node at the address reports another process than the one that may have run requests.
func (w *witness) ApplyProcess(now time.Time, address string, p BackendProcess, leaving bool) {
	if !p.Known() {
		return
	}
	if leaving {
		w.setLeaving(address, p)
	}
	if w.count.Load() == 0 {
		return
	}
	for crashed, requests := range w.takeCrashed(now, address, p) {
		w.tracker.RecordCrash(now, crashed, requests)
	}
}

func (w *witness) setLeaving(address string, p BackendProcess) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving[address] = p
}

// takeCrashed removes the requests that may have run on other processes than p, and returns those that count.
func (w *witness) takeCrashed(now time.Time, address string, p BackendProcess) map[BackendProcess][]uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	crashed := map[BackendProcess][]uint64{}
	w.keep(address, func(i witnessed) bool {
		announced := i.abandoned && w.leaving[address] == i.process
		if i.process != p && now.Sub(i.until) < witnessRetention && !announced {
			crashed[i.process] = append(crashed[i.process], i.fingerprint)
		}
		return i.process == p
	})
	return crashed
}
