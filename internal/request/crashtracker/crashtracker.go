package crashtracker

import (
	"context"
	"maps"
	"math/rand/v2"
	"strconv"
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

	// trialDelay is the time from the last crash to the trial of a refused request; it doubles with each further crash,
	// trialDoublingsMax times.
	trialDelay        = 10 * time.Second
	trialDoublingsMax = 4

	// retention is how long crashes count against a request.
	retention = 5 * time.Minute

	// recordsMax bounds the number of requests with counted crashes; each crash of a backend server adds a few hundred.
	recordsMax = 20000

	// batchDelay is how long a report waits for further crashes, sendTimeout bounds the sending of one report.
	batchDelay  = 100 * time.Millisecond
	sendTimeout = 400 * time.Millisecond

	// syncInterval is the time between two reports of refused requests, each to one random node; with n nodes that refuse
	// a request, one that doesn't receives about n reports in that time. A report has at most syncMax requests.
	syncInterval = 500 * time.Millisecond
	syncMax      = 256
)

// CrashReport is a report that nodes send to each other.
type CrashReport struct {
	// From is the address to which the receiver sends its counts where they are higher, or empty.
	From string `json:",omitempty"`

	// SentAtMs is the sender's time of day, in milliseconds since 1970; 0 in a stored report.
	SentAtMs int64 `json:",omitempty"`

	Requests Requests
}

// Requests are requests by fingerprint.
type Requests map[uint64]Request

// age returns how long before the report the last crash was; that of a stored report is relative to now.
func (r CrashReport) age(now time.Time, q Request) time.Duration {
	sentAtMs := r.SentAtMs
	if sentAtMs == 0 {
		sentAtMs = now.UnixMilli()
	}
	return time.Duration(max(0, sentAtMs-q.LastCrashMs)) * time.Millisecond
}

// Request is what a node knows of one request.
type Request struct {
	Counters

	// LastCrashMs is the time of day of the last crash at the sender, in milliseconds since 1970.
	LastCrashMs int64
}

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
	// RecordCrash counts a crash of a backend server against the requests that it ran, which are distinct.
	RecordCrash(now time.Time, fingerprints []uint64)
	// Clear clears a request that completed.
	Clear(now time.Time, fingerprint uint64)
	// Merge merges a report from another node.
	Merge(now time.Time, r CrashReport)
	// Serve broadcasts reports to the other nodes until the context ends, and returns its error.
	Serve(ctx context.Context) error
}

// Verdict is how a request is handled.
type Verdict int

// The verdicts.
const (
	// Unsuspected requests run like any other.
	Unsuspected Verdict = iota
	// Trial is the verdict for a refused request that is sent to one backend server, to find out whether it is harmless:
	// backend servers may have crashed together for another cause.
	Trial
	// Quarantined requests are refused.
	Quarantined
)

// record holds the counters of a request; lastCrash is when this node learned of the last crash, and lastTrial when it
// last admitted the request on trial.
type record struct {
	counters  Counters
	lastCrash time.Time
	lastTrial time.Time
}

// request returns the record as it is reported.
func (r record) request() Request {
	return Request{
		Counters:    r.counters,
		LastCrashMs: r.lastCrash.UnixMilli(),
	}
}

// Equal reports whether both say the same of the request.
func (q Request) Equal(other Request) bool {
	return q.Counters.Equal(other.Counters) && q.LastCrashMs == other.LastCrashMs
}

// trialDue reports whether a refused request may be tried at now.
func (r record) trialDue(now time.Time) bool {
	delay := trialDelay << min(trialDoublingsMax, r.counters.Sum()-crashesMax)
	return now.Sub(r.lastCrash) >= delay && now.Sub(r.lastTrial) >= delay
}

type crashTracker struct {
	// process identifies this process of the node in the counters.
	process  uint64
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
		process:  rand.Uint64(),
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

// Admit returns Trial if the trial of a refused request is due and this node is the one that admits it.
func (t *crashTracker) Admit(now time.Time, fingerprint uint64) Verdict {
	if !t.Quarantined(now, fingerprint) {
		return Unsuspected
	}
	if !t.admitsTrial(fingerprint) {
		return Quarantined
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[fingerprint]
	if !r.trialDue(now) {
		return Quarantined
	}
	r.lastTrial = now
	t.records[fingerprint] = r
	t.log.Info().Uint64("Fingerprint", fingerprint).Int("Deaths", r.counters.Sum()).Msg("refused request sent once, on trial")
	return Trial
}

// admitsTrial reports whether this node is the one that admits trials of the request.
func (t *crashTracker) admitsTrial(fingerprint uint64) bool {
	self := t.members.Self()
	none := func(chivegauge.Member) bool { return false }
	return chivegauge.Heaviest(self, t.members.Alive(), strconv.FormatUint(fingerprint, 10), none).Address == self.Address
}

// RecordCrash counts a crash against each of the requests.
func (t *crashTracker) RecordCrash(now time.Time, fingerprints []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range fingerprints {
		t.setCounters(now, f, t.records[f].counters.WithCrash(t.process), now)
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
	for f, r := range t.records {
		if now.Sub(r.lastCrash) > retention {
			delete(t.records, f)
		}
	}
	for f, r := range t.records {
		if len(t.records) < recordsMax {
			return
		}
		if r.counters.Sum() < crashesMax {
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

// Merge merges a report from another node, and sends back the counters that the sender lacks, such as after its
// restart.
func (t *crashTracker) Merge(now time.Time, r CrashReport) {
	if missing := t.merge(now, r); len(missing) > 0 && r.From != "" {
		t.group.Go(func() {
			t.send(context.Background(), chivegauge.Member{
				Address: r.From,
			}, CrashReport{
				SentAtMs: now.UnixMilli(),
				Requests: missing,
			})
		})
	}
}

// merge applies the report, and returns the counters that differ from it afterwards.
func (t *crashTracker) merge(now time.Time, r CrashReport) Requests {
	t.mu.Lock()
	defer t.mu.Unlock()
	missing := Requests{}
	for f, reported := range r.Requests {
		age := r.age(now, reported)
		if age > retention {
			continue
		}
		known := t.records[f].counters
		merged := known.WithMerged(reported.Counters)
		if !merged.Equal(known) {
			t.setCounters(now, f, merged, now.Add(-age))
		}
		if !merged.Equal(reported.Counters) {
			missing[f] = t.records[f].request()
		}
	}
	return missing
}

// wakeServe makes Serve send the pending report; t.mu is held.
func (t *crashTracker) wakeServe() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Serve broadcasts pending reports in batches, and reports the refused requests to one other node after the other, until
// the context ends.
func (t *crashTracker) Serve(ctx context.Context) error {
	defer t.group.Wait()
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			refused := t.refused(now)
			t.syncRandom(ctx, now, refused)
			t.publish(ctx, refused)
			continue
		case <-t.wake:
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(batchDelay):
		}
		t.broadcast(ctx, t.takePending(time.Now()))
	}
}

// takePending returns the report of the pending requests.
func (t *crashTracker) takePending(now time.Time) CrashReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := CrashReport{
		SentAtMs: now.UnixMilli(),
		Requests: make(Requests, len(t.pending)),
	}
	for f := range t.pending {
		if rec, ok := t.records[f]; ok {
			r.Requests[f] = rec.request()
		}
	}
	t.pending = map[uint64]bool{}
	return r
}

// broadcast sends the report to each other node; one that misses it is told by syncRandom if the request is refused.
func (t *crashTracker) broadcast(ctx context.Context, r CrashReport) {
	r.From = t.members.Self().Address
	for _, m := range t.otherNodes() {
		t.group.Go(func() { t.send(ctx, m, r) })
	}
}

func (t *crashTracker) otherNodes() []chivegauge.Member {
	self := t.members.Self().Address
	others := []chivegauge.Member{}
	for _, m := range t.members.Alive() {
		if m.Address != self {
			others = append(others, m)
		}
	}
	return others
}

// syncRandom reports the refused requests to a random node, which may have been restarted or out of reach.
func (t *crashTracker) syncRandom(ctx context.Context, now time.Time, refused Requests) {
	if len(refused) == 0 {
		return
	}
	others := t.otherNodes()
	if len(others) == 0 {
		return
	}
	m := others[rand.IntN(len(others))]
	r := CrashReport{
		From:     t.members.Self().Address,
		SentAtMs: now.UnixMilli(),
		Requests: refused,
	}
	t.group.Go(func() { t.send(ctx, m, r) })
}

// publish publishes those of the refused requests whose trials this node admits, if they have changed.
func (t *crashTracker) publish(ctx context.Context, refused Requests) {
	own := Requests{}
	for f, q := range refused {
		if t.admitsTrial(f) {
			own[f] = q
		}
	}
	if maps.EqualFunc(own, t.published, Request.Equal) {
		return
	}
	t.published = own
	t.group.Go(func() { t.store.PublishRefused(ctx, own) })
}

// refused returns at most syncMax refused requests.
func (t *crashTracker) refused(now time.Time) Requests {
	t.mu.Lock()
	defer t.mu.Unlock()
	refused := Requests{}
	for f, rec := range t.records {
		if len(refused) == syncMax {
			break
		}
		if now.Sub(rec.lastCrash) <= retention && rec.counters.Sum() >= crashesMax {
			refused[f] = rec.request()
		}
	}
	return refused
}

func (t *crashTracker) send(ctx context.Context, m chivegauge.Member, r CrashReport) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := t.notifier.NotifyCrashes(ctx, m, r); err != nil {
		t.log.Debug().Err(err).Str("Member", m.Address).Msg("node not told of deaths of backend servers")
	}
}
