package crashtracker

import (
	"context"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/rs/zerolog"
)

const (
	// crashesMax is the number of crashes at which a request is refused. A harmless request that many callers send may run
	// during three crashes; it is cleared when one with the same fingerprint completes, or in a trial.
	crashesMax = 3

	// broadcastFrom is the number of crashes from which the completion of a request is broadcast to the other nodes.
	broadcastFrom = crashesMax - 1

	// retention is how long crashes count against a request.
	retention = 5 * time.Minute

	// recordsMax bounds the number of requests with counted crashes; each crash of a backend server adds a few hundred.
	recordsMax = 20000
)

// Members is the list of the nodes that are alive.
type Members interface {
	Self() chivegauge.Member
	Alive() []chivegauge.Member
}

// Notifier sends reports to other nodes.
type Notifier interface {
	NotifyCrashes(ctx context.Context, m chivegauge.Member, r CrashReport) error
}

// Publisher stores refused requests for nodes that start when no other is left.
type Publisher interface {
	PublishRefused(ctx context.Context, refused Requests)
}

// CrashTracker counts the crashes of backend servers against requests.
type CrashTracker interface {
	// Quarantined reports whether requests with the fingerprint must not run, except on trial.
	Quarantined(now time.Time, fingerprint uint64) bool
	// Admit returns how a request that begins at this node is handled; one node at a time returns Trial for a fingerprint.
	Admit(now time.Time, fingerprint uint64) Verdict
	// Empty reports whether no crashes are counted, so that callers needn't compute fingerprints.
	Empty() bool
	// RecordCrash counts the crash of a process of a backend server against the requests that it ran; a crash that was
	// counted already changes nothing.
	RecordCrash(now time.Time, p BackendProcess, fingerprints []uint64)
	// Clear clears a request that completed.
	Clear(now time.Time, fingerprint uint64)
	// Merge merges a report from another node.
	Merge(now time.Time, r CrashReport)
	// Serve broadcasts reports to the other nodes until the context ends, and returns its error.
	Serve(ctx context.Context) error
}

type crashTracker struct {
	members  Members
	notifier Notifier
	store    Publisher
	log      zerolog.Logger
	wake     chan struct{}
	group    sync.WaitGroup

	mu      sync.Mutex
	records map[uint64]record

	// pending holds the fingerprints of the requests in the next report.
	pending map[uint64]bool

	// published holds the requests that this node published last.
	published Requests
}

// New returns a crash tracker without counted crashes.
func New(m Members, n Notifier, p Publisher, log zerolog.Logger) CrashTracker {
	return &crashTracker{
		members:  m,
		notifier: n,
		store:    p,
		log:      log,
		wake:     make(chan struct{}, 1),
		records:  map[uint64]record{},
		pending:  map[uint64]bool{},
	}
}

// Empty reports whether no crashes are counted.
func (t *crashTracker) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records) == 0
}

// Quarantined reports whether requests with the fingerprint must not run.
func (t *crashTracker) Quarantined(now time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[fingerprint]
	if ok && now.Sub(r.lastCrash) > retention {
		delete(t.records, fingerprint)
		return false
	}
	return r.counters.Sum() >= crashesMax
}

// RecordCrash counts a crash against each of the requests.
func (t *crashTracker) RecordCrash(now time.Time, p BackendProcess, fingerprints []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range fingerprints {
		known := t.records[f].counters
		c := known.WithCrash(p)
		if c.Equal(known) {
			continue
		}
		t.setCounters(now, f, c, now)
		t.pending[f] = true
	}
	t.wakeServe()
}

// setCounters replaces the counters of a request, with the time of the last crash if there are more crashes, and logs
// when the request begins or ceases to be refused; t.mu is held.
func (t *crashTracker) setCounters(now time.Time, f uint64, c Counters, lastCrash time.Time) {
	old, ok := t.records[f]
	if !ok && len(t.records) >= recordsMax {
		t.evict(now)
	}
	before, after := old.counters.Sum(), c.Sum()
	r := old
	r.counters = c
	if (after > before || !ok) && lastCrash.After(r.lastCrash) {
		r.lastCrash = lastCrash
	}
	t.records[f] = r
	switch {
	case before < crashesMax && after >= crashesMax:
		t.log.Warn().Uint64("Fingerprint", f).Int("Deaths", after).Msg("request refused from now on; backend servers died while they ran it")
	case before >= broadcastFrom && after == 0:
		t.log.Info().Uint64("Fingerprint", f).Int("Deaths", before).Msg("request completed; crashes no longer count against it")
	}
}

// evict removes the records that no longer count, and then any record of a request that isn't refused until there is
// space for one more; t.mu is held.
func (t *crashTracker) evict(now time.Time) {
	t.removeExpired(now)
	for f, r := range t.records {
		if len(t.records) < recordsMax {
			return
		}
		if r.counters.Sum() < crashesMax {
			delete(t.records, f)
		}
	}
}

// removeExpired removes the records that no longer count; t.mu is held.
func (t *crashTracker) removeExpired(now time.Time) {
	for f, r := range t.records {
		if now.Sub(r.lastCrash) > retention {
			delete(t.records, f)
		}
	}
}

// Clear clears a request, and broadcasts that it completed if other nodes refuse it or would at the next crash.
func (t *crashTracker) Clear(now time.Time, fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[fingerprint]
	crashes := r.counters.Sum()
	if !ok || crashes == 0 {
		return
	}
	t.setCounters(now, fingerprint, r.counters.WithCleared(), now)
	if crashes >= broadcastFrom {
		t.pending[fingerprint] = true
		t.wakeServe()
	}
}

// wakeServe makes Serve send the pending report; t.mu is held.
func (t *crashTracker) wakeServe() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}
