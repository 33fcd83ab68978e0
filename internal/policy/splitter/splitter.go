package splitter

import "github.com/chivegauge/chivegauge"

// Splitter deals requests out; it is not safe for concurrent use.
type Splitter interface {
	// Choose returns the service of the next request on the route.
	Choose(r chivegauge.Route) string
}

// routesMax is the number of routes whose credits are kept.
const routesMax = 10000

type splitter struct {
	credits map[string]map[string]float64
}

// New returns a splitter that has dealt nothing out.
func New() Splitter {
	return &splitter{
		credits: map[string]map[string]float64{},
	}
}

// Choose gives each service its weight as credit and takes the one with most credit, which pays the sum.
func (s *splitter) Choose(r chivegauge.Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	credit := s.credits[r.Name]
	if credit == nil || !same(credit, r.Split) {
		if len(s.credits) >= routesMax {
			clear(s.credits)
		}
		credit = map[string]float64{}
		s.credits[r.Name] = credit
	}
	sum := 0.0
	best := ""
	for _, w := range r.Split {
		sum += w.Weight
		credit[w.Service] += w.Weight
		if best == "" || credit[w.Service] > credit[best] {
			best = w.Service
		}
	}
	credit[best] -= sum
	return best
}

// same reports whether the credits are of just the services in the split, or of none yet.
func same(credit map[string]float64, split []chivegauge.ServiceWeight) bool {
	if len(credit) != len(split) {
		return false
	}
	for _, w := range split {
		if _, ok := credit[w.Service]; !ok {
			return false
		}
	}
	return true
}
