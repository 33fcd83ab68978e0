package chivegauge

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// AuditLimit is the number of audit entries that a configuration keeps.
const AuditLimit = 400

// Configuration is the document that operators change; each revision replaces the whole document.
type Configuration struct {
	Revision   uint64
	ChangeID   string
	Routes     []Route
	Workspaces []Workspace
	Departures []Departure
	Audit      []AuditEntry
}

// Departure records that a backend server is leaving or gone.
type Departure struct {
	Instance string
	Reason   DepartureReason
}

// DepartureReason is the reason why a backend server gets no new requests.
type DepartureReason string

// The reasons of a departure.
const (
	Leaving DepartureReason = "Leaving"
	Gone    DepartureReason = "Gone"
)

// AuditEntry records one change of the configuration; the same write stores the change and its entry.
type AuditEntry struct {
	Revision uint64
	ChangeID string
	At       time.Time
	Operator string
	Summary  string
}

// Workspace returns the workspace with the name, and whether it exists.
func (c Configuration) Workspace(name string) (Workspace, bool) {
	for _, w := range c.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// Route returns the route with the longest prefix among those that match the method and the path, and whether there is
// one.
func (c Configuration) Route(method, path string) (Route, bool) {
	best := Route{}
	found := false
	for _, r := range c.Routes {
		if !r.Matches(method, path) {
			continue
		}
		if !found || len(r.Prefix) > len(best.Prefix) {
			best = r
			found = true
		}
	}
	return best, found
}

// Departed reports whether the instance is declared leaving or gone.
func (c Configuration) Departed(instance string) bool {
	return c.departure(instance) != ""
}

// Gone reports whether an operator declared the instance gone.
func (c Configuration) Gone(instance string) bool {
	return c.departure(instance) == Gone
}

// departure returns the reason of the instance's departure, or an empty one if it has not departed.
func (c Configuration) departure(instance string) DepartureReason {
	for _, d := range c.Departures {
		if d.Instance == instance {
			return d.Reason
		}
	}
	return ""
}

// Validate returns an error that lists all faults of the configuration, or nil if it is valid.
func (c Configuration) Validate() error {
	faults := c.routeFaults()
	faults = append(faults, c.workspaceFaults()...)
	if len(faults) > 0 {
		return errors.New(strings.Join(faults, "; "))
	}
	return nil
}

func (c Configuration) routeFaults() []string {
	var faults []string
	seen := map[string]bool{}
	for _, r := range c.Routes {
		if r.Name == "" || seen[r.Name] {
			faults = append(faults, "Routes: name "+r.Name+" is empty or used twice")
		}
		seen[r.Name] = true
		if !strings.HasPrefix(r.Prefix, "/") {
			faults = append(faults, "Routes."+r.Name+".Prefix: does not start with /")
		}
		if r.Service == "" {
			faults = append(faults, "Routes."+r.Name+".Service: is empty")
		}
		if r.DeadlineMs <= 0 {
			faults = append(faults, "Routes."+r.Name+".DeadlineMs: is not above 0 ms")
		}
		if !r.Importance.Valid() {
			faults = append(faults, "Routes."+r.Name+".Importance: is unknown")
		}
	}
	return faults
}

func (c Configuration) workspaceFaults() []string {
	var faults []string
	seen := map[string]bool{}
	for _, w := range c.Workspaces {
		if w.Name == "" || seen[w.Name] {
			faults = append(faults, "Workspaces: name "+w.Name+" is empty or used twice")
		}
		seen[w.Name] = true
		if w.RatePerSecond <= 0 || w.Burst < 1 {
			faults = append(faults, "Workspaces."+w.Name+": RatePerSecond must be above 0 a second and Burst at least 1")
		}
		if w.Spread < 1 {
			faults = append(faults, "Workspaces."+w.Name+".Spread: is below 1 slot")
		}
	}
	return faults
}

// DecodeConfiguration decodes b as JSON and validates it, and returns the configuration or an error.
func DecodeConfiguration(b []byte) (Configuration, error) {
	c := Configuration{}
	if err := json.Unmarshal(b, &c); err != nil {
		return Configuration{}, errors.Wrap(err, "decode configuration")
	}
	if err := c.Validate(); err != nil {
		return Configuration{}, errors.Wrap(err, "validate configuration")
	}
	return c, nil
}
