package picker

import (
	"math"
	"time"

	"github.com/chivegauge/chivegauge"
)

const (
	// The penalties are in units of a member's limit: a cost of 1 is a fully used limit.
	otherZonePenalty   = 0.3
	otherRegionPenalty = 3.0
	suspectPenalty     = 2.0

	// failurePenalty is the cost of a failure rate of 1: a failure rate of about a sixth costs as much as another zone.
	failurePenalty = 2.0

	// failureHalfLife is the half-life of the failure rate without new runs, so that the member is tried again.
	failureHalfLife = 2 * time.Second

	// The usage of a member is multiplied by 1+slowStartFactor when the member is first seen; the factor falls to 1 over
	// slowStart. Members that are seen within slowStart after the first pick are not new: the node is.
	slowStart       = 10 * time.Second
	slowStartFactor = 4.0

	// A reported load is used for loadAgeMax; without one, assumedLimit is taken as the member's limit.
	loadAgeMax   = 2 * time.Second
	assumedLimit = 10

	// A member is ejected after ejectFailures failed attempts in a row, for ejectionFirst, and each further time for twice
	// as long, up to ejectionMax.
	ejectFailures = 5
	ejectionFirst = time.Second
	ejectionMax   = 30 * time.Second

	// choicesPerGroup is the number of random members compared among those in the same zone, and among the others.
	choicesPerGroup = 2

	// drawsMax is the number of random draws for them, after which the members are visited one after the other.
	drawsMax = 6

	// statesMax is the number of addresses of which outcomes are recorded.
	statesMax = 20000
)

// Outcome is the outcome of one attempt at a backend server.
type Outcome int

// The outcomes of an attempt.
const (
	Succeeded Outcome = iota
	// Refused is an attempt that was refused, which is no failure.
	Refused
	Failed
	// Unreached is an attempt that failed because no connection to the member's node could be established.
	// It ejects the member at once.
	Unreached
)

// Load is the load of a backend server as reported by its node: running and waiting requests, and the concurrency
// limit.
type Load struct {
	Running int
	Waiting int
	Limit   int

	// FailureRate is the fraction of the latest runs that failed, from 0 to 1.
	FailureRate float64
}

// Random returns a random number in [0, n).
type Random func(n int) int

// Picker chooses a member for each attempt, by the outcomes of earlier attempts.
type Picker interface {
	// Pick returns the member to send an attempt to at now, other than those at the addresses tried, or false if there is
	// none.
	Pick(now time.Time, members []chivegauge.Member, tried []string, random Random) (chivegauge.Member, bool)
	// Begin counts an attempt at the address as in flight.
	Begin(address string)
	// End records the outcome of an attempt and the load reported in the response; a load without a limit is ignored.
	End(now time.Time, address string, outcome Outcome, load Load)
}

// state is what is recorded of the member at one address.
type state struct {
	firstSeen    time.Time
	inFlight     int
	load         Load
	loadReceived time.Time
	failures     int
	ejections    int
	ejectedUntil time.Time
}

type picker struct {
	zone      string
	region    string
	firstPick time.Time
	states    map[string]*state

	// groups holds the groups of the list of each service, by the service.
	groups map[string]*groups

	// ejections counts the ejections of all members, the last of which ends at ejectedUntil.
	ejections    int
	ejectedUntil time.Time
}

// New returns a Picker for a node in the zone and region.
func New(zone, region string) Picker {
	return &picker{
		zone:   zone,
		region: region,
		states: map[string]*state{},
		groups: map[string]*groups{},
	}
}

func (p *picker) state(address string) *state {
	s := p.states[address]
	if s == nil {
		if len(p.states) >= statesMax {
			p.evict()
		}
		s = &state{}
		p.states[address] = s
	}
	return s
}

// evict removes the state of one address without attempts in flight.
func (p *picker) evict() {
	for address, s := range p.states {
		if s.inFlight == 0 {
			delete(p.states, address)
			return
		}
	}
}

// Pick compares the costs of a few random members, in the same zone and in others, and returns the member with the
// lowest.
func (p *picker) Pick(now time.Time, members []chivegauge.Member, tried []string, random Random) (chivegauge.Member, bool) {
	best := chivegauge.Member{}
	cost := math.Inf(1)
	if len(members) == 0 {
		return best, false
	}
	if p.firstPick.IsZero() {
		p.firstPick = now
	}
	g := p.groupsOf(members)
	skipEjected := p.skipEjected(now, g)
	usable := func(m chivegauge.Member) bool {
		return m.Serving() && !contains(tried, m.Address) && (!skipEjected || !p.ejected(now, m.Address))
	}
	for _, group := range [...][]chivegauge.Member{g.sameZone, g.otherZones} {
		c := choose(group, usable, random)
		for _, i := range c.indexes[:c.count] {
			if memberCost := p.cost(now, group[i]); memberCost < cost {
				best = group[i]
				cost = memberCost
			}
		}
	}
	return best, !math.IsInf(cost, 1)
}

// groupsOf returns the groups of the list, which has a member.
func (p *picker) groupsOf(members []chivegauge.Member) *groups {
	service := members[0].Service
	g := p.groups[service]
	if g == nil || !g.of(members) {
		g = newGroups(members, p.zone)
		p.groups[service] = g
	}
	return g
}

// skipEjected reports whether ejected members are skipped: not if more than half of the serving members are ejected, or
// all of them.
func (p *picker) skipEjected(now time.Time, g *groups) bool {
	if !now.Before(p.ejectedUntil) {
		return false
	}
	if g.checkedEjections == p.ejections && now.Before(g.checkedUntil) {
		return g.skipEjected
	}
	serving := 0
	ejected := 0
	g.checkedUntil = p.ejectedUntil
	g.checkedEjections = p.ejections
	for _, m := range g.list {
		if !m.Serving() {
			continue
		}
		serving++
		if p.ejected(now, m.Address) {
			ejected++
			if until := p.states[m.Address].ejectedUntil; until.Before(g.checkedUntil) {
				g.checkedUntil = until
			}
		}
	}
	g.skipEjected = 2*ejected <= serving && ejected < serving
	return g.skipEjected
}

func contains(list []string, target string) bool {
	for _, element := range list {
		if element == target {
			return true
		}
	}
	return false
}

func (p *picker) ejected(now time.Time, address string) bool {
	s := p.states[address]
	return s != nil && now.Before(s.ejectedUntil)
}

// cost returns the fraction of the member's limit in use, raised for new, failing and suspect members and for members
// in another zone or region.
func (p *picker) cost(now time.Time, m chivegauge.Member) float64 {
	s := p.state(m.Address)
	if s.firstSeen.IsZero() {
		s.firstSeen = now
		if now.Sub(p.firstPick) < slowStart {
			s.firstSeen = now.Add(-slowStart)
		}
	}
	limit := assumedLimit
	reported := 0
	if now.Sub(s.loadReceived) < loadAgeMax && s.load.Limit > 0 {
		limit = s.load.Limit
		reported = s.load.Running + s.load.Waiting
	}
	cost := float64(max(reported, s.inFlight)+1) / float64(limit)
	if age := now.Sub(s.firstSeen); age < slowStart {
		cost *= 1 + slowStartFactor*(1-float64(age)/float64(slowStart))
	}
	if s.load.FailureRate > 0 {
		cost += failurePenalty * DecayFailureRate(s.load.FailureRate, now.Sub(s.loadReceived))
	}
	return cost + p.penalty(m)
}

// DecayFailureRate returns the failure rate decayed over a time without runs.
func DecayFailureRate(rate float64, elapsed time.Duration) float64 {
	return rate * math.Exp2(-elapsed.Seconds()/failureHalfLife.Seconds())
}

// penalty returns the cost added for another zone, another region and a suspect member.
func (p *picker) penalty(m chivegauge.Member) float64 {
	penalty := 0.0
	if m.Zone != p.zone {
		penalty += otherZonePenalty
	}
	if m.Region != p.region {
		penalty += otherRegionPenalty
	}
	if m.State == chivegauge.Suspect {
		penalty += suspectPenalty
	}
	return penalty
}

// Begin counts an attempt at the address as in flight.
func (p *picker) Begin(address string) {
	p.state(address).inFlight++
}

// End records the outcome of an attempt.
func (p *picker) End(now time.Time, address string, outcome Outcome, load Load) {
	s := p.state(address)
	s.inFlight--
	if load.Limit > 0 {
		s.load = load
		s.loadReceived = now
	}
	switch outcome {
	case Succeeded:
		s.failures = 0
		s.ejections = 0
		return
	case Refused:
		s.failures = 0
		return
	case Failed:
		s.failures++
		if s.failures < ejectFailures {
			return
		}
	case Unreached:
		if now.Before(s.ejectedUntil) {
			return
		}
	}
	s.ejectedUntil = now.Add(min(ejectionMax, ejectionFirst<<min(s.ejections, 5)))
	p.ejections++
	if s.ejectedUntil.After(p.ejectedUntil) {
		p.ejectedUntil = s.ejectedUntil
	}
	s.ejections++
	s.failures = 0
}

type roundRobin struct {
	next int
}

// NewRoundRobin returns a Picker that picks the members in turn and ignores outcomes.
func NewRoundRobin() Picker {
	return &roundRobin{}
}

// Pick returns the next member in turn that is serving and was not tried.
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
