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

	// Era is that of the source at the time of the call; it changes when the source comes back from an older copy.
	Era uint64

	// Revision is that of the source at the time of the call; it counts the changes within the era, and is given out again
	// in the next one.
	Revision uint64

	// Changed is the revision of the last change of the document.
	Changed uint64
}

// Source is the store of the configuration; a successful call verifies which version was the newest when the call was
// sent.
type Source interface {
	// Read returns the newest configuration.
	Read(ctx context.Context) (ReadResult, error)
	// Await returns the next change after the revision, or a result without a document after the wait.
	Await(ctx context.Context, revision uint64, wait time.Duration) (ReadResult, error)
}

// Meter records how late changes become active.
type Meter interface {
	// RecordChangeDelay records an upper bound of the time from a change at the source to its use by this node.
	RecordChangeDelay(bound time.Duration)
}

// Parts are what a syncer uses.
type Parts struct {
	// Now returns the present time, including time in which the instance was suspended.
	Now     func() time.Time
	Source  Source
	Members Members
	Peers   PeerClient
	Meter   Meter
	Log     zerolog.Logger
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
	// AnswerPoll returns the snapshot for another node as soon as it is newer than what that node has, or after the wait.
	AnswerPoll(ctx context.Context, p Poll) Snapshot
}

type syncer struct {
	Parts
	cfg         atomic.Pointer[Config]
	subscribers []func(router.Router)
	current     atomic.Pointer[router.Router]
	applyMu     sync.Mutex // held while a configuration becomes active

	mu         sync.Mutex
	verifiedAt time.Time

	// revision is that of the last call to the source, in its era, from which the next one waits for a change; 0 if that has
	// to be a read.
	revision uint64
	era      uint64

	// awaited is the highest revision of the era up to which Await has reported all changes.
	awaited uint64

	// sourceVersion is the version of the configuration that the source holds, by the last call to it.
	sourceVersion uint64

	// asked are the nodes that were asked for a newer configuration in this era, which the source may have lost, and answers
	// is how many of them had a recent verification.
	asked   map[string]bool
	answers int

	failing  bool
	document router.Document

	// updated is closed and replaced at each newer configuration or verification.
	updated   chan struct{}
	skipUntil map[string]time.Time
}

// New returns a syncer without an active configuration.
func New(cfg Config, p Parts) Syncer {
	s := &syncer{
		Parts:     p,
		updated:   make(chan struct{}),
		skipUntil: map[string]time.Time{},
		asked:     map[string]bool{},
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
	return s.Now().Sub(verifiedAt)
}

// Serve reads the configuration, then waits for its changes.
func (s *syncer) Serve(ctx context.Context) error {
	backoff := s.cfg.Load().RetryFirst
	for ctx.Err() == nil {
		began := s.Now()
		if err := s.syncOnce(ctx); err != nil && ctx.Err() == nil {
			timekeeper.Sleep(ctx, backoff/2+rand.N(backoff)-s.Now().Sub(began))
			backoff = min(2*backoff, s.cfg.Load().RetryMax)
			continue
		}
		backoff = s.cfg.Load().RetryFirst
	}
	return ctx.Err()
}

// syncOnce polls a reader of this zone, or reads the source; if that fails, it polls any other nodes before it returns
// the error.
func (s *syncer) syncOnce(ctx context.Context) error {
	if s.pollReaders(ctx) {
		return nil
	}
	err := s.readSource(ctx)
	if err == nil || ctx.Err() != nil {
		return err
	}
	s.recordFailure(err)
	s.pollAny(ctx)
	return err
}

// readSource waits for a change at the source if this node has read it before, and otherwise reads it. A watch that
// fails is followed by a read at once: it may have failed because the source ended it, or heard nothing in time.
func (s *syncer) readSource(ctx context.Context) error {
	s.mu.Lock()
	revision := s.revision
	s.mu.Unlock()
	cfg := s.cfg.Load()
	if revision != 0 {
		err := s.callSource(ctx, callAwait, cfg.Wait+cfg.WaitTimeout, func(ctx context.Context) (ReadResult, error) {
			return s.Source.Await(ctx, revision, cfg.Wait)
		})
		if err == nil || ctx.Err() != nil {
			return err
		}
		s.Log.Info().Err(err).Uint64("Revision", revision).Msg("watch of the configuration failed; reading it")
		s.forgetRevision()
	}
	return s.callSource(ctx, callRead, cfg.ReadTimeout, s.Source.Read)
}

// callSource makes one call to the source; the configuration is verified as of the time when the call was sent, unless
// the source holds an older one: it has lost changes then, and may have lost newer ones than this node knows. The first
// time in an era, other nodes are asked for a newer one before.
func (s *syncer) callSource(parent context.Context, call string, timeout time.Duration, f func(context.Context) (ReadResult, error)) error {
	sent := s.Now()
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	result, err := f(ctx)
	if err != nil {
		return err
	}
	if err := s.acceptResult(call, result); err != nil {
		return err
	}
	if result.Document != nil {
		from := origin{
			call:   call,
			sentAt: sent,
		}
		if s.isCompared() {
			from.verifiedAt = sent
		}
		s.apply(*result.Document, from)
	}
	if s.compare(parent) {
		s.mu.Lock()
		version := s.sourceVersion
		s.mu.Unlock()
		s.setVerified(version, sent)
	}
	return nil
}

// acceptResult keeps what the result says of the source, or returns an error if it is of a watch that was answered in
// another era than that of its revision: the revision may stand for other changes there.
func (s *syncer) acceptResult(call string, result ReadResult) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.Era != s.era && call == callAwait {
		return errors.Errorf("the source went from era %d to %d", s.era, result.Era)
	}
	if result.Era != s.era {
		s.era = result.Era
		s.awaited = 0
		s.asked = map[string]bool{}
		s.answers = 0
	}
	s.revision = result.Revision
	switch {
	case result.Document != nil:
		s.sourceVersion = result.Document.Version
	case call == callRead:
		s.sourceVersion = s.document.Version // it is not known
	}
	if call == callRead && result.Document != nil && result.Changed <= s.awaited && result.Document.Version > s.document.Version {
		s.Log.Error().Uint64("Version", result.Document.Version).Uint64("Changed", result.Changed).Msg("the source had not reported a change that was awaited")
	}
	if call == callAwait {
		s.awaited = max(s.awaited, result.Revision)
	}
	if s.failing {
		s.failing = false
		s.Log.Info().Uint64("Revision", result.Revision).Msg("configuration source regained")
	}
	return nil
}

// forgetRevision makes the next call to the source a read.
func (s *syncer) forgetRevision() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = 0
}

// The calls by which a configuration is received, as they are named in the log.
const (
	callRead  = "Read"
	callAwait = "Await"
	callPoll  = "Poll"
)

// origin says how a configuration was received: by which call, when that was sent, to which other node unless it was
// sent to the source, and when the configuration was the newest, which is zero if that is not known.
type origin struct {
	call       string
	sentAt     time.Time
	peer       string
	verifiedAt time.Time
}

// apply makes a newer configuration active, together with the time of its verification; an older one is ignored.
func (s *syncer) apply(d router.Document, from origin) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	old, ok := s.Router()
	if ok && d.Version <= old.Version() {
		if d.Version < old.Version() {
			s.Log.Warn().Uint64("Version", d.Version).Uint64("InForce", old.Version()).Msg("older configuration ignored")
		}
		return
	}
	r := router.New(d)
	s.mu.Lock()
	previous := s.verifiedAt
	s.current.Store(&r)
	s.document = d
	s.setVerifiedLocked(from.verifiedAt)
	s.wake()
	s.mu.Unlock()
	s.logChange(d, from, previous)
	for _, f := range s.subscribers {
		f(r)
	}
}

// logChange logs a configuration that became active, and records how late it may be: the change was made after the time
// previous at which an older version was last verified as the newest, which is zero for the first configuration.
func (s *syncer) logChange(d router.Document, from origin, previous time.Time) {
	now := s.Now()
	e := s.Log.Info().Uint64("Version", d.Version).Int("Routes", len(d.Config.Routes)).Int("Workspaces", len(d.Config.Workspaces)).
		Str("Call", from.call).Dur("CallMs", now.Sub(from.sentAt))
	if !from.verifiedAt.IsZero() {
		e.Dur("ProofAgeMs", now.Sub(from.verifiedAt))
	}
	if from.peer != "" {
		e.Str("From", from.peer)
	}
	if !previous.IsZero() {
		late := now.Sub(previous)
		s.Meter.RecordChangeDelay(late)
		e.Dur("LateAtMostMs", late)
	}
	e.Msg("configuration in force")
}

// wake wakes the polls that wait; s.mu is held.
func (s *syncer) wake() {
	close(s.updated)
	s.updated = make(chan struct{})
}

// recordFailure logs the first failed read in a row.
func (s *syncer) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing {
		return
	}
	s.failing = true
	e := s.Log.Warn().Err(err)
	if !s.verifiedAt.IsZero() {
		e.Dur("ProofAgeMs", s.Now().Sub(s.verifiedAt))
	}
	e.Msg("configuration source lost")
}
