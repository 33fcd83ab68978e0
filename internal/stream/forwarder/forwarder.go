package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/budgeter"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/policy/splitter"
	"github.com/chivegauge/chivegauge/internal/request/router"
	"github.com/chivegauge/chivegauge/internal/stream/carrier"
	"github.com/rs/zerolog"
)

const (
	// movesMax is the number of further nodes that are asked for a request that no backend server was sent.
	movesMax = 3

	// lateSlack is how long after its deadline a request is given up, so that the backend server can answer by itself first.
	lateSlack = 100 * time.Millisecond

	// retryAfter is when a caller is told to come back after a refusal for want of room.
	retryAfter = 250 * time.Millisecond
)

// Configuration is what is in force and how old the proof of that is.
type Configuration interface {
	// Router returns the routes and keys in force, and whether there are any yet.
	Router() (router.Router, bool)
	// Age returns the time since the configuration was proved to be the newest.
	Age() time.Duration
}

// Members are the nodes and the backend servers beside them.
type Members interface {
	Self() chivegauge.Member
	Service(name string) []chivegauge.Member
}

// Rates spends the tokens of workspaces.
type Rates interface {
	Take(ctx context.Context, workspace string) (ok bool, wait time.Duration)
}

// Executor runs requests on the backend server beside the node.
type Executor interface {
	Run(ctx context.Context, c chivegauge.Call, r *carrier.Request) *carrier.Answer
	Load() picker.Load
}

// Courier carries requests to other nodes.
type Courier interface {
	Carry(ctx context.Context, m chivegauge.Member, c chivegauge.Call, r *carrier.Request) (*carrier.Answer, picker.Load)
}

// Meter counts outcomes.
type Meter interface {
	Served(workspace, route string, refusal *chivegauge.Refusal, took time.Duration)
	Attempted(refusal *chivegauge.Refusal)
}

// Suspects are the requests under which backend servers died.
type Suspects interface {
	Empty() bool
	Refuses(now time.Time, fingerprint uint64) bool
}

// Links find the requests that make calls.
type Links interface {
	Called(now time.Time, route chivegauge.Route, deadline time.Time) (chivegauge.Importance, bool)
	FromHere(route string) bool
}

// Room is told whether calls are refused for want of room.
type Room interface {
	Mark(now time.Time, marked bool)
}

// Config is what a forwarder is built of.
type Config struct {
	// Now returns the time by which retries are counted, suspension of the instance included.
	Now func() time.Time

	Names   chivegauge.HeaderNames
	Config  Configuration
	Members Members
	Rates   Rates
	Local   Executor
	Remote  Courier
	Picker  picker.Picker
	Links   Links

	// Suspects are refused before they are sent, also to nodes that have not heard of them.
	Suspects Suspects

	Room    Room
	Budget  budgeter.Window
	Meter   Meter
	Log     zerolog.Logger
	HoldMax int64

	// MoveTime is how long after its arrival a request is moved on that found no room: one wait in a queue, after which
	// other nodes are as full.
	MoveTime time.Duration

	// ProofMax returns the age of the proof up to which keys are taken as valid.
	ProofMax func() time.Duration
}

// Forwarder answers the requests that begin at this node.
type Forwarder interface {
	// Handle returns the answer to the request.
	Handle(ctx context.Context, r *carrier.Request) *carrier.Answer
	// Resize sets the number of nodes over which the slack of the retry budget is spread.
	Resize(nodes int)
	// SetRetries sets the share of retries, and the number in a window that all nodes together may send beyond it.
	SetRetries(share budgeter.Share, slack float64)
}

type forwarder struct {
	Config
	mu       sync.Mutex
	splitter splitter.Splitter
	slack    float64
	nodes    int
}

// New returns a forwarder of the parts.
func New(cfg Config) Forwarder {
	return &forwarder{
		Config:   cfg,
		splitter: splitter.New(),
		nodes:    1,
	}
}

// Resize spreads the slack of the retry budget over the nodes.
func (f *forwarder) Resize(nodes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = max(1, nodes)
	f.Budget.SetSlack(f.slack / float64(f.nodes))
}

// SetRetries sets the bounds of the retry budget.
func (f *forwarder) SetRetries(share budgeter.Share, slack float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slack = slack
	f.Budget.SetShare(share)
	f.Budget.SetSlack(f.slack / float64(f.nodes))
}

// Handle admits the request, sends it and answers for the outcome.
func (f *forwarder) Handle(ctx context.Context, r *carrier.Request) *carrier.Answer {
	call, limit, refusal := f.admit(ctx, r)
	if refusal != nil {
		return f.conclude(call, r, carrier.Refusal(refusal), nil)
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(call.Budget(time.Now())+lateSlack, cancel)
	answer, tried := f.forward(ctx, call, limit, r)
	timer.Stop()
	answer.OnRelease(cancel)
	return f.conclude(call, r, answer, tried)
}

// conclude makes a refusal presentable, and counts and logs the outcome.
func (f *forwarder) conclude(c chivegauge.Call, r *carrier.Request, a *carrier.Answer, tried []string) *carrier.Answer {
	took := time.Since(r.Arrived)
	if f.Links.FromHere(c.Route) {
		f.Room.Mark(time.Now(), a.Refusal != nil && a.Refusal.Code == chivegauge.CodeBusy && !a.Refusal.Arrived)
	}
	f.Meter.Served(c.Workspace, c.Route, a.Refusal, took)
	if a.Refusal != nil {
		present(a)
		a.Header.Set(f.Names.Attempt, c.RequestID)
	}
	f.journal(c, a, tried, took)
	return a
}

// send carries the request to a member and tells the picker what came of it.
func (f *forwarder) send(ctx context.Context, m chivegauge.Member, c chivegauge.Call, r *carrier.Request) *carrier.Answer {
	began := time.Now()
	a, load := f.carry(ctx, m, c, r)
	f.Meter.Attempted(a.Refusal)
	if a.Refusal != nil {
		f.Log.Warn().Str("Request", c.RequestID).Str("Route", c.Route).Str("Service", c.Service).Str("Member", m.Address).
			Uint64("Incarnation", m.Incarnation).Str("Code", string(a.Refusal.Code)).Str("Run", string(a.Refusal.Run)).
			Str("Reason", a.Refusal.Message).Dur("BudgetMs", c.Budget(began)).Dur("TookMs", time.Since(began)).Msg("attempt failed")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Picker.End(time.Now(), m.Address, outcome(a), load)
	return a
}

func (f *forwarder) carry(ctx context.Context, m chivegauge.Member, c chivegauge.Call, r *carrier.Request) (*carrier.Answer, picker.Load) {
	if m.Address == f.Members.Self().Address {
		a := f.Local.Run(ctx, c, r)
		return a, f.Local.Load()
	}
	return f.Remote.Carry(ctx, m, c, r)
}

func outcome(a *carrier.Answer) picker.Outcome {
	if a.Refusal == nil {
		if a.Status >= http.StatusInternalServerError {
			return picker.Refused
		}
		return picker.Succeeded
	}
	switch a.Refusal.Code {
	case chivegauge.CodeUnreachable:
		return picker.Unreached
	case chivegauge.CodeNoBackend, chivegauge.CodeOutcomeUnknown:
		return picker.Failed
	default:
		return picker.Refused
	}
}

// pick returns the member to send to next, other than those tried.
func (f *forwarder) pick(service string, tried []string) (chivegauge.Member, bool) {
	members := f.Members.Service(service)
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.Picker.Pick(time.Now(), members, tried, rand.IntN)
	if ok {
		f.Picker.Begin(m.Address)
	}
	return m, ok
}

// service returns the service that the next request on the route goes to.
func (f *forwarder) service(route chivegauge.Route) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	service := f.splitter.Choose(route)
	f.Budget.First(f.Now(), service)
	return service
}

// paid takes one further arrival at the service out of the retry budget; ran says that the request may have run.
func (f *forwarder) paid(service string, ran bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Budget.Retry(f.Now(), service, ran)
}
