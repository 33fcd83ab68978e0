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

	// contactTime is the time after an outage of the source in which all nodes must have its changes.
	contactTime = 3 * time.Second
)

var clusters = map[string][]string{
	"one zone":     {"a", "b", "c", "d"},
	"three zones":  {"x/a", "x/b", "x/c", "y/a", "y/b", "z/a"},
	"a single one": {"a"},
}

func nodeConfig() syncer.Config {
	return syncer.NewConfig(syncer.Bounds{
		ChangeTime:  changeTime,
		KeyLifetime: keyLifetime,
	})
}

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
	// The copy lacks the last change, and the next one gets the revision of that.
	"source back from an older copy": func(s *source, _ *zone, _ []string) []string {
		s.comeBack(s.version-1, s.revision-1)
		return nil
	},
	"source back from an older copy, reader cut": func(s *source, _ *zone, readers []string) []string {
		s.comeBack(s.version-1, s.revision-1)
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
	z := startWith(t, s, nodeConfig(), io.Discard, names...)
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

// TestKeysStayVerified checks that no node's verification grows as old as the key lifetime while it reaches the source or
// a node that does.
func TestKeysStayVerified(t *testing.T) {
	for cluster, names := range clusters {
		for name, fault := range sourceFaults {
			t.Run(cluster+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSource()
					z := startWith(t, s, nodeConfig(), io.Discard, names...)
					z.waitFor(t, "first version", hasVersion(1))
					time.Sleep(2 * time.Second)
					fault(s, z, z.readers(s))
					oldest := time.Duration(0)
					for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
						for name, f := range z.nodes {
							lost := s.cut[name] || s.disconnected[name]
							if !lost || len(names) > 1 && !z.hung[name] {
								oldest = max(oldest, f.Age())
							}
						}
					}
					t.Logf("at most %v old", oldest)
					is.New(t).True(oldest < keyLifetime)
				})
			})
		}
	}
}

// TestChangeAfterOutage checks that all nodes have the changes made during an outage of the source within the contact
// time after it.
func TestChangeAfterOutage(t *testing.T) {
	outages := map[string]func(s *source, name string, down bool){
		"silent":  func(s *source, name string, down bool) { s.update(func() { s.cut[name] = down }) },
		"refused": func(s *source, name string, down bool) { s.update(func() { s.disconnected[name] = down }) },
	}
	for outage, set := range outages {
		for cluster, names := range clusters {
			t.Run(outage+", "+cluster, func(t *testing.T) {
				worst := time.Duration(0)
				for length := 3 * time.Second; length < 5*time.Second; length += 130 * time.Millisecond {
					synctest.Test(t, func(t *testing.T) {
						s := newSource()
						z := startWith(t, s, nodeConfig(), io.Discard, names...)
						z.waitFor(t, "first version", hasVersion(1))
						for _, name := range names {
							set(s, name, true)
						}
						time.Sleep(length)
						s.put(2)
						for _, name := range names {
							set(s, name, false)
						}
						ended := time.Now()
						z.waitFor(t, "the change", hasVersion(2))
						worst = max(worst, time.Since(ended))
					})
				}
				t.Logf("the change came after %v at most", worst)
				is.New(t).True(worst <= contactTime)
			})
		}
	}
}

// TestOneReaderCallsTheSource checks that in normal operation only the reader of each zone calls the source, at the rate
// that its waits give, and that each other node polls it as often.
func TestOneReaderCallsTheSource(t *testing.T) {
	const observed = 20 * time.Second
	for cluster, names := range clusters {
		t.Run(cluster, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSource()
				z := startWith(t, s, nodeConfig(), io.Discard, names...)
				z.waitFor(t, "first version", hasVersion(1))
				time.Sleep(2 * time.Second)
				zones := map[string]int{}
				before := map[string]int{}
				for _, m := range z.members {
					zones[m.Zone] = 0
					before[m.Address] = s.count(m.Address)
				}
				polls := z.polls.Load()
				time.Sleep(observed)
				calls := int(observed/nodeConfig().Wait) + 1
				for _, m := range z.members {
					if n := s.count(m.Address) - before[m.Address]; n > 0 {
						zones[m.Zone]++
						is.True(n <= calls)
					}
				}
				for _, readers := range zones {
					is.Equal(readers, 1)
				}
				is.True(z.polls.Load()-polls <= int64(calls*(len(names)-len(zones))))
			})
		})
	}
}

// TestAnswerPoll checks when a poll is answered: at once with a newer version or verification, otherwise after its wait.
func TestAnswerPoll(t *testing.T) {
	const wait = 300 * time.Millisecond
	tests := map[string]struct {
		version  uint64
		age      time.Duration
		document bool
		after    time.Duration
	}{
		"older version":             {document: true},
		"older verification":        {version: 1, age: time.Hour},
		"nothing newer":             {version: 1, age: 10 * time.Millisecond, after: wait},
		"from an earlier program":   {version: 1, after: wait},
		"a newer version than ours": {version: 2, after: wait},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSource()
				z := start(t, s, waitMax, "a")
				z.waitFor(t, "first version", hasVersion(1))
				s.update(func() { s.cut["a"] = true })
				time.Sleep(time.Second)
				began := time.Now()
				snapshot := z.nodes["a"].AnswerPoll(t.Context(), syncer.Poll{
					KnownVersion: tt.version,
					KnownAge:     tt.age,
					Wait:         wait,
				})
				is.Equal(time.Since(began), tt.after)
				is.Equal(snapshot.Version, uint64(1))
				is.Equal(snapshot.Document != nil, tt.document)
				is.Equal(snapshot.Age, z.nodes["a"].Age()-tt.after) // the age is that at the arrival of the poll
			})
		})
	}
}
