package receiver

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/listener/server"
	"github.com/chivegauge/chivegauge/internal/request/concurrencylimiter"
	"github.com/chivegauge/chivegauge/internal/request/ratelimiter"
	"github.com/cloudwego/hertz/pkg/app"
	hertz "github.com/cloudwego/hertz/pkg/app/server"
)

const (
	bearerPrefix         = "Bearer "
	headerRequestTimeout = "Request-Timeout-Ms"
)

// Configuration provides the active configuration and the workspaces of its keys.
type Configuration interface {
	Configuration() chivegauge.Configuration
	Workspace(key string) (workspace, keyID string, refusal *chivegauge.Refusal)
}

// Admitter refuses a request if a service that its route reaches would refuse it because of its admission level.
type Admitter interface {
	CheckAdmission(c chivegauge.Call) *chivegauge.Refusal
}

// Dispatcher sends requests to services.
type Dispatcher interface {
	Dispatch(ctx context.Context, c chivegauge.Call) chivegauge.Response
}

// Counter counts the outcome of each request.
type Counter interface {
	CountRequest(workspace, route string, refusal *chivegauge.Refusal, took time.Duration)
}

// Bounds holds the number of retry tokens that a new request gets, and the maximum size of its body in bytes.
type Bounds struct {
	Tokens  int
	MaxBody int
}

// Receiver handles the requests of callers.
type Receiver interface {
	// Routes registers the handler of all requests.
	Routes(e *hertz.Hertz)
	// Running returns the number of requests without a response yet.
	Running() int
	// Close makes each further response close its connection.
	Close()
}

type receiver struct {
	now         concurrencylimiter.Clock
	config      Configuration
	admitter    Admitter
	dispatcher  Dispatcher
	rateLimiter ratelimiter.RateLimiter
	counter     Counter
	ready       func() bool
	bounds      Bounds
	running     atomic.Int64
	closing     atomic.Bool
}

// New returns a receiver that refuses all requests until ready returns true.
func New(now concurrencylimiter.Clock, cfg Configuration, a Admitter, d Dispatcher, r ratelimiter.RateLimiter, n Counter, ready func() bool, b Bounds) Receiver {
	return &receiver{
		now:         now,
		config:      cfg,
		admitter:    a,
		dispatcher:  d,
		rateLimiter: r,
		counter:     n,
		ready:       ready,
		bounds:      b,
	}
}

// Routes registers the handler of all requests.
func (r *receiver) Routes(e *hertz.Hertz) {
	e.NoRoute(r.handle)
}

// Running returns the number of requests without a response yet.
func (r *receiver) Running() int {
	return int(r.running.Load())
}

// Close makes each further response close its connection.
func (r *receiver) Close() {
	r.closing.Store(true)
}

func (r *receiver) handle(ctx context.Context, c *app.RequestContext) {
	r.running.Add(1)
	defer r.running.Add(-1)
	began := r.now()
	call, refusal := r.newCall(c, began)
	if refusal == nil {
		refusal = r.admit(ctx, call)
	}
	res := chivegauge.Response{
		Refusal: refusal,
	}
	if refusal == nil {
		res = r.dispatcher.Dispatch(ctx, call)
	}
	if r.closing.Load() {
		c.Response.SetConnectionClose()
	}
	r.counter.CountRequest(call.Workspace, call.Route, res.Refusal, r.now().Sub(began))
	server.Reply(c, call.RequestID, res)
}

func (r *receiver) admit(ctx context.Context, call chivegauge.Call) *chivegauge.Refusal {
	if refusal := r.admitter.CheckAdmission(call); refusal != nil {
		return refusal
	}
	if call.Workspace == "" {
		return nil
	}
	return r.rateLimiter.Acquire(ctx, call.Workspace)
}

// newCall returns the call for a request, or a refusal; internal headers that a caller sends have no effect on it.
func (r *receiver) newCall(c *app.RequestContext, now time.Time) (chivegauge.Call, *chivegauge.Refusal) {
	if !r.ready() {
		return chivegauge.Call{}, chivegauge.Refuse(chivegauge.CodeNotReady, "the node has no configuration yet")
	}
	cfg := r.config.Configuration()
	route, ok := cfg.Route(string(c.Method()), string(c.Path()))
	if !ok || route.Internal {
		return chivegauge.Call{}, chivegauge.Refuse(chivegauge.CodeRouteUnknown, "no route serves this method and path")
	}
	workspace, keyID, refusal := r.config.Workspace(apiKey(c))
	if refusal != nil && !route.Open {
		return chivegauge.Call{
			Route: route.Name,
		}, refusal
	}
	if len(c.Request.Body()) > r.bounds.MaxBody {
		return chivegauge.Call{
			Route: route.Name,
		}, chivegauge.Refuse(chivegauge.CodeTooLarge, "the body is larger than the node takes")
	}
	id := newRequestID()
	idempotencyKey := string(c.Request.Header.Peek(chivegauge.HeaderIdempotency))
	return chivegauge.Call{
		RequestID:      id,
		Root:           chivegauge.RootHash(id, workspace, idempotencyKey),
		Route:          route.Name,
		Service:        route.Service,
		Workspace:      workspace,
		KeyID:          keyID,
		Importance:     route.Importance,
		Idempotent:     route.Idempotent,
		IdempotencyKey: idempotencyKey,
		Deadline:       now.Add(timeout(c, route)),
		Tokens:         r.bounds.Tokens,
		Depth:          1,
		Method:         string(c.Method()),
		Target:         server.Target(c),
		Header:         server.RequestFields(c),
		Body:           server.Body(c),
	}, nil
}

// timeout returns the deadline of the route, or the timeout that the caller requests if it is shorter.
func timeout(c *app.RequestContext, route chivegauge.Route) time.Duration {
	ms, err := strconv.Atoi(string(c.Request.Header.Peek(headerRequestTimeout)))
	if err != nil || ms <= 0 {
		return route.Deadline()
	}
	return min(route.Deadline(), time.Duration(ms)*time.Millisecond)
}

func apiKey(c *app.RequestContext) string {
	if k := c.Request.Header.Peek(chivegauge.HeaderKey); len(k) > 0 {
		return string(k)
	}
	auth := string(c.Request.Header.Peek("Authorization"))
	if !strings.HasPrefix(auth, bearerPrefix) {
		return ""
	}
	return auth[len(bearerPrefix):]
}

func newRequestID() string {
	b := make([]byte, 12)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
