package guardian

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/limiter"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/request/gatekeeper"
	"github.com/chivegauge/chivegauge/internal/request/linker"
	"github.com/chivegauge/chivegauge/internal/stream/carrier"
	"github.com/chivegauge/chivegauge/internal/stream/connector"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

// downPause is how long a backend server that refused a connection is not tried again.
const downPause = 200 * time.Millisecond

// Guardian runs requests on the backend server beside the node.
type Guardian interface {
	// Run carries the request to the backend server once it may run, and returns its answer or a refusal.
	Run(ctx context.Context, c chivegauge.Call, r *carrier.Request) *carrier.Answer
	// Report takes in what the backend server says, and reports whether it was news.
	Report(now time.Time, r Report) bool
	// Leave takes in that a start of the backend server leaves without further reports, and reports whether it was news;
	// born is 0 where it was not said.
	Leave(now time.Time, instance string, born int64) bool
	// Current returns the last report, and whether there is one.
	Current() (Report, bool)
	// Load returns the running and waiting requests, the limit and the share of the latest runs that failed.
	Load() picker.Load
	// Stop refuses all further requests.
	Stop()
}

// Suspects are the requests under which backend servers died.
type Suspects interface {
	Empty() bool
	Refuses(now time.Time, fingerprint uint64) bool
	Died(now time.Time, fingerprints []uint64)
	Survived(fingerprint uint64)
}

type guardian struct {
	Config

	mu      sync.Mutex
	report  Report
	known   bool
	stopped bool
	downTo  time.Time
	failing failing
	broken  broken
}

// Config is what a guardian is built of.
type Config struct {
	Names chivegauge.HeaderNames

	// Gate holds all requests within the limit, Callers before it those that make calls within the room for their calls.
	Gate    gatekeeper.Gatekeeper
	Callers gatekeeper.Gatekeeper

	Links    linker.Linker
	Limit    limiter.Declared
	Backend  connector.Connector
	Suspects Suspects
	Log      zerolog.Logger
}

// New returns a guardian that refuses everything until the backend server reports.
func New(cfg Config) Guardian {
	return &guardian{
		Config: cfg,
	}
}

// Report takes in a report that is newer than the last one.
func (g *guardian) Report(now time.Time, r Report) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.known && !r.Newer(g.report) {
		return false
	}
	if g.known && !r.SameStart(g.report) {
		g.Backend.Drop()
		g.downTo = time.Time{}
		g.failing = failing{}
		g.died(now)
	}
	if g.known && r.SameStart(g.report) && g.report.Leaving {
		r = r.WithLeaving()
	}
	g.take(r)
	return true
}

func (g *guardian) take(r Report) {
	g.report = r
	g.known = true
	g.Limit.Declare(r.Slots)
	g.Gate.SetDraining(r.Leaving)
}

// Leave takes in that a start of the backend server leaves, also one that has not reported here: a report of it may be
// on its way still.
func (g *guardian) Leave(now time.Time, instance string, born int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	same := g.known && g.report.Instance == instance
	left := Report{
		Instance: instance,
		Born:     born,
		Leaving:  true,
	}
	switch {
	case born != 0:
	case same:
		left.Born = g.report.Born
	case !g.known:
		left.Born = now.UnixMilli()
	}
	switch {
	case g.known && left.SameStart(g.report):
		left = g.report.WithLeaving()
		if g.report.Leaving {
			return false
		}
	case g.known && !left.Newer(g.report):
		return false
	}
	g.take(left)
	return true
}

// Current returns the last report.
func (g *guardian) Current() (Report, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.report, g.known
}

// Load returns the running and waiting requests, the limit and the share of the latest runs that failed.
func (g *guardian) Load() picker.Load {
	l := g.Gate.Load()
	l.Waiting += g.Callers.Load().Waiting
	g.mu.Lock()
	defer g.mu.Unlock()
	l.Failing = g.failing.value(time.Now())
	return l
}

// note takes in whether a run failed.
func (g *guardian) note(failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failing = g.failing.with(time.Now(), failed)
}

// Stop refuses all further requests.
func (g *guardian) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
}

// usable returns the report of the backend server if it may be sent work of the service at now, or a refusal.
func (g *guardian) usable(now time.Time, service string) (Report, *chivegauge.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.known:
		return Report{}, chivegauge.Refuse(chivegauge.CodeNoBackend, "the backend server has not reported yet")
	case g.report.Service != service:
		return Report{}, chivegauge.Refuse(chivegauge.CodeNoBackend, "the backend server is of another service")
	case g.stopped:
		return Report{}, chivegauge.Refuse(chivegauge.CodeDraining, "the node is stopping")
	case g.report.Leaving:
		return Report{}, chivegauge.Refuse(chivegauge.CodeDraining, "the backend server is leaving")
	case now.Before(g.downTo):
		return Report{}, chivegauge.Refuse(chivegauge.CodeNoBackend, "the backend server refused a connection")
	default:
		return g.report, nil
	}
}

// Run lets the request in, sends it, tells what became of it and logs what went wrong.
func (g *guardian) Run(ctx context.Context, c chivegauge.Call, r *carrier.Request) *carrier.Answer {
	began := time.Now()
	a := g.run(ctx, c, r)
	if a.Refusal == nil {
		return a
	}
	report, _ := g.Current()
	load := g.Load()
	g.Log.Warn().Str("Request", c.RequestID).Str("Route", c.Route).Str("Caller", c.Caller).Str("Code", string(a.Refusal.Code)).
		Str("Run", string(a.Refusal.Run)).Str("Reason", a.Refusal.Message).Str("Instance", report.Instance).
		Uint64("Sequence", report.Sequence).Bool("Leaving", report.Leaving).Int("Running", load.Running).
		Int("Waiting", load.Waiting).Int("Limit", load.Limit).Float64("Failing", load.Failing).Dur("TookMs", time.Since(began)).Msg("request not run to its end here")
	return a
}

func (g *guardian) run(ctx context.Context, c chivegauge.Call, r *carrier.Request) *carrier.Answer {
	if _, refusal := g.usable(time.Now(), c.Service); refusal != nil {
		return carrier.Refusal(refusal)
	}
	if !g.Suspects.Empty() && g.Suspects.Refuses(time.Now(), r.Fingerprint(c.Workspace, c.Route)) {
		return carrier.Refusal(chivegauge.Refuse(chivegauge.CodeQuarantined, "backend servers died while they ran this request"))
	}
	pass, refusal := g.enter(ctx, c)
	if refusal != nil {
		return carrier.Refusal(refusal)
	}
	now := time.Now()
	report, refusal := g.usable(now, c.Service)
	if refusal == nil && c.Budget(now) <= 0 {
		refusal = chivegauge.Refuse(chivegauge.CodeDeadline, "the deadline has passed")
	}
	if refusal != nil {
		g.leave(pass, true)
		return carrier.Refusal(refusal)
	}
	run := g.Links.Begin(c.Route, c.Importance, now.Add(handedOn(c, now)))
	a, err := g.Backend.Exchange(ctx, g.outgoing(c, r, report, now))
	if err != nil {
		g.Links.End(run)
		g.leave(pass, true)
		return carrier.Refusal(g.failure(ctx, err, c, r))
	}
	g.answered(now, a, c, r)
	a.OnRelease(func() { g.Links.End(run) })
	return g.judge(a, pass)
}

// outgoing returns the request as the backend server is to see it.
func (g *guardian) outgoing(c chivegauge.Call, r *carrier.Request, report Report, now time.Time) *carrier.Request {
	out := *r
	out.Header = make(http.Header, len(r.Header)+4)
	for name, values := range r.Header {
		if !chivegauge.InternalHeader(name) {
			out.Header[name] = values
		}
	}
	out.Header.Del("Authorization")
	out.Header.Del(g.Names.Workspace)
	if c.Workspace != "" {
		out.Header.Set(g.Names.Workspace, c.Workspace)
	}
	out.Header.Set(g.Names.Caller, c.Caller)
	out.Header.Set(g.Names.Expected, report.Instance)
	out.Header.Set(g.Names.BudgetMs, strconv.FormatInt(handedOn(c, now).Milliseconds(), 10))
	return &out
}

// handedOn returns the time that the backend server is told, in whole milliseconds.
func handedOn(c chivegauge.Call, now time.Time) time.Duration {
	return max(time.Millisecond, c.Budget(now).Truncate(time.Millisecond))
}

// failure returns what is known of a run whose exchange failed.
func (g *guardian) failure(ctx context.Context, err error, c chivegauge.Call, r *carrier.Request) *chivegauge.Refusal {
	failed := &connector.Error{}
	if errors.As(err, &failed) && !failed.Sent {
		if ctx.Err() == nil {
			g.mu.Lock()
			now := time.Now()
			g.downTo = now.Add(downPause)
			if errors.Is(err, syscall.ECONNREFUSED) {
				g.died(now)
			}
			g.mu.Unlock()
		}
		return chivegauge.Refuse(chivegauge.CodeNoBackend, "the backend server can't be reached: "+err.Error())
	}
	if ctx.Err() != nil && c.Budget(time.Now()) > 0 {
		return chivegauge.Unknown(chivegauge.CodeCancelled, "cancelled while the request ran")
	}
	if ctx.Err() != nil {
		return chivegauge.Unknown(chivegauge.CodeDeadline, "the deadline passed while the request ran")
	}
	g.note(true)
	g.brokeOff(time.Now(), c, r)
	return chivegauge.Unknown(chivegauge.CodeOutcomeUnknown, "the backend server broke off: "+err.Error())
}

// judge returns the answer; one by which the backend server says that it did not run the request becomes a refusal.
func (g *guardian) judge(a *carrier.Answer, pass passes) *carrier.Answer {
	if a.Status == http.StatusMisdirectedRequest || a.Header.Get(g.Names.NotRun) != "" {
		a.Release()
		g.leave(pass, true)
		g.note(true)
		refusal := chivegauge.Refuse(chivegauge.CodeBusy, "the backend server did not run the request")
		if a.Status == http.StatusMisdirectedRequest {
			refusal = chivegauge.Refuse(chivegauge.CodeNoBackend, "another backend server has the address")
		}
		return carrier.Refusal(refusal.WithArrived())
	}
	failed := a.Status >= http.StatusInternalServerError
	g.note(failed)
	a.OnRelease(func() { g.leave(pass, failed) })
	return a
}
