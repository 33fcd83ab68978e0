package planner

import (
	"fmt"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/collector"
)

// describeEffects returns the expected effects of the intents, and warnings for the operator.
func describeEffects(before, after chivegauge.Configuration, intents []Intent, m FleetStatus) (expected, warnings []string) {
	for _, i := range intents {
		switch {
		case i.Leave != "":
			e, w := departureEffects(after, m, i.Leave)
			expected = append(expected, e...)
			warnings = append(warnings, w...)
		case i.Gone != "":
			expected = append(expected, "the rate slots that "+i.Gone+" kept are given to other nodes")
			warnings = append(warnings, "if "+i.Gone+" is only cut off or paused, its rate slots could be spent twice: stop it first")
		case i.WithdrawKey != nil:
			expected = append(expected, "callers with key "+i.WithdrawKey.ID+" are refused as not run within 2 s")
			if w, ok := after.Workspace(i.WithdrawKey.Workspace); ok && len(w.Keys) == 0 {
				warnings = append(warnings, "workspace "+w.Name+" has no key left")
			}
		case i.SetWorkspace != nil:
			e, w := rateEffects(before, *i.SetWorkspace)
			expected = append(expected, e...)
			warnings = append(warnings, w...)
		case i.SetRoute != nil:
			if !hasServer(m, i.SetRoute.Service) {
				warnings = append(warnings, "no living backend server serves "+i.SetRoute.Service)
			}
		}
	}
	return expected, warnings
}

// capacity is the number of a service's backend servers, of the requests that they run, and their concurrency limit.
type capacity struct {
	servers int
	running int
	limit   int
}

func (c capacity) plus(m collector.MemberStatus) capacity {
	c.servers++
	c.running += m.Running
	c.limit += m.Limit
	return c
}

func departureEffects(after chivegauge.Configuration, m FleetStatus, instance string) (expected, warnings []string) {
	service := ""
	for _, member := range m.Members {
		if member.Address == instance {
			service = member.Service
		}
	}
	if service == "" {
		return nil, []string{"no member has the address " + instance}
	}
	total := capacity{}
	remaining := capacity{}
	for _, member := range m.Members {
		if member.Service != service || !serving(member) {
			continue
		}
		total = total.plus(member)
		if !after.Departed(member.Address) {
			remaining = remaining.plus(member)
		}
	}
	expected = append(expected, fmt.Sprintf("service %s keeps %d of %d backend servers and may run %d of %d requests at once; %d run now",
		service, remaining.servers, total.servers, remaining.limit, total.limit, total.running))
	switch {
	case remaining.servers == 0:
		warnings = append(warnings, "service "+service+" would have no backend server: each of its requests would be refused as not run")
	case total.running > remaining.limit:
		warnings = append(warnings, "service "+service+" runs more now than would be left: the least important requests would be refused as not run")
	}
	return expected, warnings
}

func serving(m collector.MemberStatus) bool {
	return m.State == chivegauge.Alive.String() || m.State == chivegauge.Suspect.String()
}

func rateEffects(before chivegauge.Configuration, w WorkspaceIntent) (expected, warnings []string) {
	current, ok := before.Workspace(w.Name)
	if !ok {
		return []string{"workspace " + w.Name + " is served once a key is given to it"}, nil
	}
	if w.RatePerSecond < current.RatePerSecond {
		cut := current.RatePerSecond - w.RatePerSecond
		warnings = append(warnings, fmt.Sprintf("workspace %s may send %g a second less; what is above is refused as not run", w.Name, cut))
	}
	if w.Burst < 2*float64(current.Spread) {
		warnings = append(warnings, fmt.Sprintf("the burst is spread over %d slots, fewer than 2 requests each", current.Spread))
	}
	return expected, warnings
}

func hasServer(m FleetStatus, service string) bool {
	for _, member := range m.Members {
		if member.Service == service && serving(member) {
			return true
		}
	}
	return false
}
