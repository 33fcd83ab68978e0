package assembler

import (
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/divider"
	"github.com/chivegauge/chivegauge/internal/request/router"
)

// rates gives each of the known nodes an equal part of the rates of workspaces.
type rates struct {
	mu         sync.Mutex
	divider    divider.Divider
	workspaces []chivegauge.Workspace
	parts      int
}

// startPart is the part of a burst that a node has when it starts beside others that may have spent theirs.
const startPart = 0

func newRates(first bool) *rates {
	initial := float64(startPart)
	if first {
		initial = 1
	}
	return &rates{
		divider: divider.New(initial),
		parts:   1,
	}
}

// Take spends a token of the workspace.
func (r *rates) Take(now time.Time, workspace string) (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.divider.Take(now, workspace)
}

func (r *rates) configure(cfg router.Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workspaces = cfg.Workspaces()
	r.divider.Configure(time.Now(), r.workspaces, r.parts)
}

func (r *rates) resize(parts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if parts != r.parts {
		r.parts = parts
		r.divider.Configure(time.Now(), r.workspaces, r.parts)
	}
}
