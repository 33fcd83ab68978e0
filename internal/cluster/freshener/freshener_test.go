package freshener_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/freshener"
	"github.com/chivegauge/chivegauge/internal/request/router"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

const (
	patience = 10 * time.Second
	young    = 200 * time.Millisecond
)

// source is a store that may be out of reach of some nodes.
type source struct {
	mu       sync.Mutex
	version  uint64
	revision uint64
	changed  chan struct{}
	reads    map[string]int
	cut      map[string]bool
}

func newSource() *source {
	return &source{
		version:  1,
		revision: 1,
		changed:  make(chan struct{}),
		reads:    map[string]int{},
		cut:      map[string]bool{},
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

func (s *source) cutOff(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[name] = true
}

func (s *source) count(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[name]
}

// view is the source as one node reaches it.
type view struct {
	*source
	name string
}

func (v view) reading(revision uint64) (freshener.Reading, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cut[v.name] {
		return freshener.Reading{}, errors.New("out of reach")
	}
	r := freshener.Reading{
		Revision: v.revision,
	}
	if v.revision > revision {
		r.Document = &router.Document{
			Version: v.version,
		}
	}
	return r, nil
}

func (v view) Read(context.Context) (freshener.Reading, error) {
	v.mu.Lock()
	v.reads[v.name]++
	v.mu.Unlock()
	return v.reading(0)
}

func (v view) Await(ctx context.Context, revision uint64, wait time.Duration) (freshener.Reading, error) {
	v.mu.Lock()
	v.reads[v.name]++
	changed := v.changed
	newer := v.revision > revision
	v.mu.Unlock()
	if !newer {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return v.reading(revision)
}

// zone is nodes that ask each other.
type zone struct {
	members []chivegauge.Member
	nodes   map[string]freshener.Freshener
	mu      sync.Mutex
	silent  map[string]bool
}

type seat struct {
	*zone
	self chivegauge.Member
}

func (s seat) Self() chivegauge.Member    { return s.self }
func (s seat) Alive() []chivegauge.Member { return s.members }

func (s seat) Prove(ctx context.Context, m chivegauge.Member, have uint64, wait time.Duration) (freshener.Proof, error) {
	s.mu.Lock()
	silent := s.silent[m.Address]
	s.mu.Unlock()
	if silent {
		return freshener.Proof{}, errors.New("no answer")
	}
	return s.nodes[m.Address].Tell(ctx, have, wait), nil
}

func start(t *testing.T, s *source, askAge time.Duration, names ...string) *zone {
	t.Helper()
	z := &zone{
		nodes:  map[string]freshener.Freshener{},
		silent: map[string]bool{},
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
	ctx, cancel := context.WithCancel(context.Background())
	group := sync.WaitGroup{}
	for _, m := range z.members {
		seat := seat{
			zone: z,
			self: m,
		}
		z.nodes[m.Address] = freshener.New(freshener.Config{
			Wait:       40 * time.Millisecond,
			Timeout:    time.Second,
			RetryFirst: time.Millisecond,
			RetryMax:   5 * time.Millisecond,
			AskWait:    20 * time.Millisecond,
			AskTimeout: time.Second,
			AskAge:     askAge,
		}, view{
			source: s,
			name:   m.Address,
		}, seat, seat, zerolog.New(io.Discard))
	}
	for _, f := range z.nodes {
		group.Go(func() { _ = f.Serve(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return z
}

func (z *zone) wait(t *testing.T, what string, ok func(f freshener.Freshener) bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		all := true
		for _, f := range z.nodes {
			all = all && ok(f)
		}
		if all {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}

func version(n uint64) func(f freshener.Freshener) bool {
	return func(f freshener.Freshener) bool {
		r, ok := f.Router()
		return ok && r.Version() == n
	}
}

// TestOneReaderInAZone states that a change reaches all nodes of a zone and that one of them reads for the others.
func TestOneReaderInAZone(t *testing.T) {
	is := is.New(t)
	s := newSource()
	z := start(t, s, patience, "a", "b", "c", "d")
	z.wait(t, "first version", version(1))
	before := map[string]int{}
	for name := range z.nodes {
		before[name] = s.count(name)
	}
	for n := uint64(2); n < 12; n++ {
		s.put(n)
		z.wait(t, "next version", version(n))
	}
	readers := 0
	for name := range z.nodes {
		if s.count(name)-before[name] >= 5 {
			readers++
		}
	}
	is.Equal(readers, 1)
}

// TestProofGoesOn states that each node keeps a young proof while some are out of reach of the source or of each other.
func TestProofGoesOn(t *testing.T) {
	for _, name := range []string{"a", "b", "c"} {
		t.Run(name+" out of reach of the source", func(t *testing.T) {
			s := newSource()
			z := start(t, s, young, "a", "b", "c")
			z.wait(t, "first version", version(1))
			s.cutOff(name)
			s.put(2)
			z.wait(t, "next version", version(2))
			z.wait(t, "a young proof", func(f freshener.Freshener) bool { return f.Age() < young })
		})
		t.Run(name+" silent", func(t *testing.T) {
			s := newSource()
			z := start(t, s, young, "a", "b", "c")
			z.wait(t, "first version", version(1))
			z.mu.Lock()
			z.silent[name] = true
			z.mu.Unlock()
			s.put(2)
			z.wait(t, "next version", version(2))
			z.wait(t, "a young proof", func(f freshener.Freshener) bool { return f.Age() < young })
		})
	}
}

// TestProofFromAnotherZone states that a zone out of reach of the source goes on with the proof of the others.
func TestProofFromAnotherZone(t *testing.T) {
	s := newSource()
	z := start(t, s, young, "x/a", "x/b", "y/a", "y/b")
	z.wait(t, "first version", version(1))
	s.cutOff("x/a")
	s.cutOff("x/b")
	for n := uint64(2); n < 5; n++ {
		s.put(n)
		z.wait(t, "next version", version(n))
	}
	z.wait(t, "a young proof", func(f freshener.Freshener) bool { return f.Age() < young })
}

// TestProofAges states that without the source the proof gets older at each node, however they ask each other.
func TestProofAges(t *testing.T) {
	is := is.New(t)
	s := newSource()
	z := start(t, s, young, "a", "b", "c")
	z.wait(t, "first version", version(1))
	for name := range z.nodes {
		s.cutOff(name)
	}
	lost := time.Now()
	time.Sleep(400 * time.Millisecond)
	for _, f := range z.nodes {
		is.True(f.Age() >= time.Since(lost)-100*time.Millisecond) // a call may have been answered just after the cut began
	}
}

// TestOlderVersionIgnored states that a version never goes back.
func TestOlderVersionIgnored(t *testing.T) {
	is := is.New(t)
	s := newSource()
	s.put(7)
	z := start(t, s, young, "a")
	z.wait(t, "first version", version(7))
	s.put(3)
	time.Sleep(100 * time.Millisecond)
	r, _ := z.nodes["a"].Router()
	is.Equal(r.Version(), uint64(7))
}
