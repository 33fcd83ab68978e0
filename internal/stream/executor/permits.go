package executor

import (
	"context"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/concurrencylimiter"
)

// permits are the permits that a request holds while it runs: one of the backend server, and one of the limiter for
// parents if requests on its route make nested calls.
type permits struct {
	run    concurrencylimiter.Permit
	parent *concurrencylimiter.Permit
}

// acquire waits for the permits of the request, the one for parents first, or returns a refusal.
func (e *executor) acquire(ctx context.Context, c chivegauge.Call) (permits, *chivegauge.Refusal) {
	p := permits{}
	if e.Correlator.MakesNestedCalls(c.Route) {
		parent, refusal := e.ParentLimiter.Acquire(ctx, c)
		if refusal != nil {
			return p, refusal
		}
		p.parent = &parent
	}
	run, refusal := e.Limiter.Acquire(ctx, c)
	if refusal != nil && p.parent != nil {
		e.ParentLimiter.Release(*p.parent, true)
	}
	p.run = run
	return p, refusal
}

// release returns the permits, and records whether the run failed.
func (e *executor) release(p permits, failed bool) {
	e.Limiter.Release(p.run, failed)
	if p.parent != nil {
		e.ParentLimiter.Release(*p.parent, failed)
	}
}
