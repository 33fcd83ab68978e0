package syncer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/router"
)

// skipTime is how long a node is not polled again after a failed poll.
const skipTime = 3 * time.Second

// Snapshot is the active version of a node and the time since its last verification; Document is nil if the polling
// node already has it.
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
	// Poll returns the snapshot of the member as soon as its version is above the known one, or after the wait.
	Poll(ctx context.Context, m chivegauge.Member, knownVersion uint64, wait time.Duration) (Snapshot, error)
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

// pollPeer applies the snapshot of another node and reports whether it is recent enough; its age is counted from when
// the poll was sent, so that it is never underestimated.
func (s *syncer) pollPeer(ctx context.Context, m chivegauge.Member) bool {
	r, ok := s.Router()
	if !ok {
		return false
	}
	cfg := s.cfg.Load()
	sent := s.Now()
	ctx, cancel := context.WithTimeout(ctx, cfg.PeerWait+cfg.PeerTimeout)
	defer cancel()
	snapshot, err := s.Peers.Poll(ctx, m, r.Version(), cfg.PeerWait)
	behind := err == nil && snapshot.Version < r.Version() // the other node is about to receive the newer version
	if err != nil || snapshot.Age > cfg.PeerAgeMax || behind {
		s.Log.Info().Err(err).Str("Reader", m.Address).Dur("ProofAgeMs", snapshot.Age).Uint64("Version", snapshot.Version).Msg("no proof from another node")
		if !behind {
			s.skip(m.Address)
		}
		return false
	}
	verifiedAt := sent.Add(-snapshot.Age)
	if snapshot.Document != nil {
		s.apply(*snapshot.Document, origin{
			call:       callPoll,
			sentAt:     sent,
			peer:       m.Address,
			verifiedAt: verifiedAt,
		})
	}
	s.setVerified(verifiedAt)
	return true
}

// skip excludes a node from polls for skipTime.
func (s *syncer) skip(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipUntil[address] = s.Now().Add(skipTime)
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
	}
}

// AnswerPoll returns the snapshot for another node; the document is in it if the other node's version is older.
func (s *syncer) AnswerPoll(ctx context.Context, knownVersion uint64, wait time.Duration) Snapshot {
	s.mu.Lock()
	changed := s.changed
	version := s.document.Version
	s.mu.Unlock()
	if version <= knownVersion {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := Snapshot{
		Version: s.document.Version,
		Age:     s.Now().Sub(s.verifiedAt),
	}
	if snapshot.Version > knownVersion {
		d := s.document
		snapshot.Document = &d
	}
	return snapshot
}
