package syncer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/router"
)

const (
	// skipTime is how long a node is not polled again after a failed poll.
	skipTime = 3 * time.Second

	// randomPeersMax limits the polls of a node after a failed read: while nobody reaches the source, all nodes send them.
	randomPeersMax = 4
)

// Poll asks another node for a version or a verification that is newer than those of the polling node; the other node
// waits up to Wait for one.
type Poll struct {
	KnownVersion uint64
	KnownAge     time.Duration
	Wait         time.Duration
}

// Snapshot is the active version of a node and the age of its last verification when the poll arrived, which is negative
// if it was made since; Document is nil if the polling node already has it.
type Snapshot struct {
	Version  uint64
	Age      time.Duration
	Document *router.Document
}

// Members is the list of live nodes.
type Members interface {
	Self() chivegauge.Member
	Alive() []chivegauge.Member
}

// PeerClient polls other nodes.
type PeerClient interface {
	// Poll returns the snapshot of the member as soon as it is newer than what is known, or after the wait.
	Poll(ctx context.Context, m chivegauge.Member, p Poll) (Snapshot, error)
}

// pollReaders polls the reader of this zone, and other nodes in its place if it doesn't help, until the source is due to
// be read; it reports whether one of them helped.
func (s *syncer) pollReaders(ctx context.Context) bool {
	for ctx.Err() == nil {
		cfg := s.cfg.Load()
		wait := min(cfg.PeerWait, cfg.AgeMax-s.Age()-cfg.PeerTimeout)
		m, ok := s.zoneReader()
		if !ok || wait < 0 {
			return false
		}
		if s.wasSkipped(m.Address) {
			// It may not help this time either; then there is time left to poll another node.
			wait = 0
		}
		switch s.pollPeer(ctx, m, wait) {
		case pollRecent:
			s.unskip(m.Address)
			// The next call to the source may be long after the last one.
			s.forgetRevision()
			return true
		case pollBehind:
			// The other node is about to receive the newer version.
			return false
		case pollOld, pollFailed:
			s.skip(m.Address)
		}
	}
	return false
}

// pollAny polls up to randomPeersMax random nodes of all zones for what they have, until one has a recent verification.
func (s *syncer) pollAny(ctx context.Context) {
	for range randomPeersMax {
		m, ok := s.randomPeer()
		if !ok || ctx.Err() != nil {
			return
		}
		switch s.pollPeer(ctx, m, 0) {
		case pollRecent:
			return
		case pollFailed:
			s.skip(m.Address)
		case pollBehind, pollOld:
		}
	}
}

// zoneReader returns the node that reads the source for the zone of this node, or false if that is this node.
func (s *syncer) zoneReader() (chivegauge.Member, bool) {
	if _, ok := s.Router(); !ok {
		return chivegauge.Member{}, false
	}
	self := s.Members.Self()
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	skip := func(m chivegauge.Member) bool { return m.Zone != self.Zone || now.Before(s.skipUntil[m.Address]) }
	best := chivegauge.Heaviest(self, s.Members.Alive(), readerKey, skip)
	return best, best.Address != self.Address
}

// randomPeer returns a random node of any zone; a node whose poll failed within skipTime is left out.
func (s *syncer) randomPeer() (chivegauge.Member, bool) {
	self := s.Members.Self()
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []chivegauge.Member
	for _, m := range s.Members.Alive() {
		if m.Address != self.Address && !now.Before(s.skipUntil[m.Address]) {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return chivegauge.Member{}, false
	}
	return list[rand.IntN(len(list))], true
}

// readerKey is the key of the rendezvous hash that selects the reader of a zone.
const readerKey = "reader"

// pollResult is the result of a poll.
type pollResult int

const (
	// pollRecent means that the configuration has been verified within the maximum age.
	pollRecent pollResult = iota
	// pollBehind means that the other node has no configuration yet, or an older version than this one that has been
	// verified within the maximum age.
	pollBehind
	// pollOld means that the verification of the other node is older than the maximum age.
	pollOld
	// pollFailed means that there was no response.
	pollFailed
)

// pollPeer polls another node and applies its snapshot, whose age is counted from when the poll was sent, so that it is
// never underestimated.
func (s *syncer) pollPeer(ctx context.Context, m chivegauge.Member, wait time.Duration) pollResult {
	r, ok := s.Router()
	if !ok {
		return pollFailed
	}
	cfg := s.cfg.Load()
	sent := s.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+cfg.PeerTimeout)
	defer cancel()
	snapshot, err := s.Peers.Poll(ctx, m, Poll{
		KnownVersion: r.Version(),
		KnownAge:     s.Age(),
		Wait:         wait,
	})
	if err != nil {
		s.Log.Info().Err(err).Str("Reader", m.Address).Msg("no proof from another node")
		return pollFailed
	}
	verifiedAt := sent.Add(-snapshot.Age)
	if snapshot.Document != nil {
		// The next call finds out whether the source holds this version, too.
		s.forgetRevision()
		s.apply(*snapshot.Document, origin{
			call:       callPoll,
			sentAt:     sent,
			peer:       m.Address,
			verifiedAt: verifiedAt,
		})
	}
	result := pollRecent
	if snapshot.Version < r.Version() {
		result = pollBehind
	} else {
		s.setVerified(verifiedAt)
	}
	age := s.Now().Sub(verifiedAt)
	if age > cfg.AgeMax && snapshot.Version > 0 {
		result = pollOld
	}
	if result != pollRecent {
		s.Log.Info().Str("Reader", m.Address).Dur("ProofAgeMs", age).Uint64("Version", snapshot.Version).Msg("no proof from another node")
	}
	return result
}

// skip excludes a node from polls for skipTime.
func (s *syncer) skip(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipUntil[address] = s.Now().Add(skipTime)
}

// wasSkipped reports whether the node has been excluded from polls, and has not helped since.
func (s *syncer) wasSkipped(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.skipUntil[address].IsZero()
}

// unskip forgets that the node has been excluded from polls.
func (s *syncer) unskip(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.skipUntil, address)
}

// setVerified records a verification, unless there is a later one.
func (s *syncer) setVerified(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setVerifiedLocked(at)
}

// setVerifiedLocked is setVerified with s.mu held.
func (s *syncer) setVerifiedLocked(at time.Time) {
	if at.After(s.verifiedAt) {
		s.verifiedAt = at
		s.wake()
	}
}

// AnswerPoll returns the snapshot for another node; the document is in it if the other node's version is older.
func (s *syncer) AnswerPoll(ctx context.Context, p Poll) Snapshot {
	received := s.Now()
	known := received.Add(s.cfg.Load().PeerGain - p.KnownAge)
	ctx, cancel := context.WithTimeout(ctx, p.Wait)
	defer cancel()
	for {
		s.mu.Lock()
		updated := s.updated
		snapshot := Snapshot{
			Version: s.document.Version,
			Age:     received.Sub(s.verifiedAt),
		}
		if snapshot.Version > p.KnownVersion {
			d := s.document
			snapshot.Document = &d
		}
		newer := snapshot.Document != nil || s.verifiedAt.After(known)
		s.mu.Unlock()
		if newer {
			return snapshot
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return snapshot
		}
	}
}
