package admitter

import "time"

const (
	controlWindow  = 100 * time.Millisecond
	waitTarget     = 20 * time.Millisecond
	shedShare      = 0.1
	descentFirst   = 2
	descentMax     = 32
	levelCeiling   = LevelMax - 1
	overloadedPart = 0.02
)

// Controller sets the admission level of one backend server from the waits in its queue.
type Controller interface {
	// Level returns the lowest priority that is admitted at now.
	Level(now time.Time) int
	// Arrive counts an arriving request by its priority.
	Arrive(now time.Time, priority int)
	// Waited takes in how long a request waited in the queue, and whether it was refused there.
	Waited(now time.Time, wait time.Duration, refused bool)
}

type controller struct {
	since    time.Time
	level    int
	descent  int
	arrivals [LevelMax]int
	admitted int
	waits    time.Duration
	waited   int
	refused  int
}

// NewController returns a controller that admits everything.
func NewController() Controller {
	return &controller{
		descent: descentFirst,
	}
}

// Level returns the lowest priority that is admitted at now.
func (c *controller) Level(now time.Time) int {
	c.turn(now)
	return c.level
}

// Arrive counts an arriving request.
func (c *controller) Arrive(now time.Time, priority int) {
	c.turn(now)
	c.arrivals[priority]++
	if priority >= c.level {
		c.admitted++
	}
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

// turn ends the window when its time has passed.
func (c *controller) turn(now time.Time) {
	if c.since.IsZero() {
		c.since = now
	}
	elapsed := now.Sub(c.since)
	if elapsed < controlWindow {
		return
	}
	if c.overloaded() {
		c.ascend()
	} else {
		c.relax(elapsed)
	}
	c.since = now
	c.arrivals = [LevelMax]int{}
	c.admitted = 0
	c.waits = 0
	c.waited = 0
	c.refused = 0
}

func (c *controller) overloaded() bool {
	if c.waited == 0 {
		return false
	}
	if float64(c.refused) > overloadedPart*float64(c.waited) {
		return true
	}
	return c.waits/time.Duration(c.waited) > waitTarget
}

// ascend raises the level until a share of the admitted arrivals is cut.
func (c *controller) ascend() {
	c.descent = descentFirst
	cut := max(1, int(shedShare*float64(c.admitted)))
	for cut > 0 && c.level < levelCeiling {
		cut -= c.arrivals[c.level]
		c.level++
	}
}

// relax lowers the level, faster with each quiet window.
func (c *controller) relax(elapsed time.Duration) {
	windows := int(elapsed / controlWindow)
	for ; windows > 0 && c.level > 0; windows-- {
		c.level = max(0, c.level-c.descent)
		c.descent = min(descentMax, c.descent*2)
	}
	if c.level == 0 {
		c.descent = descentFirst
	}
}
