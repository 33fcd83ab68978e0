package picker

import (
	"math"
	"time"

	"github.com/chivegauge/chivegauge"
)

const (
	zonePenalty     = 0.3
	regionPenalty   = 3.0
	suspectPenalty  = 2.0
	slowStart       = 10 * time.Second
	slowStartFactor = 4.0
	loadLifetime    = 2 * time.Second
	limitUnknown    = 10
	ejectFailures   = 5
	ejectFirst      = time.Second
	ejectMax        = 30 * time.Second
	choicesPerZone  = 2
	observedMax     = 20000

	// failingPenalty raises the cost of a member by the share of its runs that fail: at a sixth of them, another zone
	// costs as much.
	failingPenalty = 2.0

	// failingHalf is the time in which the known share of failed runs counts half, so that the member is tried again.
	failingHalf = 2 * time.Second
)

// Outcome is what one attempt at a backend server showed.
type Outcome int

// The outcomes of an attempt.
const (
	Succeeded Outcome = iota
	Refused
	Failed
	// Unreached is an attempt for which no connection to the member's node could be made.
	Unreached
)

// Load is what a backend server's node said of its running requests.
type Load struct {
	Running int
	Waiting int
	Limit   int

	// Failing is the share of the latest runs that failed, from 0 to 1.
	Failing float64
}

// Random returns a number in [0, n).
type Random func(n int) int

// Picker chooses among members and learns from the outcomes.
type Picker interface {
	// Pick returns a member to send to at now, leaving out the addresses tried, or false.
	Pick(now time.Time, members []chivegauge.Member, tried []string, random Random) (chivegauge.Member, bool)
	// Begin counts an attempt at the address as in flight.
	Begin(address string)
	// End takes in the outcome of an attempt and the load that the answer carried.
	End(now time.Time, address string, outcome Outcome, load Load)
}

type observed struct {
	first    time.Time
	inFlight int
	load     Load
	loadAt   time.Time
	failures int
	ejects   int
	until    time.Time
}

type picker struct {
	zone   string
	region string
	seen   map[string]*observed
}

// New returns a picker for a node in the zone and region.
func New(zone, region string) Picker {
	return &picker{
		zone:   zone,
		region: region,
		seen:   map[string]*observed{},
	}
}

func (p *picker) observed(address string) *observed {
	o := p.seen[address]
	if o == nil {
		if len(p.seen) >= observedMax {
			p.evict()
		}
		o = &observed{}
		p.seen[address] = o
	}
	return o
}

// evict forgets one address without attempts in flight.
func (p *picker) evict() {
	for address, o := range p.seen {
		if o.inFlight == 0 {
			delete(p.seen, address)
			return
		}
	}
}

// Pick compares a few random members of each distance and returns the cheapest.
func (p *picker) Pick(now time.Time, members []chivegauge.Member, tried []string, random Random) (chivegauge.Member, bool) {
	near, far := p.split(now, members, tried)
	best := chivegauge.Member{}
	cost := math.Inf(1)
	for _, group := range [][]chivegauge.Member{near, far} {
		for n := 0; n < choicesPerZone && len(group) > 0; n++ {
			i := random(len(group))
			m := group[i]
			group[i] = group[len(group)-1]
			group = group[:len(group)-1]
			if c := p.cost(now, m); c < cost {
				best = m
				cost = c
			}
		}
	}
	return best, !math.IsInf(cost, 1)
}

// split returns the usable members of the own zone and the others; ejected
// ones are used again when more than half of the service would be ejected.
func (p *picker) split(now time.Time, members []chivegauge.Member, tried []string) (near, far []chivegauge.Member) {
	serving := 0
	ejected := 0
	for _, m := range members {
		if m.Serving() {
			serving++
			if p.ejected(now, m.Address) {
				ejected++
			}
		}
	}
	honour := 2*ejected <= serving && ejected < serving
	for _, m := range members {
		if !m.Serving() || contains(tried, m.Address) || (honour && p.ejected(now, m.Address)) {
			continue
		}
		if m.Zone == p.zone {
			near = append(near, m)
			continue
		}
		far = append(far, m)
	}
	return near, far
}

func contains(list []string, s string) bool {
	for _, have := range list {
		if have == s {
			return true
		}
	}
	return false
}

func (p *picker) ejected(now time.Time, address string) bool {
	o := p.seen[address]
	return o != nil && now.Before(o.until)
}

// cost returns the share of the member's limit in use, raised by distance, doubt and youth.
func (p *picker) cost(now time.Time, m chivegauge.Member) float64 {
	o := p.observed(m.Address)
	if o.first.IsZero() {
		o.first = now
	}
	limit := limitUnknown
	known := 0
	if now.Sub(o.loadAt) < loadLifetime && o.load.Limit > 0 {
		limit = o.load.Limit
		known = o.load.Running + o.load.Waiting
	}
	cost := float64(max(known, o.inFlight)+1) / float64(limit)
	if age := now.Sub(o.first); age < slowStart {
		cost *= 1 + slowStartFactor*(1-float64(age)/float64(slowStart))
	}
	if o.load.Failing > 0 {
		cost += failingPenalty * Fade(o.load.Failing, now.Sub(o.loadAt))
	}
	return cost + p.distance(m)
}

// Fade returns what a share of failed runs still counts after a time without runs.
func Fade(share float64, passed time.Duration) float64 {
	return share * math.Exp2(-passed.Seconds()/failingHalf.Seconds())
}

func (p *picker) distance(m chivegauge.Member) float64 {
	d := 0.0
	if m.Zone != p.zone {
		d += zonePenalty
	}
	if m.Region != p.region {
		d += regionPenalty
	}
	if m.State == chivegauge.Suspect {
		d += suspectPenalty
	}
	return d
}

// Begin counts an attempt at the address as in flight.
func (p *picker) Begin(address string) {
	p.observed(address).inFlight++
}

// End takes in the outcome of an attempt.
func (p *picker) End(now time.Time, address string, outcome Outcome, load Load) {
	o := p.observed(address)
	o.inFlight--
	if load.Limit > 0 {
		o.load = load
		o.loadAt = now
	}
	switch outcome {
	case Succeeded:
		o.failures = 0
		o.ejects = 0
		return
	case Refused:
		o.failures = 0
		return
	case Failed:
		o.failures++
		if o.failures < ejectFailures {
			return
		}
	case Unreached:
		if now.Before(o.until) {
			return
		}
	}
	o.until = now.Add(min(ejectMax, ejectFirst<<min(o.ejects, 5)))
	o.ejects++
	o.failures = 0
}

type roundRobin struct {
	next int
}

// NewRoundRobin returns a picker that takes the members in turn and learns nothing.
func NewRoundRobin() Picker {
	return &roundRobin{}
}

// Pick returns the next member in turn that serves and was not tried.
func (r *roundRobin) Pick(_ time.Time, members []chivegauge.Member, tried []string, _ Random) (chivegauge.Member, bool) {
	for range members {
		r.next++
		m := members[r.next%len(members)]
		if m.Serving() && !contains(tried, m.Address) {
			return m, true
		}
	}
	return chivegauge.Member{}, false
}

// Begin does nothing.
func (r *roundRobin) Begin(string) {}

// End does nothing.
func (r *roundRobin) End(time.Time, string, Outcome, Load) {}
