package admitter

import (
	"sort"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
)

const (
	controlWindow  = 100 * time.Millisecond
	waitTarget     = 20 * time.Millisecond
	smoothing      = 0.3
	shrink         = 0.98
	growthFirst    = 1.05
	growthStep     = 1.5
	growthMax      = 2.0
	shareFloor     = 1.0 / LevelMax
	slewDown       = 0.7
	slewUp         = 1.4
	refusedPart    = 0.02
	classesMax     = 4096
	forgotten      = 0.01
	idleWindowsMax = 50
)

// Controller sets the admission levels of one backend server, by importance
// and, within one importance, as a max-min fair share among workspaces.
type Controller interface {
	// Admit counts an arriving request of the class and reports whether its ticket is admitted.
	Admit(now time.Time, c Class, ticket int) bool
	// Level returns the ticket below which requests of the class are refused at now.
	Level(now time.Time, c Class) int
	// Waited takes in how long a request waited in the queue, and whether it was refused there.
	Waited(now time.Time, wait time.Duration, refused bool)
	// Finished counts a run that ended.
	Finished(now time.Time)
}

// demand is what arrived of one class and the share of it that is admitted.
type demand struct {
	seen  float64
	rate  float64
	share float64
}

type controller struct {
	since    time.Time
	classes  map[Class]*demand
	capacity float64
	growth   float64
	finished int
	served   float64
	waits    time.Duration
	waited   int
	refused  int
	shedding bool
}

// NewController returns a controller that admits everything.
func NewController() Controller {
	return &controller{
		classes: map[Class]*demand{},
		growth:  growthFirst,
	}
}

func (c *controller) class(k Class) *demand {
	d := c.classes[k]
	if d == nil {
		d = &demand{
			share: 1,
		}
		if len(c.classes) < classesMax {
			c.classes[k] = d
		}
	}
	return d
}

// Admit counts an arriving request and reports whether it is admitted.
func (c *controller) Admit(now time.Time, k Class, ticket int) bool {
	c.turn(now)
	d := c.class(k)
	if ticket < level(d.share) {
		return false
	}
	d.seen++
	return true
}

// Level returns the ticket below which requests of the class are refused.
func (c *controller) Level(now time.Time, k Class) int {
	c.turn(now)
	return level(c.class(k).share)
}

func level(share float64) int {
	return int((1 - share) * LevelMax)
}

// Waited takes in the wait of one request.
func (c *controller) Waited(now time.Time, wait time.Duration, refused bool) {
	c.turn(now)
	c.waits += wait
	c.waited++
	if refused {
		c.refused++
	}
}

// Finished counts a run that ended.
func (c *controller) Finished(now time.Time) {
	c.turn(now)
	c.finished++
}

// turn ends the window when its time has passed.
func (c *controller) turn(now time.Time) {
	if c.since.IsZero() {
		c.since = now
	}
	elapsed := now.Sub(c.since)
	if elapsed < controlWindow {
		return
	}
	windows := float64(elapsed) / float64(controlWindow)
	c.measure(windows)
	for n := 0; n < int(windows) && n < idleWindowsMax; n++ {
		c.adapt(n == 0 && c.overloaded())
	}
	c.since = now
	c.finished = 0
	c.waits = 0
	c.waited = 0
	c.refused = 0
}

// measure smooths the rates per window of what was admitted.
func (c *controller) measure(windows float64) {
	c.served += smoothing * (float64(c.finished)/windows - c.served)
	for k, d := range c.classes {
		d.rate += smoothing * (d.seen/windows - d.rate)
		d.seen = 0
		if d.rate < forgotten && d.share >= 1 {
			delete(c.classes, k)
		}
	}
}

func (c *controller) overloaded() bool {
	if c.waited == 0 {
		return false
	}
	if float64(c.refused) > refusedPart*float64(c.waited) {
		return true
	}
	return c.waits/time.Duration(c.waited) > waitTarget
}

// adapt moves the capacity to share out, then the share of each class.
func (c *controller) adapt(overloaded bool) {
	switch {
	case overloaded:
		c.capacity = shrink * max(c.served, c.admitted()*slewDown)
		c.growth = growthFirst
		c.shedding = true
	case c.shedding:
		c.capacity = max(c.capacity, shrink*c.admitted()) * c.growth
		c.growth = min(growthMax, 1+(c.growth-1)*growthStep)
	default:
		return
	}
	c.allocate()
	c.shedding = c.anyShed()
}

func (c *controller) admitted() float64 {
	sum := 0.0
	for _, d := range c.classes {
		sum += d.rate
	}
	return sum
}

func (c *controller) anyShed() bool {
	for _, d := range c.classes {
		if d.share < 1 {
			return true
		}
	}
	return false
}

// allocate shares the capacity out, the most important classes first.
func (c *controller) allocate() {
	left := c.capacity
	exhausted := false
	for rank := chivegauge.ImportanceCount - 1; rank >= 0; rank-- {
		ranked := c.ranked(chivegauge.Importance(rank))
		fair, used := waterLevel(ranked, left)
		asserter.Check(asserter.LeastImportantFirst, !exhausted || fair == 0)
		for _, d := range ranked {
			d.move(fair)
		}
		left = max(0, left-used)
		exhausted = exhausted || left <= 0
	}
}

func (c *controller) ranked(i chivegauge.Importance) []*demand {
	var list []*demand
	for k, d := range c.classes {
		if k.Importance == i {
			list = append(list, d)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].wanted() < list[b].wanted() })
	return list
}

// wanted returns what the class would send a window if nothing of it were shed.
func (d *demand) wanted() float64 {
	return d.rate / max(d.share, shareFloor)
}

// waterLevel returns the max-min fair amount per class and the sum used.
func waterLevel(sorted []*demand, capacity float64) (fair, used float64) {
	left := capacity
	for n, d := range sorted {
		fair = left / float64(len(sorted)-n)
		if d.wanted() > fair {
			return fair, capacity
		}
		left -= d.wanted()
	}
	if left <= 0 {
		return 0, capacity
	}
	return capacity, capacity - left
}

// move changes the admitted share towards the fair amount, at a bounded pace.
func (d *demand) move(fair float64) {
	target := 1.0
	if want := d.wanted(); want > fair {
		target = fair / want
	}
	d.share = min(max(target, d.share*slewDown), d.share*slewUp)
	d.share = min(1, max(shareFloor, d.share))
}
