package syncer

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

// ErrRevisionExpired is returned by Await when the source no longer holds the changes since the revision.
var ErrRevisionExpired = errors.New("the source no longer holds the changes since the revision")

// ReadResult is the result of a call to a source; Document is nil if nothing changed.
type ReadResult struct {
	Document *router.Document
	Revision uint64
}

// Source is the store of the configuration; a successful call verifies which version was the newest when the call was
// sent.
type Source interface {
	// Read returns the newest configuration.
	Read(ctx context.Context) (ReadResult, error)
	// Await returns the next change after the revision, or a result without a document after the wait.
	Await(ctx context.Context, revision uint64, wait time.Duration) (ReadResult, error)
}

// Config holds the timeouts and backoffs of the calls to the source and to other nodes.
type Config struct {
	// PeerWait is how long another node waits for a change before it responds to a poll.
	PeerWait time.Duration

	// PeerTimeout is the timeout of a poll, in addition to its wait.
	PeerTimeout time.Duration

	// PeerAgeMax is the maximum time since its last verification for which the snapshot of another node is used.
	PeerAgeMax time.Duration

	// Wait is how long one call to the source waits for a change.
	Wait time.Duration

	// Timeout is the timeout of a call to the source, in addition to its wait.
	Timeout time.Duration

	// RetryFirst is the backoff after the first failed call in a row; it doubles with each further one.
	RetryFirst time.Duration

	// RetryMax is the longest backoff after a failed call.
	RetryMax time.Duration
}

// Syncer holds the active configuration.
type Syncer interface {
	// Serve applies each change of the source until the context ends.
	Serve(ctx context.Context) error
	// Router returns the active configuration, or false if there is none yet.
	Router() (router.Router, bool)
	// Age returns the time since the configuration was last verified as the newest.
	Age() time.Duration
	// Configure sets the timeouts and backoffs of the calls.
	Configure(cfg Config)
	// Subscribe registers a function that is called with each configuration that becomes active.
	Subscribe(f func(router.Router))
	// AnswerPoll returns the snapshot for another node as soon as its version is above the known one, or after the wait.
	AnswerPoll(ctx context.Context, knownVersion uint64, wait time.Duration) Snapshot
}

type syncer struct {
	cfg         atomic.Pointer[Config]
	source      Source
	log         zerolog.Logger
	subscribers []func(router.Router)
	current     atomic.Pointer[router.Router]

	members Members
	peers   PeerClient

	mu         sync.Mutex
	verifiedAt time.Time
	revision   uint64
	failing    bool
	document   router.Document
	changed    chan struct{}
	skipUntil  map[string]time.Time
}

// New returns a syncer without an active configuration.
func New(cfg Config, src Source, m Members, c PeerClient, log zerolog.Logger) Syncer {
	s := &syncer{
		source:    src,
		members:   m,
		peers:     c,
		log:       log,
		changed:   make(chan struct{}),
		skipUntil: map[string]time.Time{},
	}
	s.Configure(cfg)
	return s
}

// Configure sets the timeouts and backoffs of the calls.
func (s *syncer) Configure(cfg Config) {
	s.cfg.Store(&cfg)
}

// Subscribe registers a function; it must be called before Serve.
func (s *syncer) Subscribe(f func(router.Router)) {
	s.subscribers = append(s.subscribers, f)
}

// Router returns the active configuration.
func (s *syncer) Router() (router.Router, bool) {
	r := s.current.Load()
	if r == nil {
		return nil, false
	}
	return *r, true
}

// Age returns the time since the last verification, including time in which the instance was suspended.
func (s *syncer) Age() time.Duration {
	s.mu.Lock()
	verifiedAt := s.verifiedAt
	s.mu.Unlock()
	return timekeeper.Now().Sub(verifiedAt)
}

// Serve reads the configuration, then waits for its changes.
func (s *syncer) Serve(ctx context.Context) error {
	backoff := s.cfg.Load().RetryFirst
	for ctx.Err() == nil {
		if err := s.syncOnce(ctx); err != nil && ctx.Err() == nil {
			s.recordFailure(err)
			backoff = s.backOff(ctx, backoff)
			continue
		}
		backoff = s.cfg.Load().RetryFirst
	}
	return ctx.Err()
}

// backOff sleeps for 0.5 to 1.5 times the backoff and returns the next backoff, twice as long up to RetryMax.
func (s *syncer) backOff(ctx context.Context, backoff time.Duration) time.Duration {
	timekeeper.Sleep(ctx, backoff/2+rand.N(backoff))
	return min(2*backoff, s.cfg.Load().RetryMax)
}

// syncOnce polls the reader of this zone, falls back to the source itself, and then to any other node.
func (s *syncer) syncOnce(ctx context.Context) error {
	if m, ok := s.zoneReader(); ok && s.pollPeer(ctx, m) {
		return nil
	}
	err := s.readSource(ctx)
	if err == nil || ctx.Err() != nil {
		return err
	}
	if m, ok := s.randomPeer(); ok && s.pollPeer(ctx, m) {
		s.recordFailure(err)
		return nil
	}
	return err
}

// readSource makes one call to the source; the configuration is verified as of the time when the call was sent.
func (s *syncer) readSource(ctx context.Context) error {
	sent := timekeeper.Now()
	result, err := s.callSource(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.revision = result.Revision
	failing := s.failing
	s.failing = false
	s.mu.Unlock()
	if result.Document != nil {
		s.apply(*result.Document, sent)
	}
	s.setVerified(sent)
	if failing {
		s.log.Info().Uint64("Revision", result.Revision).Msg("configuration source regained")
	}
	return nil
}

func (s *syncer) callSource(ctx context.Context) (ReadResult, error) {
	s.mu.Lock()
	revision := s.revision
	s.mu.Unlock()
	cfg := s.cfg.Load()
	_, ok := s.Router()
	if !ok || revision == 0 {
		ctx, cancel := context.WithTimeout(ctx, cfg.Timeout)
		defer cancel()
		return s.source.Read(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, cfg.Wait+cfg.Timeout)
	defer cancel()
	return s.source.Await(ctx, revision, cfg.Wait)
}

// apply makes a newer configuration active, together with the time of its verification; an older one is ignored.
func (s *syncer) apply(d router.Document, verifiedAt time.Time) {
	old, ok := s.Router()
	if ok && d.Version <= old.Version() {
		if d.Version < old.Version() {
			s.log.Warn().Uint64("Version", d.Version).Uint64("InForce", old.Version()).Msg("older configuration ignored")
		}
		return
	}
	r := router.New(d)
	s.mu.Lock()
	s.current.Store(&r)
	s.document = d
	s.setVerifiedLocked(verifiedAt)
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.log.Info().Uint64("Version", d.Version).Int("Routes", len(d.Config.Routes)).Int("Workspaces", len(d.Config.Workspaces)).Msg("configuration in force")
	for _, f := range s.subscribers {
		f(r)
	}
}

// recordFailure makes the next call read the whole configuration; only the first failure in a row is logged, and an
// expired revision is not a failure.
func (s *syncer) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = 0
	if s.failing || errors.Is(err, ErrRevisionExpired) {
		return
	}
	s.failing = true
	e := s.log.Warn().Err(err)
	if !s.verifiedAt.IsZero() {
		e.Dur("ProofAgeMs", timekeeper.Now().Sub(s.verifiedAt))
	}
	e.Msg("configuration source lost")
}
