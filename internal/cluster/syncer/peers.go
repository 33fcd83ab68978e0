package syncer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/timekeeper"
	"github.com/chivegauge/chivegauge/internal/request/router"
	"github.com/go-faster/errors"
)

const (
	// skipTime is how long a node is not polled again after a failed poll.
	skipTime = 3 * time.Second

	// randomPeersMax limits the polls of a node after a failed read: while nobody reaches the source, all nodes send them.
	randomPeersMax = 4

	// comparedMax limits the nodes that are asked for a newer configuration while none with a recent verification answers.
	comparedMax = 32

	// settleWait is how long a node that has just started waits for its list of nodes before it watches the source without
	// having compared its configuration, and settleCheckTime how often it looks for the list.
	settleWait      = 400 * time.Millisecond
	settleCheckTime = 5 * time.Millisecond
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
	// Settled reports whether the list can be taken for whole, as far as this node can know.
	Settled() bool
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
		peers := s.randomPeers(1, s.skipped)
		if len(peers) == 0 || ctx.Err() != nil {
			return
		}
		m := peers[0]
		switch s.pollPeer(ctx, m, 0) {
		case pollRecent:
			return
		case pollFailed:
			s.skip(m.Address)
		case pollBehind, pollOld:
		}
	}
}

// compare asks other nodes for a newer configuration, until randomPeersMax with a recent verification have answered in this
// era of the source, and reports whether a call to the source proves something. A source that has come back from an older
// copy may lack the newest configuration, and this node may never have had it: it was cut off, or has just started. It may
// lack nodes, too, so that those which come later are asked. A node that has just started waits for the first answer or for
// its list of nodes, for settleWait at most.
func (s *syncer) compare(ctx context.Context) bool {
	for began := s.Now(); ; timekeeper.Sleep(ctx, settleCheckTime) {
		s.askOthers(ctx)
		switch {
		case s.answered() || s.isCompared():
			return true
		case ctx.Err() != nil || s.Now().Sub(began) >= settleWait:
			return false
		}
	}
}

// isCompared reports whether nobody is left to ask, and the list of nodes can be taken for whole.
func (s *syncer) isCompared() bool {
	return (s.answered() || s.Members.Settled()) && len(s.uncompared()) == 0
}

// answered reports whether a node with a recent verification has answered.
func (s *syncer) answered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers > 0
}

// askOthers polls the uncompared nodes at the same time.
func (s *syncer) askOthers(ctx context.Context) {
	group := sync.WaitGroup{}
	for _, m := range s.uncompared() {
		group.Go(func() {
			result, _, _ := s.exchange(ctx, m, 0)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.asked[m.Address] = true
			if result == pollRecent {
				s.answers++
			}
		})
	}
	group.Wait()
}

// uncompared returns random nodes that were not asked for a newer configuration in this era: as many as have to answer yet,
// and once so many were asked in vain, as many as may be asked. It doesn't leave out those whose polls failed before: what
// cut them off may have ended with the source's return.
func (s *syncer) uncompared() []chivegauge.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := randomPeersMax - s.answers
	if s.answers == 0 && len(s.asked) >= randomPeersMax {
		n = comparedMax - len(s.asked)
	}
	return s.randomPeers(n, func(m chivegauge.Member) bool { return s.asked[m.Address] })
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

// randomPeers returns up to n random nodes of all zones, without those that the function leaves out.
func (s *syncer) randomPeers(n int, skip func(m chivegauge.Member) bool) []chivegauge.Member {
	if n <= 0 {
		return nil
	}
	self := s.Members.Self()
	var list []chivegauge.Member
	for _, m := range s.Members.Alive() {
		if m.Address != self.Address && !skip(m) {
			list = append(list, m)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// skipped reports whether a poll of the node failed within skipTime.
func (s *syncer) skipped(m chivegauge.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Now().Before(s.skipUntil[m.Address])
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

// pollPeer polls another node, and logs it if it does not help.
func (s *syncer) pollPeer(ctx context.Context, m chivegauge.Member, wait time.Duration) pollResult {
	result, snapshot, err := s.exchange(ctx, m, wait)
	switch {
	case err != nil:
		s.Log.Info().Err(err).Str("Reader", m.Address).Msg("no proof from another node")
	case result != pollRecent:
		s.Log.Info().Str("Reader", m.Address).Dur("ProofAgeMs", snapshot.Age).Uint64("Version", snapshot.Version).Msg("no proof from another node")
	}
	return result
}

// exchange polls another node and applies its snapshot, which it returns with the present age of its verification. The age
// is counted from when the poll was sent, so that it is never underestimated.
func (s *syncer) exchange(ctx context.Context, m chivegauge.Member, wait time.Duration) (pollResult, Snapshot, error) {
	r, ok := s.Router()
	if !ok {
		return pollFailed, Snapshot{}, errors.New("this node has no configuration yet")
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
		return pollFailed, snapshot, err
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
	s.setVerified(snapshot.Version, verifiedAt)
	snapshot.Age = s.Now().Sub(verifiedAt)
	switch {
	case snapshot.Age > cfg.AgeMax && snapshot.Version > 0:
		return pollOld, snapshot, nil
	case snapshot.Version < r.Version():
		return pollBehind, snapshot, nil
	default:
		return pollRecent, snapshot, nil
	}
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

// setVerified records that the version was the newest at a time, unless there is a later verification or a newer version
// in force.
func (s *syncer) setVerified(version uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version >= s.document.Version {
		s.setVerifiedLocked(at)
	}
}

// setVerifiedLocked records a verification of the configuration in force, unless there is a later one; s.mu is held.
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
