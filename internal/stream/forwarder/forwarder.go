package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/budgeter"
	"github.com/chivegauge/chivegauge/internal/policy/finisher"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/policy/splitter"
	"github.com/chivegauge/chivegauge/internal/request/crashtracker"
	"github.com/chivegauge/chivegauge/internal/request/router"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/rs/zerolog"
)

const (
	// transparentRetriesMax is the maximum number of transparent retries of a request: attempts at further nodes after a
	// refusal that says that no backend server received it.
	transparentRetriesMax = 3

	// deadlineGrace is the time after its deadline at which a request is cancelled, so that the backend server can respond
	// to the deadline itself first.
	deadlineGrace = 100 * time.Millisecond

	// refusalRetryAfter is the retry delay sent to the caller with a refusal that has none of its own, such as for a full
	// queue.
	refusalRetryAfter = 250 * time.Millisecond
)

// Configuration is the active configuration and its age since it was last verified as the newest.
type Configuration interface {
	// Router returns the active routes and keys, or false if the node has no configuration yet.
	Router() (router.Router, bool)
	// Age returns the time since the configuration was last verified as the newest.
	Age() time.Duration
}

// Members are the nodes and the backend servers beside them.
type Members interface {
	Self() chivegauge.Member
	Service(name string) []chivegauge.Member
}

// RateLimiter limits the request rates of workspaces by tokens; if there is no token for a request, wait is the time
// after which to retry.
type RateLimiter interface {
	Acquire(ctx context.Context, workspace string) (ok bool, wait time.Duration)
}

// Executor runs requests on the backend server beside the node and reports its load.
type Executor interface {
	Run(ctx context.Context, c chivegauge.Call, r *streamer.Request) *streamer.Response
	Load() picker.Load
}

// Transporter sends requests to other nodes.
type Transporter interface {
	Send(ctx context.Context, m chivegauge.Member, c chivegauge.Call, r *streamer.Request) (*streamer.Response, picker.Load)
}

// Meter counts the outcomes of requests and attempts.
type Meter interface {
	CountRequest(workspace, route string, refusal *chivegauge.Refusal, took time.Duration)
	CountAttempt(refusal *chivegauge.Refusal)
}

// CrashTracker decides by fingerprint which requests must not run because backend servers crashed while running them.
type CrashTracker interface {
	Empty() bool
	Admit(now time.Time, fingerprint uint64) crashtracker.Verdict
}

// Correlator correlates nested calls with the requests whose handling made them.
type Correlator interface {
	Attribute(now time.Time, route chivegauge.Route, deadline time.Time) (chivegauge.Importance, bool)
	CalledByBackend(route string) bool
}

// DownstreamLimit is the concurrency limit for requests that make nested calls; it falls with the fraction of those
// calls that are refused because of a full queue.
type DownstreamLimit interface {
	ObserveOutcome(now time.Time, refused bool)
}

// Config holds the settings of a forwarder and the parts that it uses.
type Config struct {
	// Now returns the time by which retries are counted; it includes the time in which the instance was suspended.
	Now func() time.Time

	Names       chivegauge.HeaderNames
	Config      Configuration
	Members     Members
	RateLimiter RateLimiter
	Local       Executor
	Remote      Transporter
	Picker      picker.Picker
	Correlator  Correlator

	// CrashTracker refuses requests before they are sent, since other nodes may not have received the crash reports yet.
	CrashTracker CrashTracker

	DownstreamLimit DownstreamLimit
	RetryBudget     budgeter.Window
	Meter           Meter
	Log             zerolog.Logger

	// BodyBufferMax is the size in bytes up to which a request body is read into memory, so that the request can be
	// sent again.
	BodyBufferMax int64

	// TransparentRetryTime is the time after its arrival in which a request refused because of a full queue gets a
	// transparent retry. It equals one wait in a queue, after which other nodes are as full.
	TransparentRetryTime time.Duration

	// VerificationAgeMax returns the maximum age of the configuration, since it was last verified as the newest, at which
	// its keys are still accepted.
	VerificationAgeMax func() time.Duration
}

// Forwarder handles the requests that callers send to this node.
type Forwarder interface {
	// Handle returns the response to the request.
	Handle(ctx context.Context, r *streamer.Request) *streamer.Response
	// BeginStop refuses further requests that are not expected to end before the end.
	BeginStop(end time.Time)
	// SetNodes sets the number of nodes, over which the slack of the retry budget is divided evenly.
	SetNodes(nodes int)
	// SetRetryBudget sets the ratios of retries to first attempts, and the slack: the number of retries per window that
	// all nodes together may send beyond them.
	SetRetryBudget(ratios budgeter.Ratios, slack float64)
}

type forwarder struct {
	Config
	mu       sync.Mutex
	splitter splitter.Splitter
	finisher finisher.Finisher
	slack    float64
	nodes    int
}

// New returns a forwarder of a cluster that has one node at first.
func New(cfg Config) Forwarder {
	return &forwarder{
		Config:   cfg,
		splitter: splitter.New(),
		finisher: finisher.New(),
		nodes:    1,
	}
}

// SetNodes sets the number of nodes, over which the slack of the retry budget is divided evenly.
func (f *forwarder) SetNodes(nodes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = max(1, nodes)
	f.RetryBudget.SetSlack(f.slack / float64(f.nodes))
}

// SetRetryBudget sets the ratios and the slack of the retry budget.
func (f *forwarder) SetRetryBudget(ratios budgeter.Ratios, slack float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slack = slack
	f.RetryBudget.SetRatios(ratios)
	f.RetryBudget.SetSlack(f.slack / float64(f.nodes))
}

// Handle admits the request, sends it and returns its response, or refuses it.
func (f *forwarder) Handle(ctx context.Context, r *streamer.Request) *streamer.Response {
	call, attemptsMax, refusal := f.admit(ctx, r)
	if refusal != nil {
		return f.finish(call, r, streamer.RefusalResponse(refusal), nil)
	}
	f.Names.DeleteInternal(r.Header)
	f.Names.DeleteListed(r.Header)
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(call.Budget(time.Now())+deadlineGrace, cancel)
	response, tried := f.forward(ctx, call, attemptsMax, r)
	timer.Stop()
	response.OnRelease(cancel)
	if response.Refusal == nil {
		response.OnRelease(func() { f.observeTime(call.Route, time.Since(r.Arrived)) })
	}
	return f.finish(call, r, response, tried)
}

// finish renders a refusal as a response, and counts and logs the outcome.
func (f *forwarder) finish(c chivegauge.Call, r *streamer.Request, response *streamer.Response, tried []string) *streamer.Response {
	took := time.Since(r.Arrived)
	if f.Correlator.CalledByBackend(c.Route) {
		f.DownstreamLimit.ObserveOutcome(time.Now(), response.Refusal != nil && response.Refusal.Code == chivegauge.CodeBusy && !response.Refusal.ReachedBackend)
	}
	f.Meter.CountRequest(c.Workspace, c.Route, response.Refusal, took)
	if response.Refusal != nil {
		renderRefusal(response)
		response.Header.Set(f.Names.Attempt, c.RequestID)
	}
	f.logOutcome(c, response, tried, took)
	return response
}

// send sends the request to a member and reports the outcome to the picker.
func (f *forwarder) send(ctx context.Context, m chivegauge.Member, c chivegauge.Call, r *streamer.Request) *streamer.Response {
	start := time.Now()
	response, load := f.transport(ctx, m, c, r)
	f.Meter.CountAttempt(response.Refusal)
	if response.Refusal != nil {
		f.Log.Warn().Str("Request", c.RequestID).Str("Route", c.Route).Str("Service", c.Service).Str("Member", m.Address).
			Uint64("Incarnation", m.Incarnation).Str("Code", string(response.Refusal.Code)).Str("Run", string(response.Refusal.Run)).
			Str("Reason", response.Refusal.Message).Dur("BudgetMs", c.Budget(start)).Dur("TookMs", time.Since(start)).Msg("attempt failed")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Picker.End(time.Now(), m.Address, outcome(response), load)
	return response
}

func (f *forwarder) transport(ctx context.Context, m chivegauge.Member, c chivegauge.Call, r *streamer.Request) (*streamer.Response, picker.Load) {
	if m.Address == f.Members.Self().Address {
		response := f.Local.Run(ctx, c, r)
		return response, f.Local.Load()
	}
	return f.Remote.Send(ctx, m, c, r)
}

func outcome(response *streamer.Response) picker.Outcome {
	if response.Refusal == nil {
		if response.Status >= http.StatusInternalServerError {
			return picker.Refused
		}
		return picker.Succeeded
	}
	switch response.Refusal.Code {
	case chivegauge.CodeUnreachable:
		return picker.Unreached
	case chivegauge.CodeNoBackend, chivegauge.CodeOutcomeUnknown:
		return picker.Failed
	default:
		return picker.Refused
	}
}

// pick chooses a member of the service that has not been tried yet, and returns false if there is none.
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

// chooseService chooses the service for a request on the route, and counts its first attempt in the retry budget.
func (f *forwarder) chooseService(route chivegauge.Route) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	service := f.splitter.Choose(route)
	f.RetryBudget.CountFirst(f.Now(), service)
	return service
}

// chargeRetry takes one retry at the service out of the retry budget, and returns false if that is exhausted;
// mayHaveRun says that the request may have run.
func (f *forwarder) chargeRetry(service string, mayHaveRun bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.RetryBudget.TryRetry(f.Now(), service, mayHaveRun)
}
