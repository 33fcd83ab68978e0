package syncer_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/syncer"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// TestNoProofFromOlderSource guards against a node that takes its keys for proved by a source that has come back from an
// older copy and holds an older configuration than the node: a newer one may be lost, too. The proof is back once the
// operator has written the configuration again.
func TestNoProofFromOlderSource(t *testing.T) {
	const lost = 10 * time.Second
	for cluster, names := range clusters {
		t.Run(cluster, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSource()
				z := startWith(t, s, nodeConfig(), io.Discard, names...)
				z.waitFor(t, "first version", hasVersion(1))
				s.put(2)
				z.waitFor(t, "next version", hasVersion(2))
				time.Sleep(2 * time.Second)
				s.comeBack(1, s.revision-1)
				returned := time.Now()
				time.Sleep(lost)
				for _, f := range z.nodes {
					is.True(f.Age() >= time.Since(returned))
					is.True(hasVersion(2)(f))
				}
				s.put(2)
				written := time.Now()
				z.waitFor(t, "a proof", func(f syncer.Syncer) bool { return f.Age() < keyLifetime })
				is.True(time.Since(written) <= changeTime)
			})
		})
	}
}

// TestNewerVersionIsLearnedFromOthers guards against a node that takes an older version for the newest after the source has
// come back from an older copy: it missed the newest one, or was restarted, so that only the other nodes have it.
func TestNewerVersionIsLearnedFromOthers(t *testing.T) {
	tests := map[string]struct {
		missed    time.Duration // how long before the return the node was cut off, from before the change on
		restart   bool
		listDelay time.Duration
	}{
		"missed":                          {missed: 5 * time.Millisecond},
		"missed, cut off for long":        {missed: 3 * time.Second},
		"restarted":                       {restart: true},
		"missed, and restarted":           {missed: 5 * time.Millisecond, restart: true},
		"restarted, nodes known later":    {restart: true, listDelay: 200 * time.Millisecond},
		"restarted, nodes known too late": {restart: true, listDelay: 700 * time.Millisecond},
	}
	for name, tt := range tests {
		for _, other := range []string{"z/b", "y/b"} {
			t.Run(name+", the other node is "+other, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := newSource()
					z := startWith(t, s, nodeConfig(), io.Discard, "z/a", other, "y/c", "x/d")
					z.waitFor(t, "first version", hasVersion(1))
					time.Sleep(2 * time.Second)
					late := z.nodes["z/a"]
					isolate := func(on bool) {
						s.update(func() { s.cut["z/a"] = on })
						z.mu.Lock()
						defer z.mu.Unlock()
						z.hung["z/a"] = on
					}
					isolate(tt.missed > 0)
					s.put(2)
					time.Sleep(max(tt.missed, 5*time.Millisecond))
					s.comeBack(1, s.revision-1)
					returned := time.Now()
					if tt.restart {
						late = z.restart(t, s, "z/a", tt.listDelay, 0)
					}
					isolate(false)
					for !hasVersion(2)(late) {
						is.True(late.Age() >= time.Since(returned))
						is.True(time.Since(returned) <= changeTime)
						time.Sleep(time.Millisecond)
					}
				})
			})
		}
	}
}

// TestNewerVersionIsLearnedOnceOthersAreKnown guards against a restarted node that keeps to an older version since the store
// had lost the records of the other nodes, too, when it started.
func TestNewerVersionIsLearnedOnceOthersAreKnown(t *testing.T) {
	const unknown = 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := newSource()
		z := startWith(t, s, nodeConfig(), io.Discard, "z/a", "z/b", "y/c")
		s.put(2)
		z.waitFor(t, "next version", hasVersion(2))
		s.comeBack(1, s.revision-1)
		late := z.restart(t, s, "z/a", 0, unknown)
		time.Sleep(unknown + changeTime)
		is.New(t).True(hasVersion(2)(late))
	})
}

// TestOnlyOneNodeKnowsTheNewerVersion guards against a restarted node that believes the source before it has asked the one
// node which was not restarted with it.
func TestOnlyOneNodeKnowsTheNewerVersion(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSource()
		z := startWith(t, s, nodeConfig(), io.Discard, names...)
		s.put(2)
		z.waitFor(t, "next version", hasVersion(2))
		time.Sleep(2 * time.Second)
		s.comeBack(1, s.revision-1)
		returned := time.Now()
		for _, name := range names[1:] {
			z.stops[name]()
		}
		time.Sleep(5 * time.Millisecond)
		for _, name := range names[1:] {
			z.restart(t, s, name, 0, 0)
		}
		for time.Since(returned) < changeTime {
			for _, f := range z.nodes {
				is.True(hasVersion(2)(f) || f.Age() >= time.Since(returned))
			}
			time.Sleep(time.Millisecond)
		}
		z.waitFor(t, "next version", hasVersion(2))
	})
}

// newNode returns a node of the zone that has not started yet; it has a list of nodes from settledAt
// on, which has the other nodes from knownAt on.
func (z *zone) newNode(s *source, m chivegauge.Member, cfg syncer.Config, log io.Writer, settledAt, knownAt time.Time) syncer.Syncer {
	node := nodeMembers{
		zone:      z,
		self:      m,
		settledAt: settledAt,
		knownAt:   knownAt,
	}
	return syncer.New(cfg, syncer.Parts{
		Now: time.Now,
		Source: nodeSource{
			source: s,
			name:   m.Address,
		},
		Members: node,
		Peers:   node,
		Meter:   z.delays,
		Log:     zerolog.New(log).With().Str("Node", m.Address).Logger(),
	})
}

// serve runs the node at the address until the test ends, or until it is restarted.
func (z *zone) serve(t *testing.T, address string) {
	ctx, cancel := context.WithCancel(context.Background())
	group := sync.WaitGroup{}
	node := z.nodes[address]
	group.Go(func() { _ = node.Serve(ctx) })
	z.stops[address] = func() {
		cancel()
		group.Wait()
	}
	t.Cleanup(z.stops[address])
}

// restart replaces the node at the address by one that has just started. It has its list of nodes after listDelay, with
// the other nodes after knownDelay.
func (z *zone) restart(t *testing.T, s *source, address string, listDelay, knownDelay time.Duration) syncer.Syncer {
	t.Helper()
	now := time.Now()
	z.stops[address]()
	for _, m := range z.members {
		if m.Address == address {
			z.mu.Lock()
			z.nodes[address] = z.newNode(s, m, nodeConfig(), io.Discard, now.Add(listDelay), now.Add(max(listDelay, knownDelay)))
			z.mu.Unlock()
			z.serve(t, address)
		}
	}
	return z.nodes[address]
}
