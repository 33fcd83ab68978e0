package registrar

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/timekeeper"
	"github.com/chivegauge/chivegauge/internal/request/crashtracker"
	"github.com/rs/zerolog"
)

// View is what a store holds; its era changes when the store comes back from an older copy.
type View struct {
	Era     uint64
	Records []Record
}

// Store keeps the records of all nodes.
type Store interface {
	// List returns all records; if stale is set, they may be some seconds old.
	List(ctx context.Context, stale bool) (View, error)
	// Get returns the record of the address, or no record if there is none.
	Get(ctx context.Context, address string) (View, error)
	// Put writes the record, and returns the era of the store that has it.
	Put(ctx context.Context, r Record) (era uint64, err error)
	// Delete removes the record of the address.
	Delete(ctx context.Context, address string) error
}

// Notifier sends records to other nodes.
type Notifier interface {
	Notify(ctx context.Context, m chivegauge.Member, r Record) error
}

// Config holds the timeouts and periods of the calls.
type Config struct {
	// Timeout is the timeout of one call to the store.
	Timeout time.Duration

	// NotifyTimeout is the timeout of one message to another node.
	NotifyTimeout time.Duration

	// Period is the time between two reads of the list.
	Period time.Duration

	// StartupPeriod is the shorter time between two reads of the list in the startup phase.
	StartupPeriod time.Duration

	// StartupTime is the length of the startup phase.
	StartupTime time.Duration

	// StaleMax is how long after a write a stale list may still miss it.
	StaleMax time.Duration

	// SettleTime is how long other nodes take to write their records again after the store has lost them.
	SettleTime time.Duration

	// RetryMax is the longest backoff after a failed call.
	RetryMax time.Duration

	// Describe returns the record of this node with the state of its backend server, once the list has been read.
	Describe func(Record) Record
}

// Registrar keeps the list of nodes.
type Registrar interface {
	// Serve keeps the list up to date until the context ends.
	Serve(ctx context.Context) error
	// Synced reports whether the list has been read at least once.
	Synced() bool
	// Settled reports whether the list can be taken for whole.
	Settled() bool
	// Self returns this node.
	Self() chivegauge.Member
	// Service returns the nodes whose backend servers serve the service.
	Service(name string) []chivegauge.Member
	// Alive returns all nodes that are not stopping, including this one.
	Alive() []chivegauge.Member
	// Len returns the number of nodes that have not left.
	Len() int
	// BackendProcess returns the process of the backend server beside another node that reported last.
	BackendProcess(address string) crashtracker.BackendProcess
	// Update changes the record of this node, notifies the other nodes and writes it; the error is that of the write.
	Update(ctx context.Context, f func(Record) Record) error
	// Merge stores the record of another node if it is newer.
	Merge(r Record)
	// Withdraw removes the record of this node from the store and notifies the other nodes.
	Withdraw(ctx context.Context) error
	// Subscribe registers a function that is called when the number of nodes changes.
	Subscribe(f func(n int))
	// SubscribeRecords registers a function that is called with each record that is read or received.
	SubscribeRecords(f func(rec Record))
	// SubscribeChanges registers a function that is called with each record that replaces an older one.
	SubscribeChanges(f func(rec Record))
	// SubscribeDepartures registers a function that is called with a record of this node's address that says that a backend
	// server is leaving: one that an earlier process of this node wrote or sent.
	SubscribeDepartures(f func(rec Record))
}

type registrar struct {
	cfg         Config
	store       Store
	notifier    Notifier
	log         zerolog.Logger
	subscribers []func(n int)
	onRecord    []func(rec Record)
	onChange    []func(rec Record)
	onDeparture []func(rec Record)
	byService   atomic.Pointer[map[string][]chivegauge.Member]
	alive       atomic.Pointer[[]chivegauge.Member]
	syncedAt    atomic.Pointer[time.Time]
	group       sync.WaitGroup
	writeMu     sync.Mutex

	mu       sync.Mutex
	own      Record
	previous *Record
	records  map[string]Record
	failing  bool

	// storedChange is the last change of this node's record that the store acknowledged, at storedAt and in storedEra.
	storedChange uint64
	storedAt     time.Time
	storedEra    uint64
}

// New returns a registrar of the node.
func New(cfg Config, s Store, n Notifier, own Record, log zerolog.Logger) Registrar {
	r := &registrar{
		cfg:      cfg,
		store:    s,
		notifier: n,
		log:      log,
		own:      own,
		records:  map[string]Record{},
	}
	r.publish()
	return r
}

// BackendProcess returns the process of the backend server beside another node that reported last.
func (r *registrar) BackendProcess(address string) crashtracker.BackendProcess {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records[address].Process()
}

// Synced reports whether the list has been read at least once.
func (r *registrar) Synced() bool {
	return r.syncedAt.Load() != nil
}

// Settled reports whether the list can be taken for whole: when it was first read, it had a record of an earlier process of
// this node, or that is SettleTime ago. A store that has come back from an older copy may have lost that record and those of
// other nodes.
func (r *registrar) Settled() bool {
	at := r.syncedAt.Load()
	if at == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.previous != nil || time.Since(*at) >= r.cfg.SettleTime
}

// Self returns this node.
func (r *registrar) Self() chivegauge.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own.Member
}

// Service returns the nodes of the service; the caller must not modify the slice.
func (r *registrar) Service(name string) []chivegauge.Member {
	return (*r.byService.Load())[name]
}

// Alive returns all nodes that are not stopping; the caller must not modify the slice.
func (r *registrar) Alive() []chivegauge.Member {
	return *r.alive.Load()
}

// Len returns the number of nodes that have not left, including this one.
func (r *registrar) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.otherNodes()) + 1
}

// otherNodes returns the other nodes that have not left; r.mu is held.
func (r *registrar) otherNodes() []Record {
	list := make([]Record, 0, len(r.records))
	for _, rec := range r.records {
		if rec.Member.State < chivegauge.Left {
			list = append(list, rec)
		}
	}
	return list
}

// Serve reads the list, writes the record of this node, and then reads the list periodically.
func (r *registrar) Serve(ctx context.Context) error {
	wait := r.cfg.StartupPeriod
	started := time.Now()
	for ctx.Err() == nil {
		if err := r.refresh(ctx); err != nil {
			r.logFailure(err)
			wait = min(2*wait, r.cfg.RetryMax)
		} else {
			r.logRecovery()
			wait = r.cfg.Period
			if time.Since(started) < r.cfg.StartupTime {
				wait = r.cfg.StartupPeriod
			}
		}
		timekeeper.Sleep(ctx, wait*3/4+rand.N(wait/2))
	}
	r.group.Wait()
	return ctx.Err()
}

func (r *registrar) refresh(ctx context.Context) error {
	first := !r.Synced()
	callCtx, cancel := context.WithTimeout(ctx, r.cfg.Timeout)
	defer cancel()
	view, err := r.store.List(callCtx, !first)
	if err != nil {
		return err
	}
	changed := first
	for _, rec := range view.Records {
		changed = r.mergeRecord(rec, first) || changed
	}
	if changed {
		r.publish()
	}
	if !first {
		return r.repair(ctx, view)
	}
	now := time.Now()
	r.syncedAt.Store(&now)
	return r.Update(ctx, func(rec Record) Record { return r.cfg.Describe(r.supersedePrevious(rec)) })
}

// supersedePrevious raises the incarnation of the record above that of an earlier process at this address, and keeps what
// still holds of it.
func (r *registrar) supersedePrevious(rec Record) Record {
	if r.previous == nil {
		return rec
	}
	rec.Member = rec.Member.WithIncarnationAbove(r.previous.Member)
	rec.Refused = r.previous.Refused
	return rec.WithDepartureOf(*r.previous)
}

// mergeRecord stores a record that is newer than the stored one of its address, and reports whether it is; in the first
// list, a record of this node's address by another process becomes the previous record.
func (r *registrar) mergeRecord(rec Record, first bool) bool {
	if err := rec.Validate(time.Now()); err != nil {
		r.log.Warn().Err(err).Str("Address", rec.Member.Address).Msg("record of a node ignored")
		return false
	}
	for _, f := range r.onRecord {
		f(rec)
	}
	if rec.Leaving && rec.Member.Address == r.Self().Address {
		for _, f := range r.onDeparture {
			f(rec)
		}
	}
	known, replaced := r.replace(rec, first)
	if known.Leaving && !rec.Leaving && !known.Newer(rec) {
		r.notify([]Record{known}, known) // its node does not know of the departure
	}
	if !replaced {
		return false
	}
	for _, f := range r.onChange {
		f(known)
	}
	return true
}

// replace stores the record of another node if it is newer, and returns what is known of the node then, and whether the
// record was newer; first says that it was read when this node started. A departure is final: a node that was restarted may
// not know of it any more.
func (r *registrar) replace(rec Record, first bool) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec.Member.Address == r.own.Member.Address {
		if first && rec.Member.Incarnation != r.own.Member.Incarnation {
			r.previous = &rec
		}
		return rec, false
	}
	old, ok := r.records[rec.Member.Address]
	if ok && !rec.Newer(old) {
		return old, false
	}
	rec = rec.WithDepartureOf(old)
	r.records[rec.Member.Address] = rec
	return rec, true
}

// Merge stores the record of another node; a node that was unknown before is sent the record of this node.
func (r *registrar) Merge(rec Record) {
	r.mu.Lock()
	_, ok := r.records[rec.Member.Address]
	own := r.own
	r.mu.Unlock()
	if !r.mergeRecord(rec, false) {
		return
	}
	r.publish()
	if !ok && rec.Member.State < chivegauge.Left {
		r.notify([]Record{rec}, own)
	}
}

// publish rebuilds the lists of nodes and calls the subscribers with the number of nodes.
func (r *registrar) publish() {
	r.mu.Lock()
	byService := map[string][]chivegauge.Member{}
	list := r.otherNodes()
	alive := make([]chivegauge.Member, 0, len(list)+1)
	for _, rec := range append(list, r.own) {
		if rec.Member.State == chivegauge.Alive {
			alive = append(alive, rec.Member)
		}
		if rec.Member.State == chivegauge.Alive && !rec.Leaving && rec.Instance != "" {
			byService[rec.Member.Service] = append(byService[rec.Member.Service], rec.Member)
		}
	}
	r.byService.Store(&byService)
	r.alive.Store(&alive)
	n := len(list) + 1
	r.mu.Unlock()
	for _, f := range r.subscribers {
		f(n)
	}
}

// Update changes the record of this node, notifies the other nodes without waiting for the store, and writes it.
func (r *registrar) Update(ctx context.Context, f func(Record) Record) error {
	r.writeMu.Lock()
	defer r.writeMu.Unlock()
	r.mu.Lock()
	change := r.own.Change + 1
	r.own = f(r.own)
	r.own.Change = change
	own := r.own
	others := r.otherNodes()
	r.mu.Unlock()
	r.publish()
	r.notify(others, own)
	if !r.Synced() {
		return nil
	}
	return r.put(ctx, own)
}

// notify sends the record to the nodes without waiting for their responses.
func (r *registrar) notify(to []Record, rec Record) {
	for _, other := range to {
		r.group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), r.cfg.NotifyTimeout)
			defer cancel()
			if err := r.notifier.Notify(ctx, other.Member, rec); err != nil {
				r.log.Debug().Err(err).Str("Node", other.Member.Address).Msg("node not told of a change")
			}
		})
	}
}

// Withdraw removes the record of this node.
func (r *registrar) Withdraw(ctx context.Context) error {
	leave := func(rec Record) Record { return rec.WithState(chivegauge.Left) }
	if err := r.Update(ctx, leave); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout)
	defer cancel()
	return r.store.Delete(ctx, r.Self().Address)
}
