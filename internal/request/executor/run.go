package executor

import (
	"context"
	"sync"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/lender"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
)

// Run is a running call, the parent of the nested calls that the backend server makes for it.
type Run struct {
	Call    chivegauge.Call
	Context context.Context

	attempt  tracker.Attempt
	token    string
	cancel   context.CancelFunc
	done     chan struct{}
	response chivegauge.Response
	waiters  int

	mu     sync.Mutex
	tokens *lender.Account
	levels map[string]int
}

// ended reports whether the response is set.
func (r *Run) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// LendNested lends retry tokens to a nested call and returns their number.
func (r *Run) LendNested() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens.LendNested()
}

// ReturnNested returns the unspent retry tokens of a loan to the run and records the admission levels in the response
// of the nested call.
func (r *Run) ReturnNested(loan int, response chivegauge.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens.Return(loan, response.Tokens)
	for _, l := range response.Levels {
		r.levels[l.Service] = max(r.levels[l.Service], l.Level)
	}
}

// totals returns the retry tokens left and the admission levels of this service and of the services called.
func (r *Run) totals(own chivegauge.ServiceLevel) (int, []chivegauge.ServiceLevel) {
	r.mu.Lock()
	defer r.mu.Unlock()
	levels := make([]chivegauge.ServiceLevel, 0, len(r.levels)+1)
	levels = append(levels, own)
	for service, level := range r.levels {
		if service != own.Service {
			levels = append(levels, chivegauge.ServiceLevel{
				Service: service,
				Level:   level,
			})
		}
	}
	return r.tokens.Left(), levels
}
