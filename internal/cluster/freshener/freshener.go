package freshener

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivegauge/chivegauge/internal/base/timekeeper"
	"github.com/chivegauge/chivegauge/internal/request/router"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

// ErrHistoryGone is returned by Await when the source no longer knows what changed since the revision.
var ErrHistoryGone = errors.New("the history since the revision is gone")

// Reading is what a source says; Document is nil where nothing changed.
type Reading struct {
	Document *router.Document
	Revision uint64
}

// Source is where the configuration is kept; each successful call proves what was newest when it was sent.
type Source interface {
	// Read returns the newest configuration.
	Read(ctx context.Context) (Reading, error)
	// Await returns the next change after the revision, or an unchanged reading after the wait.
	Await(ctx context.Context, revision uint64, wait time.Duration) (Reading, error)
}

// Config bounds the calls to the source and to other nodes.
type Config struct {
	// AskWait is how long another node may wait for a change before it answers, AskTimeout how much longer it may take.
	AskWait    time.Duration
	AskTimeout time.Duration

	// AskAge is the oldest proof that is taken from another node.
	AskAge time.Duration

	// Wait is how long one call waits for a change.
	Wait time.Duration

	// Timeout is how much longer than its wait a call may take.
	Timeout time.Duration

	// RetryFirst and RetryMax bound the pause after a failed call.
	RetryFirst time.Duration
	RetryMax   time.Duration
}

// Freshener holds the configuration in force.
type Freshener interface {
	// Serve follows the source until the context ends.
	Serve(ctx context.Context) error
	// Router returns the configuration in force, and whether there is one yet.
	Router() (router.Router, bool)
	// Age returns the time since the configuration was proved to be the newest.
	Age() time.Duration
	// Configure sets the bounds of the calls.
	Configure(cfg Config)
	// Listen registers a function that is called with each configuration taken into force.
	Listen(f func(router.Router))
	// Tell answers another node once there is a version above the one that it has, or after the wait.
	Tell(ctx context.Context, have uint64, wait time.Duration) Proof
}

type freshener struct {
	cfg       atomic.Pointer[Config]
	source    Source
	log       zerolog.Logger
	listeners []func(router.Router)
	current   atomic.Pointer[router.Router]

	members Members
	asker   Asker

	mu       sync.Mutex
	proof    time.Time
	revision uint64
	lost     bool
	document router.Document
	changed  chan struct{}
	missed   map[string]time.Time
}

// New returns a freshener without a configuration.
func New(cfg Config, s Source, m Members, a Asker, log zerolog.Logger) Freshener {
	f := &freshener{
		source:  s,
		members: m,
		asker:   a,
		log:     log,
		changed: make(chan struct{}),
		missed:  map[string]time.Time{},
	}
	f.Configure(cfg)
	return f
}

// Configure sets the bounds of the calls.
func (f *freshener) Configure(cfg Config) {
	f.cfg.Store(&cfg)
}

// Listen registers a listener; it must be called before Serve.
func (f *freshener) Listen(l func(router.Router)) {
	f.listeners = append(f.listeners, l)
}

// Router returns the configuration in force.
func (f *freshener) Router() (router.Router, bool) {
	r := f.current.Load()
	if r == nil {
		return nil, false
	}
	return *r, true
}

// Age returns the time since the proof, suspension of the instance included.
func (f *freshener) Age() time.Duration {
	f.mu.Lock()
	proof := f.proof
	f.mu.Unlock()
	return timekeeper.Now().Sub(proof)
}

// Serve reads, then awaits change after change.
func (f *freshener) Serve(ctx context.Context) error {
	pause := f.cfg.Load().RetryFirst
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.note(err)
			pause = f.rest(ctx, pause)
			continue
		}
		pause = f.cfg.Load().RetryFirst
	}
	return ctx.Err()
}

// rest waits about the pause after a failed call and returns the next one.
func (f *freshener) rest(ctx context.Context, pause time.Duration) time.Duration {
	timekeeper.Rest(ctx, pause/2+rand.N(pause))
	return min(2*pause, f.cfg.Load().RetryMax)
}

// step asks the node that reads for this zone, or the source itself, or else any other node.
func (f *freshener) step(ctx context.Context) error {
	if m, ok := f.reader(); ok && f.ask(ctx, m) {
		return nil
	}
	err := f.read(ctx)
	if err == nil || ctx.Err() != nil {
		return err
	}
	if m, ok := f.other(); ok && f.ask(ctx, m) {
		f.note(err)
		return nil
	}
	return err
}

// read makes one call to the source; its proof counts from when it was sent.
func (f *freshener) read(ctx context.Context) error {
	sent := timekeeper.Now()
	reading, err := f.call(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.revision = reading.Revision
	lost := f.lost
	f.lost = false
	f.mu.Unlock()
	if reading.Document != nil {
		f.accept(*reading.Document, sent)
	}
	f.prove(sent)
	if lost {
		f.log.Info().Uint64("Revision", reading.Revision).Msg("configuration source regained")
	}
	return nil
}

func (f *freshener) call(ctx context.Context) (Reading, error) {
	f.mu.Lock()
	revision := f.revision
	f.mu.Unlock()
	cfg := f.cfg.Load()
	_, known := f.Router()
	if !known || revision == 0 {
		ctx, cancel := context.WithTimeout(ctx, cfg.Timeout)
		defer cancel()
		return f.source.Read(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, cfg.Wait+cfg.Timeout)
	defer cancel()
	return f.source.Await(ctx, revision, cfg.Wait)
}

// accept takes a newer configuration into force, together with its proof; an older one changes nothing.
func (f *freshener) accept(d router.Document, proof time.Time) {
	old, ok := f.Router()
	if ok && d.Version <= old.Version() {
		if d.Version < old.Version() {
			f.log.Warn().Uint64("Version", d.Version).Uint64("InForce", old.Version()).Msg("older configuration ignored")
		}
		return
	}
	r := router.New(d)
	f.mu.Lock()
	f.current.Store(&r)
	f.document = d
	f.proved(proof)
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	f.log.Info().Uint64("Version", d.Version).Int("Routes", len(d.Config.Routes)).Int("Workspaces", len(d.Config.Workspaces)).Msg("configuration in force")
	for _, l := range f.listeners {
		l(r)
	}
}

// note takes a failed call in: the next one reads anew.
func (f *freshener) note(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = 0
	if f.lost || errors.Is(err, ErrHistoryGone) {
		return
	}
	f.lost = true
	e := f.log.Warn().Err(err)
	if !f.proof.IsZero() {
		e.Dur("ProofAgeMs", timekeeper.Now().Sub(f.proof))
	}
	e.Msg("configuration source lost")
}
