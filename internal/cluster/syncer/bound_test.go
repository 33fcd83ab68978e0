package syncer_test

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivegauge/chivegauge/internal/cluster/syncer"
	"github.com/matryer/is"
)

const (
	// changeTime is the time in which a change must be active at each node that reaches the source.
	changeTime = 2 * time.Second

	// keyLifetime is the time in which each node must know of a withdrawn key, or must know that it may not.
	keyLifetime = 5 * time.Second
)

// readers returns the nodes that read the source within the next second.
func (z *zone) readers(s *source) []string {
	before := map[string]int{}
	for name := range z.nodes {
		before[name] = s.count(name)
	}
	time.Sleep(time.Second)
	var list []string
	for _, m := range z.members {
		if s.count(m.Address) > before[m.Address] {
			list = append(list, m.Address)
		}
	}
	return list
}

// firstOf returns the first n of the readers, followed by other nodes if they are fewer.
func (z *zone) firstOf(readers []string, n int) []string {
	list := readers
	known := map[string]bool{}
	for _, name := range readers {
		known[name] = true
	}
	for _, m := range z.members {
		if !known[m.Address] {
			list = append(list, m.Address)
		}
	}
	return list[:n]
}

// sourceFaults are faults between nodes and the source, or between nodes, with the nodes that they take out of contact;
// readers come first among the nodes.
var sourceFaults = map[string]func(s *source, z *zone, readers []string) []string{
	"none": func(*source, *zone, []string) []string { return nil },
	"reader cut from the source": func(s *source, z *zone, readers []string) []string {
		return cutNodes(s, z.firstOf(readers, 1))
	},
	"all readers cut from the source": func(s *source, _ *zone, readers []string) []string {
		return cutNodes(s, readers)
	},
	"readers and other nodes cut from the source": func(s *source, z *zone, readers []string) []string {
		return cutNodes(s, z.firstOf(readers, len(z.members)-1))
	},
	"readers refused by the source": func(s *source, _ *zone, readers []string) []string {
		for _, name := range readers {
			s.disconnect(name)
		}
		return readers
	},
	"readers cut from all": func(s *source, z *zone, readers []string) []string {
		hangNodes(z, readers)
		return cutNodes(s, readers)
	},
	"readers cut from the other nodes": func(_ *source, z *zone, readers []string) []string {
		return hangNodes(z, readers)
	},
	"watches hear nothing": func(s *source, _ *zone, _ []string) []string {
		s.update(func() { s.mute = true })
		return nil
	},
	"watches hear nothing, history dropped": func(s *source, _ *zone, _ []string) []string {
		s.update(func() {
			s.mute = true
			s.oldest = s.revision + 1
		})
		return nil
	},
	"readers cut, history dropped": func(s *source, _ *zone, readers []string) []string {
		s.update(func() { s.oldest = s.revision + 1 })
		return cutNodes(s, readers)
	},
}

func cutNodes(s *source, names []string) []string {
	s.update(func() {
		for _, name := range names {
			s.cut[name] = true
		}
	})
	return names
}

func hangNodes(z *zone, names []string) []string {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, name := range names {
		z.hung[name] = true
	}
	return names
}

// lateness returns the time from a change to its use by the last node that reaches the source; the change comes after a
// fault, which comes right after an earlier change and the phase.
func lateness(t *testing.T, fault func(s *source, z *zone, readers []string) []string, names []string, phase, gap time.Duration) time.Duration {
	s := newSource()
	z := startWith(t, s, syncer.NewConfig(keyLifetime), io.Discard, names...)
	z.waitFor(t, "first version", hasVersion(1))
	time.Sleep(2 * time.Second)
	readers := z.readers(s)
	s.put(2)
	time.Sleep(phase)
	lost := map[string]bool{}
	for _, name := range fault(s, z, readers) {
		lost[name] = true
	}
	time.Sleep(gap)
	s.put(3)
	changed := time.Now()
	for name, f := range z.nodes {
		if lost[name] {
			continue
		}
		for !hasVersion(3)(f) && time.Since(changed) < waitMax {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(changed)
}

// TestChangeLateBehindLostReader checks that a change is active in time at each node that reaches the source, whatever
// happened to the node that reads for it, and to the calls that wait for a change.
func TestChangeLateBehindLostReader(t *testing.T) {
	clusters := map[string][]string{
		"one zone":     {"a", "b", "c", "d"},
		"three zones":  {"x/a", "x/b", "x/c", "y/a", "y/b", "z/a"},
		"a single one": {"a"},
	}
	for cluster, names := range clusters {
		for name, fault := range sourceFaults {
			t.Run(cluster+", "+name, func(t *testing.T) {
				worst := time.Duration(0)
				var at string
				for _, phase := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 700 * time.Millisecond} {
					for _, gap := range []time.Duration{5 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond, 1800 * time.Millisecond} {
						synctest.Test(t, func(t *testing.T) {
							if late := lateness(t, fault, names, phase, gap); late > worst {
								worst = late
								at = fmt.Sprintf("fault %v after a change, the next change %v later", phase, gap)
							}
						})
					}
				}
				t.Logf("late by %v at most: %s", worst, at)
				is.New(t).True(worst <= changeTime)
			})
		}
	}
}
