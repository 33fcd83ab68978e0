package syncer_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/syncer"
	"github.com/chivegauge/chivegauge/internal/request/router"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

const (
	// waitMax is how long a test waits for a condition.
	waitMax = 10 * time.Second

	// ageMax is the verification age below which a configuration counts as recently verified.
	ageMax = 200 * time.Millisecond

	// latency is the time that a message takes one way.
	latency = time.Millisecond
)

// source is a store that may be unreachable from some nodes: calls of disconnected nodes fail at once, those of cut ones
// after their timeout, and while watches are mute, all nodes' watches do.
type source struct {
	mu           sync.Mutex
	version      uint64
	revision     uint64
	era          uint64
	oldest       uint64 // revisions below it have expired
	skipped      uint64 // watches don't report changes up to it
	changed      chan struct{}
	reads        map[string]int
	disconnected map[string]bool
	cut          map[string]bool
	mute         bool
}

func newSource() *source {
	return &source{
		version:      1,
		revision:     1,
		changed:      make(chan struct{}),
		reads:        map[string]int{},
		disconnected: map[string]bool{},
		cut:          map[string]bool{},
	}
}

func (s *source) put(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack makes the source continue from an older copy.
func (s *source) comeBack(version, revision uint64) {
	s.update(func() {
		s.era++
		s.version = version
		s.revision = revision
	})
}

func (s *source) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *source) disconnect(name string) {
	s.update(func() { s.disconnected[name] = true })
}

func (s *source) count(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[name]
}

// nodeSource is the source as seen by one node.
type nodeSource struct {
	*source
	name string
}

// result returns the document if it changed after the revision.
func (n nodeSource) result(revision uint64) (syncer.ReadResult, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.disconnected[n.name] {
		return syncer.ReadResult{}, errors.New("source unreachable")
	}
	r := syncer.ReadResult{
		Era:      n.era,
		Revision: n.revision,
		Changed:  n.revision,
	}
	if n.revision > revision {
		r.Document = &router.Document{
			Version: n.version,
		}
	}
	return r, nil
}

// hang waits for the end of the call if the node is cut from the source.
func (n nodeSource) hang(ctx context.Context, watch bool) error {
	n.mu.Lock()
	hangs := n.cut[n.name] || watch && n.mute
	n.mu.Unlock()
	if hangs {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (n nodeSource) Read(ctx context.Context) (syncer.ReadResult, error) {
	time.Sleep(latency)
	n.update(func() { n.reads[n.name]++ })
	if err := n.hang(ctx, false); err != nil {
		return syncer.ReadResult{}, err
	}
	time.Sleep(latency)
	return n.result(0)
}

func (n nodeSource) Await(ctx context.Context, revision uint64, wait time.Duration) (syncer.ReadResult, error) {
	time.Sleep(latency)
	n.mu.Lock()
	n.reads[n.name]++
	changed := n.changed
	newer := n.revision > revision
	expired := revision < n.oldest
	n.mu.Unlock()
	if !newer && !expired {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	if err := n.hang(ctx, true); err != nil {
		return syncer.ReadResult{}, err
	}
	time.Sleep(latency)
	if expired {
		return syncer.ReadResult{}, syncer.ErrRevisionExpired
	}
	return n.result(max(revision, n.skipped))
}

// zone is a set of nodes that poll each other; polls of a silent node fail at once, those of a hung one after their
// timeout.
type zone struct {
	members []chivegauge.Member
	nodes   map[string]syncer.Syncer
	delays  *delays
	polls   atomic.Int64
	mu      sync.Mutex
	silent  map[string]bool
	hung    map[string]bool
	stops   map[string]func()
}

// nodeMembers is the set of nodes as seen by one of them.
type nodeMembers struct {
	*zone
	self      chivegauge.Member
	settledAt time.Time
	knownAt   time.Time
}

func (n nodeMembers) Self() chivegauge.Member { return n.self }
func (n nodeMembers) Settled() bool           { return !time.Now().Before(n.settledAt) }

func (n nodeMembers) Alive() []chivegauge.Member {
	if time.Now().Before(n.knownAt) {
		return []chivegauge.Member{n.self}
	}
	return n.members
}

func (n nodeMembers) Poll(ctx context.Context, m chivegauge.Member, p syncer.Poll) (syncer.Snapshot, error) {
	n.polls.Add(1)
	time.Sleep(latency)
	n.mu.Lock()
	silent := n.silent[m.Address]
	node := n.nodes[m.Address]
	n.mu.Unlock()
	if silent {
		return syncer.Snapshot{}, errors.New("no response")
	}
	snapshot := node.AnswerPoll(ctx, p)
	n.mu.Lock()
	hung := n.hung[m.Address] || n.hung[n.self.Address]
	n.mu.Unlock()
	if hung {
		<-ctx.Done()
		return syncer.Snapshot{}, ctx.Err()
	}
	time.Sleep(latency)
	return snapshot, nil
}

// delays is a meter that keeps the recorded delays of changes.
type delays struct {
	mu   sync.Mutex
	list []time.Duration
}

func (d *delays) RecordChangeDelay(bound time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, bound)
}

// testConfig returns short waits, with which a test in real time ends soon.
func testConfig(age time.Duration) syncer.Config {
	return syncer.Config{
		Wait:        40 * time.Millisecond,
		WaitTimeout: time.Second,
		ReadTimeout: time.Second,
		RetryFirst:  time.Millisecond,
		RetryMax:    5 * time.Millisecond,
		PeerWait:    20 * time.Millisecond,
		PeerTimeout: time.Second,
		PeerGain:    10 * time.Millisecond,
		AgeMax:      age,
	}
}

func start(t *testing.T, s *source, age time.Duration, names ...string) *zone {
	t.Helper()
	return startWith(t, s, testConfig(age), io.Discard, names...)
}

// startWith starts nodes that log to the writer; a name with a slash begins with the availability zone of the node.
func startWith(t *testing.T, s *source, cfg syncer.Config, log io.Writer, names ...string) *zone {
	t.Helper()
	z := &zone{
		nodes:  map[string]syncer.Syncer{},
		silent: map[string]bool{},
		hung:   map[string]bool{},
		stops:  map[string]func(){},
		delays: &delays{},
	}
	for _, name := range names {
		zone, _, _ := strings.Cut(name, "/")
		if zone == name {
			zone = "z"
		}
		z.members = append(z.members, chivegauge.Member{
			Address: name,
			Zone:    zone,
		})
	}
	for _, m := range z.members {
		z.nodes[m.Address] = z.newNode(s, m, cfg, log, time.Time{}, time.Time{})
	}
	for address := range z.nodes {
		z.serve(t, address)
	}
	return z
}

func (z *zone) waitFor(t *testing.T, what string, ok func(f syncer.Syncer) bool) {
	t.Helper()
	for end := time.Now().Add(waitMax); time.Now().Before(end); time.Sleep(time.Millisecond) {
		all := true
		for _, f := range z.nodes {
			all = all && ok(f)
		}
		if all {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

func hasVersion(n uint64) func(f syncer.Syncer) bool {
	return func(f syncer.Syncer) bool {
		r, ok := f.Router()
		return ok && r.Version() == n
	}
}

// TestOneReaderInAZone checks that a change reaches all nodes of a zone and that only one of them reads the source.
func TestOneReaderInAZone(t *testing.T) {
	is := is.New(t)
	s := newSource()
	z := start(t, s, waitMax, "a", "b", "c", "d")
	z.waitFor(t, "first version", hasVersion(1))
	before := map[string]int{}
	for name := range z.nodes {
		before[name] = s.count(name)
	}
	for n := uint64(2); n < 12; n++ {
		s.put(n)
		z.waitFor(t, "next version", hasVersion(n))
	}
	readers := 0
	for name := range z.nodes {
		if s.count(name)-before[name] >= 5 {
			readers++
		}
	}
	is.Equal(readers, 1)
}

// TestVerificationContinues checks that each node's configuration stays recently verified while a node can't reach the
// source or does not respond to the others.
func TestVerificationContinues(t *testing.T) {
	for _, name := range []string{"a", "b", "c"} {
		t.Run(name+" without the source", func(t *testing.T) {
			s := newSource()
			z := start(t, s, ageMax, "a", "b", "c")
			z.waitFor(t, "first version", hasVersion(1))
			s.disconnect(name)
			s.put(2)
			z.waitFor(t, "next version", hasVersion(2))
			z.waitFor(t, "a recent verification", func(f syncer.Syncer) bool { return f.Age() < ageMax })
		})
		t.Run(name+" silent", func(t *testing.T) {
			s := newSource()
			z := start(t, s, ageMax, "a", "b", "c")
			z.waitFor(t, "first version", hasVersion(1))
			z.mu.Lock()
			z.silent[name] = true
			z.mu.Unlock()
			s.put(2)
			z.waitFor(t, "next version", hasVersion(2))
			z.waitFor(t, "a recent verification", func(f syncer.Syncer) bool { return f.Age() < ageMax })
		})
	}
}

// TestVerificationFromAnotherZone checks that a zone that can't reach the source is kept up to date by other zones.
func TestVerificationFromAnotherZone(t *testing.T) {
	s := newSource()
	z := start(t, s, ageMax, "x/a", "x/b", "y/a", "y/b")
	z.waitFor(t, "first version", hasVersion(1))
	s.disconnect("x/a")
	s.disconnect("x/b")
	for n := uint64(2); n < 5; n++ {
		s.put(n)
		z.waitFor(t, "next version", hasVersion(n))
	}
	z.waitFor(t, "a recent verification", func(f syncer.Syncer) bool { return f.Age() < ageMax })
}

// TestVerificationAges checks that without the source the verification age grows at each node, although the nodes poll
// each other: a snapshot that is passed from node to node must not count as a new verification.
func TestVerificationAges(t *testing.T) {
	is := is.New(t)
	s := newSource()
	z := start(t, s, ageMax, "a", "b", "c")
	z.waitFor(t, "first version", hasVersion(1))
	for name := range z.nodes {
		s.disconnect(name)
	}
	disconnected := time.Now()
	time.Sleep(400 * time.Millisecond)
	for _, f := range z.nodes {
		// A call may have got its response just after the nodes were disconnected.
		is.True(f.Age() >= time.Since(disconnected)-100*time.Millisecond)
	}
}

// TestOlderVersionIgnored checks that an older version from the source does not become active.
func TestOlderVersionIgnored(t *testing.T) {
	is := is.New(t)
	s := newSource()
	s.put(7)
	z := start(t, s, ageMax, "a")
	z.waitFor(t, "first version", hasVersion(7))
	s.put(3)
	time.Sleep(100 * time.Millisecond)
	r, _ := z.nodes["a"].Router()
	is.Equal(r.Version(), uint64(7))
}
