package splitter

import "github.com/chivegauge/chivegauge"

// Splitter distributes requests among services; it is not safe for concurrent use.
type Splitter interface {
	// Choose returns the service to which the next request on the route goes.
	Choose(r chivegauge.Route) string
}

// routesMax is the number of routes whose credits are kept; at the limit all credits are reset.
const routesMax = 10000

type splitter struct {
	// credits is the credit of each service, by route name and service name.
	credits map[string]map[string]float64
}

// New returns a Splitter without credits.
func New() Splitter {
	return &splitter{
		credits: map[string]map[string]float64{},
	}
}

// Choose implements smooth weighted round-robin: it adds to the credit of each service its weight, and chooses the
// service with the highest credit, which is then reduced by the sum of the weights.
func (s *splitter) Choose(r chivegauge.Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	credit := s.credits[r.Name]
	if credit == nil || !sameServices(credit, r.Split) {
		if len(s.credits) >= routesMax {
			clear(s.credits)
		}
		credit = map[string]float64{}
		s.credits[r.Name] = credit
	}
	total := 0.0
	best := ""
	for _, w := range r.Split {
		total += w.Weight
		credit[w.Service] += w.Weight
		if best == "" || credit[w.Service] > credit[best] {
			best = w.Service
		}
	}
	credit[best] -= total
	return best
}

// sameServices reports whether the credits are those of exactly the services in the split.
func sameServices(credit map[string]float64, split []chivegauge.ServiceWeight) bool {
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
