package collector

import (
	"context"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/dialer"
	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
	"golang.org/x/sync/errgroup"
)

const (
	queriesMax   = 32 // concurrent queries
	queryTimeout = time.Second
)

// MemberStatus is the active configuration version and the load of one member.
type MemberStatus struct {
	Address    string
	Service    string
	Zone       string
	State      string
	Reached    bool
	Version    uint64
	Violations uint64
	Running    int
	Limit      int
}

// Status is the active configuration version of the fleet, with the members that lag behind or could not be reached.
type Status struct {
	Revision      uint64
	Version       uint64
	LowestVersion uint64
	Lagging       []string
	Unreached     []string
	Violations    uint64
	Members       []MemberStatus
}

// Collector collects the status of members.
type Collector interface {
	// Collect returns the status of the members, with their versions of the named document.
	Collect(ctx context.Context, document string, members []chivegauge.Member) Status
}

type collector struct {
	dialer dialer.Dialer
}

// New returns a collector that connects to members through the dialer.
func New(d dialer.Dialer) Collector {
	return &collector{
		dialer: d,
	}
}

// Collect queries all members, at most queriesMax at a time.
func (c *collector) Collect(ctx context.Context, document string, members []chivegauge.Member) Status {
	mu := sync.Mutex{}
	status := Status{}
	group := errgroup.Group{}
	group.SetLimit(queriesMax)
	for _, m := range members {
		group.Go(func() error {
			ms := c.query(ctx, document, m)
			mu.Lock()
			defer mu.Unlock()
			status.Members = append(status.Members, ms)
			return nil
		})
	}
	_ = group.Wait()
	return summarize(status)
}

func (c *collector) query(ctx context.Context, document string, m chivegauge.Member) MemberStatus {
	ms := MemberStatus{
		Address: m.Address,
		Service: m.Service,
		Zone:    m.Zone,
		State:   m.State.String(),
	}
	if m.State >= chivegauge.Left {
		return ms
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	res, err := c.dialer.Control(m.Address).Heartbeat(ctx, &messenger.HeartbeatRequest{})
	if err != nil {
		return ms
	}
	ms.Reached = true
	ms.Violations = res.GetViolations()
	ms.Running = int(res.GetRunning())
	ms.Limit = int(res.GetLimit())
	for _, v := range res.GetVersions() {
		if v.GetDocument() == document {
			ms.Version = v.GetVersion()
		}
	}
	return ms
}

// summarize adds the lowest and the highest version, the members that lag behind the highest, and those that could not
// be reached.
func summarize(s Status) Status {
	for _, m := range s.Members {
		s.Version = max(s.Version, m.Version)
		s.Violations += m.Violations
	}
	s.LowestVersion = s.Version
	for _, m := range s.Members {
		switch {
		case m.Reached && m.Version < s.Version:
			s.Lagging = append(s.Lagging, m.Address)
			s.LowestVersion = min(s.LowestVersion, m.Version)
		case !m.Reached && m.State != chivegauge.Left.String():
			s.Unreached = append(s.Unreached, m.Address)
		}
	}
	return s
}
