package admitter

import (
	"time"

	"github.com/chivegauge/chivegauge"
)

const (
	// An admission level counts in full for levelHoldTime after it was updated, then falls to zero over levelDecayTime.
	levelHoldTime  = 300 * time.Millisecond
	levelDecayTime = time.Second

	// reachableTime is how long a route counts as reaching a service after its last response that said so.
	reachableTime = time.Minute

	// levelSmoothing is the weight of a newly reported level in the moving average.
	levelSmoothing = 0.3

	routesMax        = 10000
	levelsMax        = 100000
	servicesPerRoute = 64
)

// LevelTable holds the admission levels of the services that each route reaches; it is not safe for concurrent use.
type LevelTable interface {
	// Update updates the admission levels with those reported in a response to a call of the class on the route.
	Update(now time.Time, route string, c Class, levels []chivegauge.ServiceLevel)
	// Level returns the highest admission level for the class among the services that the route reaches.
	Level(now time.Time, route string, c Class) int
}

type levelKey struct {
	service string
	class   Class
}

// observedLevel is a smoothed admission level and when it was updated.
type observedLevel struct {
	value   float64
	updated time.Time
}

type levelTable struct {
	levels map[levelKey]observedLevel
	// reachable is when each service was last reported, by route and service name.
	reachable map[string]map[string]time.Time
}

// NewLevelTable returns an empty table.
func NewLevelTable() LevelTable {
	return &levelTable{
		levels:    map[levelKey]observedLevel{},
		reachable: map[string]map[string]time.Time{},
	}
}

// Update updates the admission levels and the services that the route reaches.
func (t *levelTable) Update(now time.Time, route string, c Class, levels []chivegauge.ServiceLevel) {
	services := t.services(route)
	for _, reported := range levels {
		if len(services) < servicesPerRoute {
			services[reported.Service] = now
		}
		k := levelKey{
			service: reported.Service,
			class:   c,
		}
		previous := decayed(now, t.levels[k])
		if reported.Level == 0 && previous == 0 {
			delete(t.levels, k)
			continue
		}
		t.set(now, k, previous+levelSmoothing*(float64(reported.Level)-previous))
	}
}

// services returns the services that the route reaches, with the time of their last report.
func (t *levelTable) services(route string) map[string]time.Time {
	services := t.reachable[route]
	if services == nil {
		services = map[string]time.Time{}
		if len(t.reachable) < routesMax {
			t.reachable[route] = services
		}
	}
	return services
}

func (t *levelTable) set(now time.Time, k levelKey, value float64) {
	if len(t.levels) >= levelsMax {
		t.evict(now)
	}
	t.levels[k] = observedLevel{
		value:   value,
		updated: now,
	}
}

// evict removes the levels that have fallen to zero, or any one level if there are none.
func (t *levelTable) evict(now time.Time) {
	for k, l := range t.levels {
		if decayed(now, l) == 0 {
			delete(t.levels, k)
		}
	}
	for k := range t.levels {
		if len(t.levels) < levelsMax {
			return
		}
		delete(t.levels, k)
	}
}

// decayed returns the level as it counts at now: in full for levelHoldTime, then falling linearly to zero.
func decayed(now time.Time, l observedLevel) float64 {
	age := now.Sub(l.updated)
	if age <= levelHoldTime {
		return l.value
	}
	if age >= levelHoldTime+levelDecayTime {
		return 0
	}
	return l.value * (1 - float64(age-levelHoldTime)/float64(levelDecayTime))
}

// Level returns the highest admission level for the class among the services that the route reaches.
func (t *levelTable) Level(now time.Time, route string, c Class) int {
	highest := 0.0
	for service, lastSeen := range t.reachable[route] {
		if now.Sub(lastSeen) > reachableTime {
			delete(t.reachable[route], service)
			continue
		}
		k := levelKey{
			service: service,
			class:   c,
		}
		highest = max(highest, decayed(now, t.levels[k]))
	}
	return int(highest)
}
