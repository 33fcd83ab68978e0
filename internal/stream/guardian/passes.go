package guardian

import (
	"context"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/gatekeeper"
)

// passes are the permissions to run a request: one of the backend server, and one for the calls that it will make.
type passes struct {
	run   gatekeeper.Pass
	calls *gatekeeper.Pass
}

// enter waits for room for the calls that the request will make, then for the backend server.
func (g *guardian) enter(ctx context.Context, c chivegauge.Call) (passes, *chivegauge.Refusal) {
	p := passes{}
	if g.Links.Calls(c.Route) {
		calls, refusal := g.Callers.Enter(ctx, c)
		if refusal != nil {
			return p, refusal
		}
		p.calls = &calls
	}
	run, refusal := g.Gate.Enter(ctx, c)
	if refusal != nil && p.calls != nil {
		g.Callers.Leave(*p.calls, true)
	}
	p.run = run
	return p, refusal
}

// leave gives the permissions back.
func (g *guardian) leave(p passes, failed bool) {
	g.Gate.Leave(p.run, failed)
	if p.calls != nil {
		g.Callers.Leave(*p.calls, failed)
	}
}
