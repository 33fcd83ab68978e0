package planner

import (
	"fmt"

	"github.com/chivegauge/chivegauge"
	"github.com/go-faster/errors"
)

// Intent is one change that an operator requests; exactly one field is set.
type Intent struct {
	SetRoute        *chivegauge.Route `json:",omitempty"`
	RemoveRoute     string            `json:",omitempty"`
	SetWorkspace    *WorkspaceIntent  `json:",omitempty"`
	RemoveWorkspace string            `json:",omitempty"`
	GiveKey         *KeyIntent        `json:",omitempty"`
	WithdrawKey     *KeyIntent        `json:",omitempty"`
	Leave           string            `json:",omitempty"`
	Return          string            `json:",omitempty"`
	Gone            string            `json:",omitempty"`
}

// WorkspaceIntent sets the rate limit of a workspace: RatePerSecond requests a second and a burst of Burst requests.
type WorkspaceIntent struct {
	Name          string
	RatePerSecond float64
	Burst         float64
}

// KeyIntent adds a key by its hash or withdraws one by its ID.
type KeyIntent struct {
	Workspace string
	ID        string
	Hash      string `json:",omitempty"`
}

const (
	// spreadMax is the largest number of slots that the rate of a workspace is spread over.
	spreadMax = 64

	// burstPerSlot is the burst, in requests, for which a new workspace gets one slot.
	burstPerSlot = 8
)

// apply returns the configuration with the intent applied, and a line that describes the change.
func (i Intent) apply(c chivegauge.Configuration) (chivegauge.Configuration, string, error) {
	switch {
	case i.SetRoute != nil:
		return setRoute(c, *i.SetRoute)
	case i.RemoveRoute != "":
		return removeRoute(c, i.RemoveRoute)
	case i.SetWorkspace != nil:
		return setWorkspace(c, *i.SetWorkspace)
	case i.RemoveWorkspace != "":
		return removeWorkspace(c, i.RemoveWorkspace)
	case i.GiveKey != nil:
		return giveKey(c, *i.GiveKey)
	case i.WithdrawKey != nil:
		return withdrawKey(c, *i.WithdrawKey)
	case i.Leave != "":
		return addDeparture(c, i.Leave, chivegauge.Leaving)
	case i.Gone != "":
		return addDeparture(c, i.Gone, chivegauge.Gone)
	case i.Return != "":
		return cancelDeparture(c, i.Return)
	default:
		return c, "", errors.New("the intent names nothing to do")
	}
}

func setRoute(c chivegauge.Configuration, r chivegauge.Route) (chivegauge.Configuration, string, error) {
	routes := make([]chivegauge.Route, 0, len(c.Routes)+1)
	verb := "add"
	for _, existing := range c.Routes {
		if existing.Name == r.Name {
			verb = "change"
			continue
		}
		routes = append(routes, existing)
	}
	routes = append(routes, r)
	c.Routes = routes
	line := fmt.Sprintf("%s route %s: %s %s to %s, importance %s, idempotent %t, open %t, deadline %d ms",
		verb, r.Name, r.Method, r.Prefix, r.Service, r.Importance, r.Idempotent, r.Open, r.DeadlineMs)
	return c, line, nil
}

func removeRoute(c chivegauge.Configuration, name string) (chivegauge.Configuration, string, error) {
	routes := make([]chivegauge.Route, 0, len(c.Routes))
	for _, existing := range c.Routes {
		if existing.Name != name {
			routes = append(routes, existing)
		}
	}
	if len(routes) == len(c.Routes) {
		return c, "", errors.Errorf("there is no route %s", name)
	}
	c.Routes = routes
	return c, "remove route " + name, nil
}

func setWorkspace(c chivegauge.Configuration, w WorkspaceIntent) (chivegauge.Configuration, string, error) {
	line := fmt.Sprintf("set workspace %s: rate %g a second, burst %g", w.Name, w.RatePerSecond, w.Burst)
	if existing, ok := c.Workspace(w.Name); ok {
		line += fmt.Sprintf(" (was %g a second, burst %g)", existing.RatePerSecond, existing.Burst)
		existing.RatePerSecond = w.RatePerSecond
		existing.Burst = w.Burst
		return replaceWorkspace(c, existing), line, nil
	}
	added := chivegauge.Workspace{
		Name:          w.Name,
		RatePerSecond: w.RatePerSecond,
		Burst:         w.Burst,
		Spread:        min(spreadMax, max(1, int(w.Burst/burstPerSlot))),
	}
	return replaceWorkspace(c, added), line, nil
}

// replaceWorkspace returns the configuration with the workspace in place of the one of the same name, or added.
func replaceWorkspace(c chivegauge.Configuration, w chivegauge.Workspace) chivegauge.Configuration {
	list := make([]chivegauge.Workspace, 0, len(c.Workspaces)+1)
	found := false
	for _, existing := range c.Workspaces {
		if existing.Name == w.Name {
			existing = w
			found = true
		}
		list = append(list, existing)
	}
	if !found {
		list = append(list, w)
	}
	c.Workspaces = list
	return c
}

func removeWorkspace(c chivegauge.Configuration, name string) (chivegauge.Configuration, string, error) {
	list := make([]chivegauge.Workspace, 0, len(c.Workspaces))
	for _, existing := range c.Workspaces {
		if existing.Name != name {
			list = append(list, existing)
		}
	}
	if len(list) == len(c.Workspaces) {
		return c, "", errors.Errorf("there is no workspace %s", name)
	}
	c.Workspaces = list
	return c, "remove workspace " + name + " and its keys", nil
}

func giveKey(c chivegauge.Configuration, k KeyIntent) (chivegauge.Configuration, string, error) {
	w, ok := c.Workspace(k.Workspace)
	if !ok {
		return c, "", errors.Errorf("there is no workspace %s", k.Workspace)
	}
	for _, other := range c.Workspaces {
		if other.HasKey(k.ID) {
			return c, "", errors.Errorf("key %s is already given to workspace %s", k.ID, other.Name)
		}
	}
	w = w.WithKey(chivegauge.Key{
		ID:   k.ID,
		Hash: k.Hash,
	})
	return replaceWorkspace(c, w), "give key " + k.ID + " to workspace " + k.Workspace, nil
}

func withdrawKey(c chivegauge.Configuration, k KeyIntent) (chivegauge.Configuration, string, error) {
	w, ok := c.Workspace(k.Workspace)
	if !ok || !w.HasKey(k.ID) {
		return c, "", errors.Errorf("workspace %s has no key %s", k.Workspace, k.ID)
	}
	return replaceWorkspace(c, w.WithoutKey(k.ID)), "withdraw key " + k.ID + " of workspace " + k.Workspace, nil
}

func addDeparture(c chivegauge.Configuration, instance string, reason chivegauge.DepartureReason) (chivegauge.Configuration, string, error) {
	c = withoutDeparture(c, instance)
	c.Departures = append(c.Departures, chivegauge.Departure{
		Instance: instance,
		Reason:   reason,
	})
	return c, fmt.Sprintf("mark the backend server at %s as %s", instance, reason), nil
}

func cancelDeparture(c chivegauge.Configuration, instance string) (chivegauge.Configuration, string, error) {
	if !c.Departed(instance) {
		return c, "", errors.Errorf("the backend server at %s is not leaving", instance)
	}
	return withoutDeparture(c, instance), "let the backend server at " + instance + " serve again", nil
}

func withoutDeparture(c chivegauge.Configuration, instance string) chivegauge.Configuration {
	list := make([]chivegauge.Departure, 0, len(c.Departures)+1)
	for _, d := range c.Departures {
		if d.Instance != instance {
			list = append(list, d)
		}
	}
	c.Departures = list
	return c
}
