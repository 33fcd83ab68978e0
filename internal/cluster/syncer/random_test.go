package syncer_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// schedule is a random order of changes, returns of the source, cuts and restarts, with what must hold in it.
type schedule struct {
	*testing.T
	rng    *rand.Rand
	source *source
	zone   *zone
	names  []string
	copies []savedSource

	newest     uint64
	acked      []time.Time // by version
	rewriteAt  time.Time   // when the operator writes the newest version again, zero if the source has it
	returnedAt time.Time   // when the source was last without the newest version
	troubledAt map[string]time.Time
	cutUntil   map[string]time.Time
}

// savedSource is the content of the source at a time.
type savedSource struct {
	at       time.Time
	version  uint64
	revision uint64
}

const (
	// scheduleTime is the length of a schedule, stepTime the time between two checks, and eventChance the chance of an event
	// in a step.
	scheduleTime = 40 * time.Second
	stepTime     = 10 * time.Millisecond
	eventChance  = 0.03

	copyAgeMax  = 10 * time.Second
	rewriteMax  = 6 * time.Second
	cutTimeMax  = 3 * time.Second
	verifyFloor = 250 * time.Millisecond // how long before the key lifetime keys are refused
)

// change writes the next version.
func (s *schedule) change() {
	s.newest++
	s.source.put(s.newest)
	s.acked = append(s.acked, time.Now())
	s.save()
	s.rewriteAt = time.Time{}
}

func (s *schedule) save() {
	s.copies = append(s.copies, savedSource{
		at:       time.Now(),
		version:  s.source.version,
		revision: s.source.revision,
	})
}

// comeBack lets the source come back from a copy; the operator writes the newest version again, in some cases followed by
// the next one before any call.
func (s *schedule) comeBack() {
	age := time.Duration(s.rng.Int64N(int64(copyAgeMax)))
	from := s.copies[0]
	for _, c := range s.copies {
		if time.Since(c.at) >= age {
			from = c
		}
	}
	s.source.comeBack(from.version, from.revision)
	s.copies = nil
	s.save()
	s.rewriteAt = time.Now()
	if s.rng.IntN(2) == 0 {
		s.rewriteAt = s.rewriteAt.Add(time.Duration(s.rng.Int64N(int64(rewriteMax))))
	}
	s.rewrite()
	if s.rng.IntN(2) == 0 {
		s.change()
	}
}

// rewrite writes the newest version again once that is due.
func (s *schedule) rewrite() {
	if s.rewriteAt.IsZero() {
		return
	}
	s.returnedAt = time.Now()
	if !time.Now().Before(s.rewriteAt) {
		s.source.put(s.newest)
		s.save()
		s.rewriteAt = time.Time{}
	}
}

// trouble cuts a random node from the source for a time, or restarts it or two at once.
func (s *schedule) trouble() {
	name := s.names[s.rng.IntN(len(s.names))]
	s.troubledAt[name] = time.Now()
	if kind := s.rng.IntN(3); kind > 0 {
		s.zone.restart(s.T, s.source, name, 0, 0)
		if kind > 1 {
			name = s.names[s.rng.IntN(len(s.names))]
			s.troubledAt[name] = time.Now()
			s.zone.restart(s.T, s.source, name, 0, 0)
		}
		return
	}
	s.source.update(func() { s.source.cut[name] = true })
	s.cutUntil[name] = time.Now().Add(time.Duration(s.rng.Int64N(int64(cutTimeMax))))
}

// heal ends the cuts that are due.
func (s *schedule) heal() {
	for name, until := range s.cutUntil {
		s.troubledAt[name] = time.Now()
		if time.Now().After(until) {
			s.source.update(func() { delete(s.source.cut, name) })
			delete(s.cutUntil, name)
		}
	}
}

// ackedBefore returns the newest version that was acknowledged longer ago than the duration.
func (s *schedule) ackedBefore(d time.Duration) uint64 {
	version := uint64(0)
	for n, at := range s.acked {
		if time.Since(at) > d {
			version = uint64(n + 1)
		}
	}
	return version
}

// check fails if a node in contact is late with a change, or a node accepts keys by a version that is older than the key
// lifetime allows.
func (s *schedule) check() {
	for _, name := range s.names {
		f := s.zone.nodes[name]
		version := uint64(0)
		if r, ok := f.Router(); ok {
			version = r.Version()
		}
		inContact := time.Since(s.returnedAt) > contactTime && time.Since(s.troubledAt[name]) > contactTime
		if due := s.ackedBefore(changeTime); inContact && version < due {
			s.Fatalf("%v: %s has version %d, %d was acknowledged more than %v ago", time.Since(s.copies[0].at), name, version, due, changeTime)
		}
		if due := s.ackedBefore(keyLifetime); f.Age() < keyLifetime-verifyFloor && version < due {
			s.Fatalf("%s accepts keys by version %d, %d was acknowledged more than %v ago", name, version, due, keyLifetime)
		}
	}
}

// TestRandomReturns plays random schedules, and checks what is in force at each node, and by which version it accepts keys.
func TestRandomReturns(t *testing.T) {
	const schedules = 150
	for cluster, names := range map[string][]string{
		"one zone":    {"a", "b", "c", "d", "e"},
		"three zones": {"x/a", "x/b", "x/c", "y/a", "y/b", "z/a"},
	} {
		for seed := range schedules {
			t.Run(fmt.Sprintf("%s, seed %d", cluster, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playSchedule(t, names, uint64(seed)) })
			})
		}
	}
}

func playSchedule(t *testing.T, names []string, seed uint64) {
	s := &schedule{
		T:          t,
		rng:        rand.New(rand.NewPCG(seed, 0)),
		source:     newSource(),
		names:      names,
		newest:     1,
		acked:      []time.Time{time.Now()},
		troubledAt: map[string]time.Time{},
		cutUntil:   map[string]time.Time{},
	}
	s.save()
	s.zone = startWith(t, s.source, nodeConfig(), io.Discard, names...)
	s.zone.waitFor(t, "first version", hasVersion(1))
	for end := time.Now().Add(scheduleTime); time.Now().Before(end); time.Sleep(stepTime) {
		if s.rng.Float64() < eventChance {
			events := []func(){s.change, s.change, s.comeBack, s.trouble}
			events[s.rng.IntN(len(events))]()
		}
		s.rewrite()
		s.heal()
		s.check()
	}
}
