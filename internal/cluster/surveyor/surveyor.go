package surveyor

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
	parallel   = 32
	askTimeout = time.Second
)

// MemberStatus is what one member has in force.
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

// Status is what the fleet has in force.
type Status struct {
	Revision      uint64
	Version       uint64
	LowestVersion uint64
	Lagging       []string
	Unreached     []string
	Violations    uint64
	Members       []MemberStatus
}

// Surveyor asks members for their status.
type Surveyor interface {
	// Survey returns the status of the members for the document of the name.
	Survey(ctx context.Context, document string, members []chivegauge.Member) Status
}

type surveyor struct {
	dialer dialer.Dialer
}

// New returns a surveyor that reaches members through the dialer.
func New(d dialer.Dialer) Surveyor {
	return &surveyor{
		dialer: d,
	}
}

// Survey asks each member, a bounded number at a time.
func (s *surveyor) Survey(ctx context.Context, document string, members []chivegauge.Member) Status {
	mu := sync.Mutex{}
	status := Status{}
	group := errgroup.Group{}
	group.SetLimit(parallel)
	for _, m := range members {
		group.Go(func() error {
			ms := s.ask(ctx, document, m)
			mu.Lock()
			defer mu.Unlock()
			status.Members = append(status.Members, ms)
			return nil
		})
	}
	_ = group.Wait()
	return summarize(status)
}

func (s *surveyor) ask(ctx context.Context, document string, m chivegauge.Member) MemberStatus {
	ms := MemberStatus{
		Address: m.Address,
		Service: m.Service,
		Zone:    m.Zone,
		State:   m.State.String(),
	}
	if m.State >= chivegauge.Left {
		return ms
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	res, err := s.dialer.Control(m.Address).Heartbeat(ctx, &messenger.HeartbeatRequest{})
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

// summarize adds the lowest version, who lags behind the highest, and who was not reached.
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
