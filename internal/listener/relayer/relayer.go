package relayer

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/listener/server"
	"github.com/chivegauge/chivegauge/internal/request/concurrencylimiter"
	"github.com/chivegauge/chivegauge/internal/request/executor"
	"github.com/cloudwego/hertz/pkg/app"
	hertz "github.com/cloudwego/hertz/pkg/app/server"
)

const callDepthMax = 32

// Parents provides the running request that a context token belongs to.
type Parents interface {
	Parent(token string) (*executor.Run, bool)
}

// Configuration provides the active configuration.
type Configuration interface {
	Configuration() chivegauge.Configuration
}

// Dispatcher sends requests to services.
type Dispatcher interface {
	Dispatch(ctx context.Context, c chivegauge.Call) chivegauge.Response
}

// Relayer handles nested calls.
type Relayer interface {
	// Routes registers the handler of all requests.
	Routes(e *hertz.Hertz)
}

type relayer struct {
	now        concurrencylimiter.Clock
	parents    Parents
	config     Configuration
	dispatcher Dispatcher
}

// New returns a relayer that sends nested calls through the dispatcher.
func New(now concurrencylimiter.Clock, p Parents, cfg Configuration, d Dispatcher) Relayer {
	return &relayer{
		now:        now,
		parents:    p,
		config:     cfg,
		dispatcher: d,
	}
}

// Routes registers the handler of all requests.
func (r *relayer) Routes(e *hertz.Hertz) {
	e.NoRoute(r.handle)
}

func (r *relayer) handle(ctx context.Context, c *app.RequestContext) {
	run, ok := r.parents.Parent(string(c.Request.Header.Peek(chivegauge.HeaderContext)))
	if !ok {
		server.Refuse(c, chivegauge.Refuse(chivegauge.CodeContextUnknown, "no running request has this context token"))
		return
	}
	call, refusal := r.newCall(c, run.Call, r.now())
	if refusal != nil {
		server.Refuse(c, refusal)
		return
	}
	callCtx, cancel := context.WithCancel(run.Context)
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	lent := run.LendNested()
	call.Tokens = lent
	res := r.dispatcher.Dispatch(callCtx, call)
	run.ReturnNested(lent, res)
	server.Reply(c, call.RequestID, res)
}

// newCall returns a nested call with the request, workspace and importance of its parent, and a deadline no later than
// that of the parent, or a refusal.
func (r *relayer) newCall(c *app.RequestContext, parent chivegauge.Call, now time.Time) (chivegauge.Call, *chivegauge.Refusal) {
	cfg := r.config.Configuration()
	route, ok := cfg.Route(string(c.Method()), string(c.Path()))
	if !ok {
		return chivegauge.Call{}, chivegauge.Refuse(chivegauge.CodeRouteUnknown, "no route serves this method and path")
	}
	if parent.Depth >= callDepthMax {
		return chivegauge.Call{}, chivegauge.Refuse(chivegauge.CodeBadRequest, "the call tree is too deep")
	}
	deadline := now.Add(route.Deadline())
	if parent.Deadline.Before(deadline) {
		deadline = parent.Deadline
	}
	return chivegauge.Call{
		RequestID:      parent.RequestID,
		Root:           parent.Root,
		Route:          route.Name,
		Service:        route.Service,
		Workspace:      parent.Workspace,
		KeyID:          parent.KeyID,
		Importance:     parent.Importance,
		Idempotent:     route.Idempotent,
		IdempotencyKey: string(c.Request.Header.Peek(chivegauge.HeaderIdempotency)),
		Deadline:       deadline,
		Depth:          parent.Depth + 1,
		Method:         string(c.Method()),
		Target:         server.Target(c),
		Header:         server.RequestFields(c),
		Body:           server.Body(c),
	}, nil
}
