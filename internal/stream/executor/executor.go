package executor

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/finisher"
	"github.com/chivegauge/chivegauge/internal/policy/limiter"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/request/concurrencylimiter"
	"github.com/chivegauge/chivegauge/internal/request/correlator"
	"github.com/chivegauge/chivegauge/internal/request/crashtracker"
	"github.com/chivegauge/chivegauge/internal/stream/connector"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

// connectBackoff is how long no connection is tried after one to the backend server failed.
const connectBackoff = 200 * time.Millisecond

// Executor runs requests on the local backend server.
type Executor interface {
	// Run sends the request to the backend server once it may run, and returns the response or a refusal.
	Run(ctx context.Context, c chivegauge.Call, r *streamer.Request) *streamer.Response
	// ApplyReport applies a report of the backend server, and reports whether it is newer than the last one.
	ApplyReport(now time.Time, r Report) bool
	// MarkLeaving marks a process of the backend server that sends no further reports as leaving, and reports whether that
	// is a change; startedAtMs is the start time of the process in milliseconds since 1970, or 0 if it is unknown.
	MarkLeaving(now time.Time, instance string, startedAtMs int64) bool
	// LastReport returns the last report, and whether there is one.
	LastReport() (Report, bool)
	// Ended reports whether the backend server accepts no connections any more.
	Ended(ctx context.Context) bool
	// Load returns the running and waiting requests, the limit and the failure rate.
	Load() picker.Load
	// BeginStop refuses further requests that are not expected to end before the end.
	BeginStop(end time.Time)
	// Stop refuses all further requests.
	Stop()
}

// CrashTracker counts the crashes of backend servers against requests.
type CrashTracker interface {
	Empty() bool
	Quarantined(now time.Time, fingerprint uint64) bool
	RecordCrash(now time.Time, p crashtracker.BackendProcess, fingerprints []uint64)
	Clear(now time.Time, fingerprint uint64)
}

type executor struct {
	Config
	group sync.WaitGroup

	mu               sync.Mutex
	report           Report
	reported         bool
	stopped          bool
	unreachableUntil time.Time
	failures         failureRate
	interrupted      interrupted
	probing          bool
	rate             chivegauge.RateLimit
	finisher         finisher.Finisher
}

// Config holds the dependencies of an executor.
type Config struct {
	Names chivegauge.HeaderNames

	// Limiter limits the requests that run at once.
	Limiter concurrencylimiter.ConcurrencyLimiter

	// ParentLimiter limits the parents, which are the requests that make nested calls, by the downstream limit; a parent
	// passes it first.
	ParentLimiter concurrencylimiter.ConcurrencyLimiter

	Correlator    correlator.Correlator
	DeclaredLimit limiter.Declared
	Backend       connector.Connector
	CrashTracker  CrashTracker
	Publisher     Publisher

	// Log is for lines about requests, which may be sampled, and StateLog for the rarer ones about the backend server.
	Log      zerolog.Logger
	StateLog zerolog.Logger
}

// New returns an executor that refuses all requests until the backend server reports.
func New(cfg Config) Executor {
	cfg.Limiter.StartProbation()
	return &executor{
		Config:   cfg,
		finisher: finisher.New(),
	}
}

// ApplyReport applies a report that is newer than the last one; a report of another process means that the previous one
// has ended.
func (e *executor) ApplyReport(now time.Time, r Report) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reported && !r.Newer(e.report) {
		return false
	}
	if e.reported && !r.SameProcess(e.report) {
		e.Backend.CloseIdle()
		e.unreachableUntil = time.Time{}
		e.failures = failureRate{}
		e.recordCrash(now, otherProcess)
		e.interrupted = interrupted{}
		e.setRate(chivegauge.RateLimit{})
	}
	if e.reported && r.SameProcess(e.report) && e.report.Leaving {
		r = r.WithLeaving()
	}
	e.setReport(r)
	return true
}

func (e *executor) setReport(r Report) {
	e.report = r
	e.reported = true
	e.DeclaredLimit.Declare(r.Slots)
	e.Limiter.SetDraining(r.Leaving)
}

// MarkLeaving marks a process of the backend server as leaving, even if it hasn't reported yet: its reports may arrive
// later.
func (e *executor) MarkLeaving(now time.Time, instance string, startedAtMs int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	sameInstance := e.reported && e.report.Instance == instance
	leaving := Report{
		Instance:    instance,
		StartedAtMs: startedAtMs,
		Leaving:     true,
	}
	switch {
	case startedAtMs != 0:
	case sameInstance:
		leaving.StartedAtMs = e.report.StartedAtMs
	case !e.reported:
		leaving.StartedAtMs = now.UnixMilli()
	}
	switch {
	case e.reported && leaving.SameProcess(e.report):
		leaving = e.report.WithLeaving()
		if e.report.Leaving {
			return false
		}
	case e.reported && !leaving.Newer(e.report):
		return false
	}
	e.setReport(leaving)
	return true
}

// LastReport returns the last report.
func (e *executor) LastReport() (Report, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report, e.reported
}

// Load returns the running and waiting requests, the limit and the failure rate.
func (e *executor) Load() picker.Load {
	l := e.Limiter.Load()
	l.Waiting += e.ParentLimiter.Load().Waiting
	e.mu.Lock()
	defer e.mu.Unlock()
	l.FailureRate = e.failures.value(time.Now())
	return l
}

// recordRun updates the failure rate after a run.
func (e *executor) recordRun(failed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures = e.failures.withRun(time.Now(), failed)
}

// BeginStop refuses further requests that are not expected to end before the end.
func (e *executor) BeginStop(end time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finisher.Stop(end)
}

// admitBeforeStop returns the call with a deadline before the end of the node, or a refusal if it is not expected to end
// in time.
func (e *executor) admitBeforeStop(now time.Time, c chivegauge.Call) (chivegauge.Call, *chivegauge.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	deadline, ok := e.finisher.Admit(now, c.Route, c.Deadline)
	if !ok {
		return c, chivegauge.Refuse(chivegauge.CodeDraining, "the node stops before the request would have ended")
	}
	c.Deadline = deadline
	return c, nil
}

// observeTime records how long a request on the route took.
func (e *executor) observeTime(route string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finisher.Observe(route, took)
}

// Stop refuses all further requests.
func (e *executor) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
}

// checkBackend returns the last report if requests of the service may be sent to the backend server at now, or a
// refusal.
func (e *executor) checkBackend(now time.Time, service string) (Report, *chivegauge.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !e.reported:
		return Report{}, chivegauge.Refuse(chivegauge.CodeNoBackend, "the backend server has not reported yet")
	case e.report.Service != service:
		return Report{}, chivegauge.Refuse(chivegauge.CodeNoBackend, "the backend server is of another service")
	case e.stopped:
		return Report{}, chivegauge.Refuse(chivegauge.CodeDraining, "the node is stopping")
	case e.report.Leaving:
		return Report{}, chivegauge.Refuse(chivegauge.CodeDraining, "the backend server is leaving")
	case now.Before(e.unreachableUntil):
		return Report{}, chivegauge.Refuse(chivegauge.CodeNoBackend, "the backend server refused a connection")
	default:
		return e.report, nil
	}
}

// Run sends the request once it may run, and logs a refusal with the state of the backend server.
func (e *executor) Run(ctx context.Context, c chivegauge.Call, r *streamer.Request) *streamer.Response {
	began := time.Now()
	response := e.run(ctx, c, r)
	if response.Refusal == nil {
		return response
	}
	report, _ := e.LastReport()
	load := e.Load()
	e.Log.Warn().Str("Request", c.RequestID).Str("Route", c.Route).Str("Caller", c.Caller).Str("Code", string(response.Refusal.Code)).
		Str("Run", string(response.Refusal.Run)).Str("Reason", response.Refusal.Message).Str("Instance", report.Instance).
		Uint64("Sequence", report.Sequence).Bool("Leaving", report.Leaving).Int("Running", load.Running).
		Int("Waiting", load.Waiting).Int("Limit", load.Limit).Float64("Failing", load.FailureRate).Dur("TookMs", time.Since(began)).Msg("request not run to its end here")
	return response
}

func (e *executor) run(ctx context.Context, c chivegauge.Call, r *streamer.Request) *streamer.Response {
	if _, refusal := e.checkBackend(time.Now(), c.Service); refusal != nil {
		return streamer.RefusalResponse(refusal)
	}
	if refusal := e.checkQuarantine(time.Now(), c, r); refusal != nil {
		return streamer.RefusalResponse(refusal)
	}
	began := time.Now()
	c, refusal := e.admitBeforeStop(began, c)
	if refusal != nil {
		return streamer.RefusalResponse(refusal)
	}
	held, refusal := e.acquire(ctx, c)
	if refusal != nil {
		return streamer.RefusalResponse(refusal)
	}
	now := time.Now()
	report, refusal := e.checkBackend(now, c.Service)
	if refusal == nil {
		refusal = e.checkQuarantine(now, c, r)
	}
	if refusal == nil && c.Budget(now) <= 0 {
		refusal = chivegauge.Refuse(chivegauge.CodeDeadline, "the deadline has passed")
	}
	if refusal != nil {
		e.release(held, true)
		return streamer.RefusalResponse(refusal)
	}
	id := e.Correlator.Begin(c.Route, c.Importance, now.Add(remainingBudget(c, now)))
	response, err := e.Backend.Exchange(ctx, e.backendRequest(c, r, report, now))
	if err != nil {
		e.Correlator.End(id)
		e.release(held, true)
		return streamer.RefusalResponse(e.exchangeRefusal(ctx, err, c, r))
	}
	if response.Status != http.StatusMisdirectedRequest {
		e.applyAnnouncements(time.Now(), response.Header, report)
		e.Limiter.EndProbation()
	}
	e.recordResponse(now, response, c, r)
	response.OnRelease(func() {
		e.Correlator.End(id)
		e.observeTime(c.Route, time.Since(began))
	})
	return e.handleResponse(response, held)
}

// backendRequest returns the request to send to the backend server: without credentials and internal headers of the
// caller, and with the headers of the node.
func (e *executor) backendRequest(c chivegauge.Call, r *streamer.Request, report Report, now time.Time) *streamer.Request {
	fields := [...]chivegauge.HeaderField{
		{Name: e.Names.Workspace, Value: c.Workspace},
		{Name: e.Names.Caller, Value: c.Caller},
		{Name: e.Names.Expected, Value: report.Instance},
		{Name: e.Names.BudgetMs, Value: strconv.FormatInt(remainingBudget(c, now).Milliseconds(), 10)},
	}
	out := *r
	out.Header = make(http.Header, len(r.Header)+len(fields))
	for name, values := range r.Header {
		if !chivegauge.InternalHeader(name) {
			out.Header[name] = values
		}
	}
	delete(out.Header, "Authorization")
	delete(out.Header, e.Names.Workspace)
	values := make([]string, len(fields))
	for i, f := range fields {
		if f.Value != "" || f.Name != e.Names.Workspace {
			values[i] = f.Value
			out.Header[f.Name] = values[i : i+1 : i+1]
		}
	}
	return &out
}

// remainingBudget returns the remaining time that is sent to the backend server, in whole milliseconds, at least one.
func remainingBudget(c chivegauge.Call, now time.Time) time.Duration {
	return max(time.Millisecond, c.Budget(now).Truncate(time.Millisecond))
}

// exchangeRefusal returns the refusal for a failed exchange: it says that the request didn't run if it wasn't sent, and
// otherwise that the outcome is unknown.
func (e *executor) exchangeRefusal(ctx context.Context, err error, c chivegauge.Call, r *streamer.Request) *chivegauge.Refusal {
	failed := &connector.Error{}
	if errors.As(err, &failed) && !failed.Sent {
		if ctx.Err() == nil {
			e.recordUnreachable(time.Now(), err)
		}
		return chivegauge.Refuse(chivegauge.CodeNoBackend, "the backend server can't be reached: "+err.Error())
	}
	if ctx.Err() != nil {
		e.recordAbandoned(time.Now(), c, r)
	}
	if ctx.Err() != nil && c.Budget(time.Now()) > 0 {
		return chivegauge.RefuseMayHaveRun(chivegauge.CodeCancelled, "cancelled while the request ran: "+context.Cause(ctx).Error())
	}
	if ctx.Err() != nil {
		return chivegauge.RefuseMayHaveRun(chivegauge.CodeDeadline, "the deadline passed while the request ran")
	}
	e.recordRun(true)
	e.recordInterrupted(time.Now(), c, r)
	return chivegauge.RefuseMayHaveRun(chivegauge.CodeOutcomeUnknown, "the backend server broke off: "+err.Error())
}

// notRun reports whether the response says that the backend server didn't run the request.
func (e *executor) notRun(response *streamer.Response) bool {
	return response.Status == http.StatusMisdirectedRequest || response.Header.Get(e.Names.NotRun) != ""
}

// handleResponse returns the response, or a refusal if the response says that the backend server didn't run the
// request.
func (e *executor) handleResponse(response *streamer.Response, held permits) *streamer.Response {
	if e.notRun(response) {
		response.Release()
		e.release(held, true)
		e.recordRun(true)
		refusal := chivegauge.Refuse(chivegauge.CodeBusy, "the backend server did not run the request")
		if response.Status == http.StatusMisdirectedRequest {
			refusal = chivegauge.Refuse(chivegauge.CodeNoBackend, "another backend server has the address")
		}
		return streamer.RefusalResponse(refusal.WithReachedBackend())
	}
	e.Names.DeleteInternal(response.Header)
	e.Names.DeleteListed(response.Header)
	failed := response.Status >= http.StatusInternalServerError
	e.recordRun(failed)
	response.OnRelease(func() { e.release(held, failed) })
	return response
}
