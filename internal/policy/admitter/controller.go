package admitter

import (
	"sort"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
)

const (
	// window is the time after which the shares are adapted; rates are in requests per window.
	window = 100 * time.Millisecond

	// A backend server is overloaded if the mean wait in its queue exceeds meanWaitMax, or if more than refusedFractionMax
	// of the queued requests were refused in a window.
	meanWaitMax        = 20 * time.Millisecond
	refusedFractionMax = 0.02

	// rateSmoothing is the weight of the latest window in the moving averages of rates.
	rateSmoothing = 0.3

	// capacityFraction is the fraction of the measured rate that is taken as the capacity in an overload.
	capacityFraction = 0.98

	// The capacity grows by the factor growthMin in the first window after an overload; growthStep multiplies the increase
	// in each further window, up to growthMax.
	growthMin  = 1.05
	growthStep = 1.5
	growthMax  = 2.0

	// The share of a class stays at least shareMin, and changes at most by the factors shareDecreaseMax and
	// shareIncreaseMax in a window.
	shareMin         = 1.0 / LevelMax
	shareDecreaseMax = 0.7
	shareIncreaseMax = 1.4

	classesMax = 4096

	// rateMin is the rate, in requests per window, below which a fully admitted class is no longer tracked.
	rateMin = 0.01

	// catchUpWindowsMax limits the windows that are caught up after a time without requests.
	catchUpWindowsMax = 50
)

// Controller sets the admission levels of one backend server: the most important requests are admitted first, and
// within one importance, workspaces get max-min fair shares. It is not safe for concurrent use.
type Controller interface {
	// Admit reports whether an arriving request of the class is admitted, and counts it if so; shedRank is its place in
	// the order of load shedding.
	Admit(now time.Time, c Class, shedRank int) bool
	// Level returns the admission level of the class at now: requests whose place in the order of load shedding is below
	// it are refused.
	Level(now time.Time, c Class) int
	// ObserveWait records how long a request waited in the queue, and whether it was refused there.
	ObserveWait(now time.Time, wait time.Duration, refused bool)
	// CountFinished counts a run that ended.
	CountFinished(now time.Time)
}

// demand is the demand of one class.
type demand struct {
	// admitted is the number of requests admitted in the current window, rate their smoothed number per window, and share
	// the fraction of arriving requests that is admitted.
	admitted float64
	rate     float64
	share    float64
}

type controller struct {
	windowStart  time.Time
	classes      map[Class]*demand
	capacity     float64
	growth       float64
	finished     int
	finishedRate float64
	waitSum      time.Duration
	waitCount    int
	refused      int
	shedding     bool
}

// NewController returns a Controller that admits all requests.
func NewController() Controller {
	return &controller{
		classes: map[Class]*demand{},
		growth:  growthMin,
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

// Admit reports whether an arriving request is admitted, and counts it if so.
func (c *controller) Admit(now time.Time, k Class, shedRank int) bool {
	c.advance(now)
	d := c.class(k)
	if shedRank < level(d.share) {
		return false
	}
	d.admitted++
	return true
}

// Level returns the admission level of the class.
func (c *controller) Level(now time.Time, k Class) int {
	c.advance(now)
	return level(c.class(k).share)
}

func level(share float64) int {
	return int((1 - share) * LevelMax)
}

// ObserveWait records the wait of one request.
func (c *controller) ObserveWait(now time.Time, wait time.Duration, refused bool) {
	c.advance(now)
	c.waitSum += wait
	c.waitCount++
	if refused {
		c.refused++
	}
}

// CountFinished counts a run that ended.
func (c *controller) CountFinished(now time.Time) {
	c.advance(now)
	c.finished++
}

// advance ends the window when its time has passed.
func (c *controller) advance(now time.Time) {
	if c.windowStart.IsZero() {
		c.windowStart = now
	}
	elapsed := now.Sub(c.windowStart)
	if elapsed < window {
		return
	}
	windows := float64(elapsed) / float64(window)
	c.measure(windows)
	for n := 0; n < int(windows) && n < catchUpWindowsMax; n++ {
		c.adapt(n == 0 && c.overloaded())
	}
	c.windowStart = now
	c.finished = 0
	c.waitSum = 0
	c.waitCount = 0
	c.refused = 0
}

// measure updates the smoothed rates of admitted requests and finished runs.
func (c *controller) measure(windows float64) {
	c.finishedRate += rateSmoothing * (float64(c.finished)/windows - c.finishedRate)
	for k, d := range c.classes {
		d.rate += rateSmoothing * (d.admitted/windows - d.rate)
		d.admitted = 0
		if d.rate < rateMin && d.share >= 1 {
			delete(c.classes, k)
		}
	}
}

func (c *controller) overloaded() bool {
	if c.waitCount == 0 {
		return false
	}
	if float64(c.refused) > refusedFractionMax*float64(c.waitCount) {
		return true
	}
	return c.waitSum/time.Duration(c.waitCount) > meanWaitMax
}

// adapt adapts the estimated capacity, then the share of each class.
func (c *controller) adapt(overloaded bool) {
	switch {
	case overloaded:
		c.capacity = capacityFraction * max(c.finishedRate, c.admittedRate()*shareDecreaseMax)
		c.growth = growthMin
		c.shedding = true
	case c.shedding:
		c.capacity = max(c.capacity, capacityFraction*c.admittedRate()) * c.growth
		c.growth = min(growthMax, 1+(c.growth-1)*growthStep)
	default:
		return
	}
	c.allocate()
	c.shedding = c.anyShed()
}

// admittedRate returns the smoothed rate of admitted requests of all classes.
func (c *controller) admittedRate() float64 {
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

// allocate divides the capacity among the classes, the most important first.
func (c *controller) allocate() {
	remaining := c.capacity
	exhausted := false
	for importance := chivegauge.ImportanceCount - 1; importance >= 0; importance-- {
		demands := c.byImportance(chivegauge.Importance(importance))
		fair, used := fairRate(demands, remaining)
		asserter.Check(asserter.LeastImportantFirst, !exhausted || fair == 0)
		for _, d := range demands {
			d.adjust(fair)
		}
		remaining = max(0, remaining-used)
		exhausted = exhausted || remaining <= 0
	}
}

// byImportance returns the demands at the importance, the lowest offered rate first.
func (c *controller) byImportance(i chivegauge.Importance) []*demand {
	var demands []*demand
	for k, d := range c.classes {
		if k.Importance == i {
			demands = append(demands, d)
		}
	}
	sort.Slice(demands, func(a, b int) bool { return demands[a].offeredRate() < demands[b].offeredRate() })
	return demands
}

// offeredRate returns the estimated rate of the class, per window, if none of it were shed.
func (d *demand) offeredRate() float64 {
	return d.rate / max(d.share, shareMin)
}

// fairRate returns the max-min fair rate per class, for demands in ascending order, and the sum used.
func fairRate(sorted []*demand, capacity float64) (fair, used float64) {
	remaining := capacity
	for n, d := range sorted {
		fair = remaining / float64(len(sorted)-n)
		if d.offeredRate() > fair {
			return fair, capacity
		}
		remaining -= d.offeredRate()
	}
	if remaining <= 0 {
		return 0, capacity
	}
	return capacity, capacity - remaining
}

// adjust changes the admitted share towards the fair rate, by a limited factor.
func (d *demand) adjust(fair float64) {
	target := 1.0
	if offered := d.offeredRate(); offered > fair {
		target = fair / offered
	}
	d.share = min(max(target, d.share*shareDecreaseMax), d.share*shareIncreaseMax)
	d.share = min(1, max(shareMin, d.share))
}
