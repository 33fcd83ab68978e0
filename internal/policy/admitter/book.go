package admitter

import (
	"time"

	"github.com/chivegauge/chivegauge"
)

const (
	levelFresh     = 300 * time.Millisecond
	levelLifetime  = time.Second
	reachLifetime  = time.Minute
	levelNewShare  = 0.5
	bookRoutesMax  = 10000
	reachesPerPath = 64
)

// Book remembers the levels of the services that each route reaches.
type Book interface {
	// Learn takes in the levels that an answer on the route carried.
	Learn(now time.Time, route string, levels []chivegauge.ServiceLevel)
	// Admits reports whether no service that the route reaches would refuse the priority.
	Admits(now time.Time, route string, priority int) bool
	// Level returns the highest level among the services that the route reaches.
	Level(now time.Time, route string) int
}

type heard struct {
	level float64
	at    time.Time
}

type book struct {
	levels  map[string]heard
	reaches map[string]map[string]time.Time
}

// NewBook returns an empty book.
func NewBook() Book {
	return &book{
		levels:  map[string]heard{},
		reaches: map[string]map[string]time.Time{},
	}
}

// Learn takes in levels and which services the route reaches.
func (b *book) Learn(now time.Time, route string, levels []chivegauge.ServiceLevel) {
	reach := b.reaches[route]
	if reach == nil {
		if len(b.reaches) >= bookRoutesMax {
			return
		}
		reach = map[string]time.Time{}
		b.reaches[route] = reach
	}
	for _, l := range levels {
		if len(reach) < reachesPerPath {
			reach[l.Service] = now
		}
		old := decayed(now, b.levels[l.Service])
		b.levels[l.Service] = heard{
			level: old + levelNewShare*(float64(l.Level)-old),
			at:    now,
		}
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

// Level returns the highest level among the services that the route reaches.
func (b *book) Level(now time.Time, route string) int {
	highest := 0.0
	for service, at := range b.reaches[route] {
		if now.Sub(at) > reachLifetime {
			delete(b.reaches[route], service)
			continue
		}
		highest = max(highest, decayed(now, b.levels[service]))
	}
	return int(highest)
}

// Admits reports whether the priority is at or above the level of the route.
func (b *book) Admits(now time.Time, route string, priority int) bool {
	return priority >= b.Level(now, route)
}
