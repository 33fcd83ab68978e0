package admitter

import (
	"time"

	"github.com/chivegauge/chivegauge"
)

const (
	levelFresh     = 300 * time.Millisecond
	levelLifetime  = time.Second
	reachLifetime  = time.Minute
	levelNewShare  = 0.3
	bookRoutesMax  = 10000
	bookLevelsMax  = 100000
	reachesPerPath = 64
)

// Book remembers the levels of the services that each route reaches.
type Book interface {
	// Learn takes in the levels that an answer to a call of the class on the route carried.
	Learn(now time.Time, route string, c Class, levels []chivegauge.ServiceLevel)
	// Level returns the highest level for the class among the services that the route reaches.
	Level(now time.Time, route string, c Class) int
}

type levelKey struct {
	service string
	class   Class
}

type heard struct {
	level float64
	at    time.Time
}

type book struct {
	levels  map[levelKey]heard
	reaches map[string]map[string]time.Time
}

// NewBook returns an empty book.
func NewBook() Book {
	return &book{
		levels:  map[levelKey]heard{},
		reaches: map[string]map[string]time.Time{},
	}
}

// Learn takes in levels and which services the route reaches.
func (b *book) Learn(now time.Time, route string, c Class, levels []chivegauge.ServiceLevel) {
	reach := b.reach(route)
	for _, l := range levels {
		if len(reach) < reachesPerPath {
			reach[l.Service] = now
		}
		k := levelKey{
			service: l.Service,
			class:   c,
		}
		old := decayed(now, b.levels[k])
		if l.Level == 0 && old == 0 {
			delete(b.levels, k)
			continue
		}
		b.hear(now, k, old+levelNewShare*(float64(l.Level)-old))
	}
}

func (b *book) reach(route string) map[string]time.Time {
	reach := b.reaches[route]
	if reach == nil {
		reach = map[string]time.Time{}
		if len(b.reaches) < bookRoutesMax {
			b.reaches[route] = reach
		}
	}
	return reach
}

func (b *book) hear(now time.Time, k levelKey, level float64) {
	if len(b.levels) >= bookLevelsMax {
		b.evict(now)
	}
	b.levels[k] = heard{
		level: level,
		at:    now,
	}
}

// evict forgets the levels that have fallen to zero, or one level if there is none.
func (b *book) evict(now time.Time) {
	for k, h := range b.levels {
		if decayed(now, h) == 0 {
			delete(b.levels, k)
		}
	}
	for k := range b.levels {
		if len(b.levels) < bookLevelsMax {
			return
		}
		delete(b.levels, k)
	}
}

// decayed returns the level as it counts at now: whole while fresh, then falling to zero.
func decayed(now time.Time, h heard) float64 {
	age := now.Sub(h.at)
	if age <= levelFresh {
		return h.level
	}
	if age >= levelFresh+levelLifetime {
		return 0
	}
	return h.level * (1 - float64(age-levelFresh)/float64(levelLifetime))
}

// Level returns the highest level for the class among the services that the route reaches.
func (b *book) Level(now time.Time, route string, c Class) int {
	highest := 0.0
	for service, at := range b.reaches[route] {
		if now.Sub(at) > reachLifetime {
			delete(b.reaches[route], service)
			continue
		}
		k := levelKey{
			service: service,
			class:   c,
		}
		highest = max(highest, decayed(now, b.levels[k]))
	}
	return int(highest)
}
