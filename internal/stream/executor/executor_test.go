package executor_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/limiter"
	"github.com/chivegauge/chivegauge/internal/policy/scheduler"
	"github.com/chivegauge/chivegauge/internal/request/concurrencylimiter"
	"github.com/chivegauge/chivegauge/internal/request/correlator"
	"github.com/chivegauge/chivegauge/internal/request/crashtracker"
	"github.com/chivegauge/chivegauge/internal/stream/connector"
	"github.com/chivegauge/chivegauge/internal/stream/executor"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// backend responds to each exchange with the result of respond, and records the requests, crashes and completions.
type backend struct {
	respond  func(ctx context.Context) (*streamer.Response, error)
	connect  error // result of a connection without a request
	sent     []*streamer.Request
	refuses  bool
	crashed  []uint64
	survived []uint64

	published []executor.Report
}

func (b *backend) Empty() bool                        { return false }
func (b *backend) Quarantined(time.Time, uint64) bool { return b.refuses }
func (b *backend) RecordCrash(_ time.Time, _ crashtracker.BackendProcess, f []uint64) {
	b.crashed = append(b.crashed, f...)
}

func (b *backend) Clear(_ time.Time, f uint64) { b.survived = append(b.survived, f) }

func (b *backend) PublishReport(r executor.Report) { b.published = append(b.published, r) }

func (b *backend) Exchange(ctx context.Context, r *streamer.Request) (*streamer.Response, error) {
	b.sent = append(b.sent, r)
	return b.respond(ctx)
}

func (b *backend) Connect(context.Context) error { return b.connect }
func (b *backend) CloseIdle()                    {}
func (b *backend) Dials() uint64                 { return 0 }

func status(code int, header http.Header) func(context.Context) (*streamer.Response, error) {
	return func(context.Context) (*streamer.Response, error) {
		response := &streamer.Response{
			Status: code,
			Header: header,
		}
		response.SetBody([]byte("x"))
		return response, nil
	}
}

func fails(sent bool) func(context.Context) (*streamer.Response, error) {
	return func(context.Context) (*streamer.Response, error) {
		return nil, &connector.Error{
			Sent:  sent,
			Cause: errors.New("broken"),
		}
	}
}

func newExecutor(b *backend) executor.Executor {
	l := limiter.NewDeclared(1)
	cl := concurrencylimiter.New(time.Now, l, scheduler.New(10), concurrencylimiter.WithMaxWait(20*time.Millisecond))
	return executor.New(executor.Config{
		Names:         chivegauge.OwnHeaderNames(),
		Limiter:       cl,
		ParentLimiter: concurrencylimiter.New(time.Now, l, scheduler.New(10), concurrencylimiter.WithMaxWait(20*time.Millisecond)),
		Correlator:    correlator.New(),
		DeclaredLimit: l,
		Backend:       b,
		CrashTracker:  b,
		Publisher:     b,
		Log:           zerolog.Nop(),
		StateLog:      zerolog.Nop(),
	})
}

func report(instance string, startedAtMs int64, sequence uint64) executor.Report {
	return executor.Report{
		Instance:    instance,
		StartedAtMs: startedAtMs,
		Sequence:    sequence,
		Service:     "booking",
		Slots:       2,
	}
}

func call() chivegauge.Call {
	return chivegauge.Call{
		RequestID: "1",
		Service:   "booking",
		Workspace: "golf",
		Caller:    "entry",
		Deadline:  time.Now().Add(time.Minute),
	}
}

func request() *streamer.Request {
	return &streamer.Request{
		Method: http.MethodPost,
		Target: "/x",
		Header: http.Header{
			"Authorization":                {"Bearer secret"},
			"Chivegauge-Workspace":         {"forged"},
			"Chivegauge-Expected-Instance": {"forged"},
			"Accept":                       {"all"},
		},
	}
}

// TestReports checks which reports are applied: those of a process that started later, and later ones of the same
// process.
func TestReports(t *testing.T) {
	first := report("i-1", 100, 5)
	tests := map[string]struct {
		next    executor.Report
		applied bool
		leaving bool
	}{
		"next":                     {next: report("i-1", 100, 6), applied: true},
		"repeated":                 {next: report("i-1", 100, 5)},
		"late":                     {next: report("i-1", 100, 4).WithLeaving()},
		"later process":            {next: report("i-2", 200, 1), applied: true},
		"later process, same ID":   {next: report("i-1", 200, 1), applied: true},
		"earlier process":          {next: report("i-0", 50, 900)},
		"leaving":                  {next: report("i-1", 100, 6).WithLeaving(), applied: true, leaving: true},
		"leaving, earlier process": {next: report("i-0", 50, 900).WithLeaving()},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newExecutor(&backend{})
			now := time.Unix(1000, 0)
			is.True(e.ApplyReport(now, first))
			is.Equal(e.ApplyReport(now, tt.next), tt.applied)
			got, _ := e.LastReport()
			is.Equal(got.Leaving, tt.leaving)
		})
	}
}

// TestLeavingIsPermanent checks that a process that is leaving gets no more requests, even if a late report says
// otherwise.
func TestLeavingIsPermanent(t *testing.T) {
	is := is.New(t)
	b := &backend{
		respond: status(http.StatusOK, http.Header{}),
	}
	e := newExecutor(b)
	now := time.Unix(1000, 0)
	e.ApplyReport(now, report("i-1", 100, 5))
	is.Equal(e.Run(context.Background(), call(), request()).Refusal, nil)
	is.True(e.MarkLeaving(now, "i-1", 0))
	is.True(!e.MarkLeaving(now, "i-1", 0))
	e.ApplyReport(now, report("i-1", 100, 6))
	response := e.Run(context.Background(), call(), request())
	is.Equal(response.Refusal.Code, chivegauge.CodeDraining)
	is.Equal(response.Refusal.Run, chivegauge.NotRun)
	is.Equal(len(b.sent), 1)
	e.ApplyReport(now, report("i-2", 200, 1))
	is.Equal(e.Run(context.Background(), call(), request()).Refusal, nil)
}

// TestFailureRate checks which runs count as failed in the failure rate that is sent to other nodes.
func TestFailureRate(t *testing.T) {
	tests := map[string]struct {
		respond func(context.Context) (*streamer.Response, error)
		failing bool
	}{
		"answered":            {respond: status(http.StatusOK, http.Header{})},
		"not found":           {respond: status(http.StatusNotFound, http.Header{})},
		"failed":              {respond: status(http.StatusInternalServerError, http.Header{}), failing: true},
		"reported as not run": {respond: status(http.StatusServiceUnavailable, http.Header{chivegauge.HeaderPrefix + "Not-Run": {"1"}}), failing: true},
		"connection closed":   {respond: fails(true), failing: true},
		"not connected":       {respond: fails(false)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newExecutor(&backend{
				respond: tt.respond,
			})
			e.ApplyReport(time.Now(), report("i-1", 100, 1))
			e.Run(context.Background(), call(), request())
			is.Equal(e.Load().FailureRate > 0, tt.failing)
			e.ApplyReport(time.Now(), report("i-2", 200, 1))
			is.Equal(e.Load().FailureRate, 0.0) // a new process starts without failures
		})
	}
}

// TestDepartures checks which process gets no more requests after a departure, depending on the reports before and
// after it.
func TestDepartures(t *testing.T) {
	at := time.UnixMilli(1000)
	tests := map[string]struct {
		before      []executor.Report
		left        string // instance of the departure
		startedAtMs int64  // of the departing process, 0 if unknown
		after       []executor.Report
		changed     bool // by the departure
		leaving     bool // in the last report
	}{
		"the current process":                     {before: []executor.Report{report("i-1", 100, 5)}, left: "i-1", startedAtMs: 100, changed: true, leaving: true},
		"the current process, start unknown":      {before: []executor.Report{report("i-1", 100, 5)}, left: "i-1", changed: true, leaving: true},
		"before any report":                       {left: "i-1", startedAtMs: 100, after: []executor.Report{report("i-1", 100, 24)}, changed: true, leaving: true},
		"before any report, start unknown":        {left: "i-1", after: []executor.Report{report("i-1", 100, 24)}, changed: true, leaving: true},
		"before any report, then another process": {left: "i-1", startedAtMs: 100, after: []executor.Report{report("i-2", 1200, 1)}, changed: true},
		"restart with the same ID":                {left: "i-1", startedAtMs: 100, after: []executor.Report{report("i-1", 1200, 1)}, changed: true},
		"an earlier process":                      {before: []executor.Report{report("i-2", 200, 5)}, left: "i-1", startedAtMs: 100},
		"another instance, start unknown":         {before: []executor.Report{report("i-2", 200, 5)}, left: "i-1"},
		"a later process":                         {before: []executor.Report{report("i-1", 100, 5)}, left: "i-2", startedAtMs: 200, after: []executor.Report{report("i-2", 200, 3)}, changed: true, leaving: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newExecutor(&backend{})
			for _, r := range tt.before {
				is.True(e.ApplyReport(at, r))
			}
			is.Equal(e.MarkLeaving(at, tt.left, tt.startedAtMs), tt.changed)
			for _, r := range tt.after {
				e.ApplyReport(at, r)
			}
			got, _ := e.LastReport()
			is.Equal(got.Leaving, tt.leaving)
		})
	}
}

// TestOutcomes checks the response or refusal for each way in which an exchange can end.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		respond func(context.Context) (*streamer.Response, error)
		code    chivegauge.Code
		run     chivegauge.Run
		arrived bool
	}{
		"answered":               {respond: status(http.StatusOK, http.Header{})},
		"server error":           {respond: status(http.StatusInternalServerError, http.Header{})},
		"service unavailable":    {respond: status(http.StatusServiceUnavailable, http.Header{})},
		"reported as not run":    {respond: status(http.StatusServiceUnavailable, http.Header{"Chivegauge-Not-Run": {"1"}}), code: chivegauge.CodeBusy, run: chivegauge.NotRun, arrived: true},
		"another backend server": {respond: status(http.StatusMisdirectedRequest, http.Header{}), code: chivegauge.CodeNoBackend, run: chivegauge.NotRun, arrived: true},
		"no connection":          {respond: fails(false), code: chivegauge.CodeNoBackend, run: chivegauge.NotRun},
		"connection closed":      {respond: fails(true), code: chivegauge.CodeOutcomeUnknown, run: chivegauge.MayHaveRun},
		"late or absent":         {respond: fails(true), code: chivegauge.CodeOutcomeUnknown, run: chivegauge.MayHaveRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newExecutor(&backend{
				respond: tt.respond,
			})
			e.ApplyReport(time.Now(), report("i-1", 100, 1))
			response := e.Run(context.Background(), call(), request())
			is.Equal(response.Refusal != nil, tt.code != "")
			if response.Refusal != nil {
				is.Equal(response.Refusal.Code, tt.code)
				is.Equal(response.Refusal.Run, tt.run)
				is.Equal(response.Refusal.ReachedBackend, tt.arrived)
			}
			is.Equal(e.Load().Running, 0)
		})
	}
}

// TestUnknownBackend checks that no request is sent before the backend server has reported, and none of another
// service.
func TestUnknownBackend(t *testing.T) {
	is := is.New(t)
	b := &backend{
		respond: status(http.StatusOK, http.Header{}),
	}
	e := newExecutor(b)
	response := e.Run(context.Background(), call(), request())
	is.Equal(response.Refusal.Code, chivegauge.CodeNoBackend)
	e.ApplyReport(time.Now(), report("i-1", 100, 1))
	other := call()
	other.Service = "haulage"
	response = e.Run(context.Background(), other, request())
	is.Equal(response.Refusal.Code, chivegauge.CodeNoBackend)
	is.Equal(response.Refusal.Run, chivegauge.NotRun)
	is.Equal(len(b.sent), 0)
}

// TestHeaders checks the headers that are sent to the backend server.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	b := &backend{
		respond: status(http.StatusOK, http.Header{}),
	}
	e := newExecutor(b)
	e.ApplyReport(time.Now(), report("i-1", 100, 1))
	e.Run(context.Background(), call(), request())
	h := b.sent[0].Header
	names := chivegauge.OwnHeaderNames()
	is.Equal(h.Get("Authorization"), "")
	is.Equal(h.Get("Accept"), "all")
	is.Equal(h.Get(names.Workspace), "golf")
	is.Equal(h.Get(names.Expected), "i-1")
	is.Equal(h.Get(names.Caller), "entry")
	is.True(h.Get(names.BudgetMs) != "")
}

// TestFull checks that a request is refused as not run if no slot is released in time.
func TestFull(t *testing.T) {
	is := is.New(t)
	b := &backend{
		respond: func(context.Context) (*streamer.Response, error) {
			return &streamer.Response{
				Status: http.StatusOK,
				Header: http.Header{},
				Body:   endless{},
				Length: -1,
			}, nil
		},
	}
	e := newExecutor(b)
	e.ApplyReport(time.Now(), report("i-1", 100, 1))
	first := e.Run(context.Background(), call(), request())
	second := e.Run(context.Background(), call(), request())
	is.Equal(e.Load().Running, 2)
	response := e.Run(context.Background(), call(), request())
	is.Equal(response.Refusal.Code, chivegauge.CodeBusy)
	is.Equal(response.Refusal.Run, chivegauge.NotRun)
	first.Release()
	second.Release()
	is.Equal(e.Load().Running, 0)
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }
func (endless) Close() error               { return nil }
