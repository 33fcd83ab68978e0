package registrar

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/timekeeper"
	"github.com/rs/zerolog"
)

// Store keeps the records of all nodes; a list may be some seconds old where stale says so.
type Store interface {
	List(ctx context.Context, stale bool) ([]Record, error)
	Put(ctx context.Context, r Record) error
	Delete(ctx context.Context, address string) error
}

// Teller tells another node of a record.
type Teller interface {
	Tell(ctx context.Context, m chivegauge.Member, r Record) error
}

// Config is how often the store is asked.
type Config struct {
	// Timeout bounds one call to the store, TellTimeout one message to another node.
	Timeout     time.Duration
	TellTimeout time.Duration

	// Period is the time between two lists; while the list is young, YoungPeriod.
	Period      time.Duration
	YoungPeriod time.Duration
	Young       time.Duration

	// StaleMax is how long after a write a list may still lack it.
	StaleMax time.Duration

	// RetryMax bounds the pause after a failed call.
	RetryMax time.Duration
}

// Registrar knows the nodes.
type Registrar interface {
	// Serve keeps the list until the context ends.
	Serve(ctx context.Context) error
	// Known reports whether the list has been read once.
	Known() bool
	// Self returns this node.
	Self() chivegauge.Member
	// Service returns the nodes beside backend servers of the service.
	Service(name string) []chivegauge.Member
	// Alive returns all nodes that are not stopping, this one included.
	Alive() []chivegauge.Member
	// Len returns the number of nodes that have not left.
	Len() int
	// Former returns the record that an earlier process wrote at this address, and whether there was one.
	Former() (Record, bool)
	// Change changes the own record, writes it and tells the others; it returns once the store has it, or the error.
	Change(ctx context.Context, f func(Record) Record) error
	// Learn takes in the record of another node.
	Learn(r Record)
	// Withdraw removes the own record from the store and tells the others.
	Withdraw(ctx context.Context) error
	// Listen registers a function that is called when the number of nodes changes.
	Listen(f func(n int))
}

type registrar struct {
	cfg    Config
	store  Store
	teller Teller
	log    zerolog.Logger
	listen []func(n int)
	view   atomic.Pointer[map[string][]chivegauge.Member]
	alive  atomic.Pointer[[]chivegauge.Member]
	known  atomic.Bool
	group  sync.WaitGroup
	writes sync.Mutex

	mu      sync.Mutex
	own     Record
	former  *Record
	records map[string]Record
	lost    bool

	// stored is the change of the own record that the store has acknowledged, at storedAt.
	stored   uint64
	storedAt time.Time
}

// New returns a registrar of the node.
func New(cfg Config, s Store, t Teller, own Record, log zerolog.Logger) Registrar {
	r := &registrar{
		cfg:     cfg,
		store:   s,
		teller:  t,
		log:     log,
		own:     own,
		records: map[string]Record{},
	}
	r.publish()
	return r
}

// Listen registers a listener; it must be called before Serve.
func (r *registrar) Listen(f func(n int)) {
	r.listen = append(r.listen, f)
}

// Known reports whether the list has been read once.
func (r *registrar) Known() bool {
	return r.known.Load()
}

// Self returns this node.
func (r *registrar) Self() chivegauge.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own.Member
}

// Service returns the nodes of the service; the slice must not be changed.
func (r *registrar) Service(name string) []chivegauge.Member {
	return (*r.view.Load())[name]
}

// Alive returns all nodes that are not stopping; the slice must not be changed.
func (r *registrar) Alive() []chivegauge.Member {
	return *r.alive.Load()
}

// Len returns the number of nodes that have not left, this one included.
func (r *registrar) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.present()) + 1
}

// present returns the other nodes that have not left; r.mu is held.
func (r *registrar) present() []Record {
	list := make([]Record, 0, len(r.records))
	for _, rec := range r.records {
		if rec.Member.State < chivegauge.Left {
			list = append(list, rec)
		}
	}
	return list
}

// Former returns the record of an earlier process.
func (r *registrar) Former() (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.former == nil {
		return Record{}, false
	}
	return *r.former, true
}

// Serve lists the records, writes the own one, and lists again and again.
func (r *registrar) Serve(ctx context.Context) error {
	pause := r.cfg.YoungPeriod
	began := time.Now()
	for ctx.Err() == nil {
		if err := r.round(ctx); err != nil {
			r.note(err)
			pause = min(2*pause, r.cfg.RetryMax)
		} else {
			r.regained()
			pause = r.cfg.Period
			if time.Since(began) < r.cfg.Young {
				pause = r.cfg.YoungPeriod
			}
		}
		timekeeper.Rest(ctx, pause*3/4+rand.N(pause/2))
	}
	r.group.Wait()
	return ctx.Err()
}

func (r *registrar) round(ctx context.Context) error {
	first := !r.Known()
	callCtx, cancel := context.WithTimeout(ctx, r.cfg.Timeout)
	defer cancel()
	list, err := r.store.List(callCtx, !first)
	if err != nil {
		return err
	}
	for _, rec := range list {
		r.take(rec, first)
	}
	r.publish()
	if !first {
		return r.repair(ctx, list)
	}
	r.known.Store(true)
	return r.Change(ctx, r.succeed)
}

// repair writes the own record again if the store did not acknowledge it, or if a late call of this process has put an
// earlier one in its place.
func (r *registrar) repair(ctx context.Context, list []Record) error {
	r.writes.Lock()
	defer r.writes.Unlock()
	r.mu.Lock()
	own := r.own
	due := r.stored != own.Change || (time.Since(r.storedAt) > r.cfg.StaleMax && !holds(list, own))
	r.mu.Unlock()
	if !due {
		return nil
	}
	return r.put(ctx, own)
}

// holds reports whether the list has the record.
func holds(list []Record, own Record) bool {
	for _, rec := range list {
		if rec.Member.Address == own.Member.Address {
			return !own.Newer(rec)
		}
	}
	return false
}

// succeed makes the own record replace that of an earlier process.
func (r *registrar) succeed(rec Record) Record {
	if r.former == nil {
		return rec
	}
	rec.Member = rec.Member.Succeeding(r.former.Member)
	return r.inherit(rec)
}

// inherit keeps in the record that a backend server leaves, until another start of it reports.
func (r *registrar) inherit(rec Record) Record {
	if !r.former.Leaving || rec.Instance != "" {
		return rec
	}
	rec.Instance = r.former.Instance
	rec.Born = r.former.Born
	rec.Sequence = r.former.Sequence
	rec.Leaving = true
	return rec
}

// take keeps a record that is newer than the known one of its address.
func (r *registrar) take(rec Record, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec.Member.Address == r.own.Member.Address {
		if first && rec.Member.Incarnation != r.own.Member.Incarnation {
			r.former = &rec
		}
		return
	}
	if old, ok := r.records[rec.Member.Address]; ok && !rec.Newer(old) {
		return
	}
	r.records[rec.Member.Address] = rec
}

// Learn takes in the record of another node; one not known before is told of this node.
func (r *registrar) Learn(rec Record) {
	r.mu.Lock()
	_, known := r.records[rec.Member.Address]
	own := r.own
	r.mu.Unlock()
	r.take(rec, false)
	r.publish()
	if !known && rec.Member.Address != own.Member.Address && rec.Member.State < chivegauge.Left {
		r.tell([]Record{rec}, own)
	}
}

// publish makes the list by service and tells the listeners of its length.
func (r *registrar) publish() {
	r.mu.Lock()
	view := map[string][]chivegauge.Member{}
	list := r.present()
	alive := make([]chivegauge.Member, 0, len(list)+1)
	for _, rec := range append(list, r.own) {
		if rec.Member.State == chivegauge.Alive {
			alive = append(alive, rec.Member)
		}
		if rec.Member.State == chivegauge.Alive && !rec.Leaving && rec.Instance != "" {
			view[rec.Member.Service] = append(view[rec.Member.Service], rec.Member)
		}
	}
	r.view.Store(&view)
	r.alive.Store(&alive)
	n := len(list) + 1
	r.mu.Unlock()
	for _, f := range r.listen {
		f(n)
	}
}

// Change changes the own record, tells the others at once and writes it.
func (r *registrar) Change(ctx context.Context, f func(Record) Record) error {
	r.writes.Lock()
	defer r.writes.Unlock()
	r.mu.Lock()
	change := r.own.Change + 1
	r.own = f(r.own)
	r.own.Change = change
	own := r.own
	others := r.present()
	r.mu.Unlock()
	r.publish()
	r.tell(others, own)
	if !r.Known() {
		return nil
	}
	return r.put(ctx, own)
}

// put writes the own record; r.writes is held.
func (r *registrar) put(ctx context.Context, own Record) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout)
	defer cancel()
	if err := r.store.Put(ctx, own); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored = own.Change
	r.storedAt = time.Now()
	return nil
}

// tell sends the record to the nodes without waiting for them.
func (r *registrar) tell(to []Record, rec Record) {
	for _, other := range to {
		r.group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), r.cfg.TellTimeout)
			defer cancel()
			if err := r.teller.Tell(ctx, other.Member, rec); err != nil {
				r.log.Debug().Err(err).Str("Node", other.Member.Address).Msg("node not told of a change")
			}
		})
	}
}

// Withdraw removes the own record.
func (r *registrar) Withdraw(ctx context.Context) error {
	leave := func(rec Record) Record { return rec.WithState(chivegauge.Left) }
	if err := r.Change(ctx, leave); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout)
	defer cancel()
	return r.store.Delete(ctx, r.Self().Address)
}

func (r *registrar) note(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lost {
		r.lost = true
		r.log.Warn().Err(err).Int("Nodes", len(r.records)+1).Msg("list of nodes lost")
	}
}

func (r *registrar) regained() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost {
		r.lost = false
		r.log.Info().Int("Nodes", len(r.records)+1).Msg("list of nodes regained")
	}
}
