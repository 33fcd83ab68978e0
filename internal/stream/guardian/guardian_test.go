package guardian_test

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/limiter"
	"github.com/chivegauge/chivegauge/internal/policy/scheduler"
	"github.com/chivegauge/chivegauge/internal/request/gatekeeper"
	"github.com/chivegauge/chivegauge/internal/request/linker"
	"github.com/chivegauge/chivegauge/internal/stream/carrier"
	"github.com/chivegauge/chivegauge/internal/stream/connector"
	"github.com/chivegauge/chivegauge/internal/stream/guardian"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// backend answers each exchange by the function, and keeps the requests and what is said of suspects.
type backend struct {
	answer   func(ctx context.Context) (*carrier.Answer, error)
	sent     []*carrier.Request
	refuses  bool
	died     []uint64
	survived []uint64
}

func (b *backend) Empty() bool                    { return false }
func (b *backend) Refuses(time.Time, uint64) bool { return b.refuses }
func (b *backend) Died(_ time.Time, f []uint64)   { b.died = append(b.died, f...) }
func (b *backend) Survived(f uint64)              { b.survived = append(b.survived, f) }

func (b *backend) Exchange(ctx context.Context, r *carrier.Request) (*carrier.Answer, error) {
	b.sent = append(b.sent, r)
	return b.answer(ctx)
}

func (b *backend) Drop()         {}
func (b *backend) Dials() uint64 { return 0 }

func status(code int, header http.Header) func(context.Context) (*carrier.Answer, error) {
	return func(context.Context) (*carrier.Answer, error) {
		a := &carrier.Answer{
			Status: code,
			Header: header,
		}
		a.Hold([]byte("x"))
		return a, nil
	}
}

func fails(sent bool) func(context.Context) (*carrier.Answer, error) {
	return func(context.Context) (*carrier.Answer, error) {
		return nil, &connector.Error{
			Sent:  sent,
			Cause: errors.New("broken"),
		}
	}
}

func newGuardian(b *backend) guardian.Guardian {
	l := limiter.NewDeclared(1)
	gate := gatekeeper.New(time.Now, l, scheduler.New(10), gatekeeper.WithMaxWait(20*time.Millisecond))
	return guardian.New(guardian.Config{
		Names:    chivegauge.OwnHeaderNames(),
		Gate:     gate,
		Callers:  gatekeeper.New(time.Now, l, scheduler.New(10), gatekeeper.WithMaxWait(20*time.Millisecond)),
		Links:    linker.New(),
		Limit:    l,
		Backend:  b,
		Suspects: b,
		Log:      zerolog.Nop(),
	})
}

func report(instance string, born int64, sequence uint64) guardian.Report {
	return guardian.Report{
		Instance: instance,
		Born:     born,
		Sequence: sequence,
		Service:  "booking",
		Slots:    2,
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

func request() *carrier.Request {
	return &carrier.Request{
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

// TestReports states which reports are news: those of a later start, or later in the same.
func TestReports(t *testing.T) {
	first := report("i-1", 100, 5)
	tests := map[string]struct {
		next    guardian.Report
		news    bool
		leaving bool
	}{
		"next":                     {next: report("i-1", 100, 6), news: true},
		"repeated":                 {next: report("i-1", 100, 5)},
		"late":                     {next: report("i-1", 100, 4).WithLeaving()},
		"later start":              {next: report("i-2", 200, 1), news: true},
		"later start, same ID":     {next: report("i-1", 200, 1), news: true},
		"earlier start":            {next: report("i-0", 50, 900)},
		"leaving":                  {next: report("i-1", 100, 6).WithLeaving(), news: true, leaving: true},
		"leaving in earlier start": {next: report("i-0", 50, 900).WithLeaving()},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGuardian(&backend{})
			now := time.Unix(1000, 0)
			is.True(g.Report(now, first))
			is.Equal(g.Report(now, tt.next), tt.news)
			got, _ := g.Current()
			is.Equal(got.Leaving, tt.leaving)
		})
	}
}

// TestLeavingIsKept states that a start that leaves never gets work again, whatever arrives late.
func TestLeavingIsKept(t *testing.T) {
	is := is.New(t)
	b := &backend{
		answer: status(http.StatusOK, http.Header{}),
	}
	g := newGuardian(b)
	now := time.Unix(1000, 0)
	g.Report(now, report("i-1", 100, 5))
	is.Equal(g.Run(context.Background(), call(), request()).Refusal, nil)
	is.True(g.Leave(now, "i-1", 0))
	is.True(!g.Leave(now, "i-1", 0))
	g.Report(now, report("i-1", 100, 6))
	a := g.Run(context.Background(), call(), request())
	is.Equal(a.Refusal.Code, chivegauge.CodeDraining)
	is.Equal(a.Refusal.Run, chivegauge.NotRun)
	is.Equal(len(b.sent), 1)
	g.Report(now, report("i-2", 200, 1))
	is.Equal(g.Run(context.Background(), call(), request()).Refusal, nil)
}

// TestFailingShare states which runs count as failed in what other nodes hear of the backend server.
func TestFailingShare(t *testing.T) {
	tests := map[string]struct {
		answer  func(context.Context) (*carrier.Answer, error)
		failing bool
	}{
		"answered":      {answer: status(http.StatusOK, http.Header{})},
		"not found":     {answer: status(http.StatusNotFound, http.Header{})},
		"failed":        {answer: status(http.StatusInternalServerError, http.Header{}), failing: true},
		"said not run":  {answer: status(http.StatusServiceUnavailable, http.Header{chivegauge.HeaderPrefix + "Not-Run": {"1"}}), failing: true},
		"broken off":    {answer: fails(true), failing: true},
		"not connected": {answer: fails(false)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGuardian(&backend{
				answer: tt.answer,
			})
			g.Report(time.Now(), report("i-1", 100, 1))
			g.Run(context.Background(), call(), request())
			is.Equal(g.Load().Failing > 0, tt.failing)
			g.Report(time.Now(), report("i-2", 200, 1))
			is.Equal(g.Load().Failing, 0.0) // another start has not failed
		})
	}
}

// refused is a connection to a port on which nobody listens.
func refused(context.Context) (*carrier.Answer, error) {
	return nil, &connector.Error{
		Cause: syscall.ECONNREFUSED,
	}
}

// TestDeath states which requests count as having been run by a backend server that died.
func TestDeath(t *testing.T) {
	ok := status(http.StatusOK, http.Header{})
	tests := map[string]struct {
		answers []func(context.Context) (*carrier.Answer, error)
		died    int
	}{
		"broke off, then closed":               {answers: []func(context.Context) (*carrier.Answer, error){fails(true), fails(true), refused}, died: 2},
		"broke off, then answered":             {answers: []func(context.Context) (*carrier.Answer, error){fails(true), ok, refused}},
		"broke off, then not reached":          {answers: []func(context.Context) (*carrier.Answer, error){fails(true), fails(false)}},
		"broke off, then another in its place": {answers: []func(context.Context) (*carrier.Answer, error){fails(true), status(http.StatusMisdirectedRequest, http.Header{}), ok}, died: 1},
		"closed with nothing broken off":       {answers: []func(context.Context) (*carrier.Answer, error){ok, refused}},
		"broke off, then started anew":         {answers: []func(context.Context) (*carrier.Answer, error){fails(true)}, died: 1},
		"answered, then started anew":          {answers: []func(context.Context) (*carrier.Answer, error){ok}},
		"broke off, closed, started again":     {answers: []func(context.Context) (*carrier.Answer, error){fails(true), refused}, died: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &backend{}
			g := newGuardian(b)
			g.Report(time.Now(), report("i-1", 100, 1))
			for _, answer := range tt.answers {
				b.answer = answer
				g.Run(context.Background(), call(), request())
			}
			if !strings.Contains(name, "answered") && !strings.Contains(name, "not reached") {
				g.Report(time.Now(), report("i-1", 200, 1))
			}
			is.Equal(len(b.died), tt.died)
		})
	}
}

// TestSuspect states that a request under which backend servers died is refused as not run.
func TestSuspect(t *testing.T) {
	is := is.New(t)
	b := &backend{
		answer:  status(http.StatusOK, http.Header{}),
		refuses: true,
	}
	g := newGuardian(b)
	g.Report(time.Now(), report("i-1", 100, 1))
	a := g.Run(context.Background(), call(), request())
	is.Equal(a.Refusal.Code, chivegauge.CodeQuarantined)
	is.Equal(a.Refusal.Run, chivegauge.NotRun)
	is.Equal(len(b.sent), 0)
	b.refuses = false
	is.Equal(g.Run(context.Background(), call(), request()).Refusal, nil)
	is.Equal(len(b.survived), 1)
}

// TestDepartures states which start is given no work after a departure, whatever was reported before and after it.
func TestDepartures(t *testing.T) {
	at := time.UnixMilli(1000)
	tests := map[string]struct {
		before  []guardian.Report
		left    string
		born    int64
		after   []guardian.Report
		news    bool
		leaving bool
	}{
		"the one here":                   {before: []guardian.Report{report("i-1", 100, 5)}, left: "i-1", born: 100, news: true, leaving: true},
		"the one here, start not said":   {before: []guardian.Report{report("i-1", 100, 5)}, left: "i-1", news: true, leaving: true},
		"before any report":              {left: "i-1", born: 100, after: []guardian.Report{report("i-1", 100, 24)}, news: true, leaving: true},
		"before any, start not said":     {left: "i-1", after: []guardian.Report{report("i-1", 100, 24)}, news: true, leaving: true},
		"before any, then another start": {left: "i-1", born: 100, after: []guardian.Report{report("i-2", 1200, 1)}, news: true},
		"the same ID starts again":       {left: "i-1", born: 100, after: []guardian.Report{report("i-1", 1200, 1)}, news: true},
		"an earlier start":               {before: []guardian.Report{report("i-2", 200, 5)}, left: "i-1", born: 100},
		"another one, start not said":    {before: []guardian.Report{report("i-2", 200, 5)}, left: "i-1"},
		"a later start":                  {before: []guardian.Report{report("i-1", 100, 5)}, left: "i-2", born: 200, after: []guardian.Report{report("i-2", 200, 3)}, news: true, leaving: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGuardian(&backend{})
			for _, r := range tt.before {
				is.True(g.Report(at, r))
			}
			is.Equal(g.Leave(at, tt.left, tt.born), tt.news)
			for _, r := range tt.after {
				g.Report(at, r)
			}
			got, _ := g.Current()
			is.Equal(got.Leaving, tt.leaving)
		})
	}
}

// TestOutcomes states what is said of a run by how its exchange ended.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		answer  func(context.Context) (*carrier.Answer, error)
		code    chivegauge.Code
		run     chivegauge.Run
		arrived bool
	}{
		"answered":       {answer: status(http.StatusOK, http.Header{})},
		"failed itself":  {answer: status(http.StatusInternalServerError, http.Header{})},
		"busy itself":    {answer: status(http.StatusServiceUnavailable, http.Header{})},
		"said not run":   {answer: status(http.StatusServiceUnavailable, http.Header{"Chivegauge-Not-Run": {"1"}}), code: chivegauge.CodeBusy, run: chivegauge.NotRun, arrived: true},
		"another one":    {answer: status(http.StatusMisdirectedRequest, http.Header{}), code: chivegauge.CodeNoBackend, run: chivegauge.NotRun, arrived: true},
		"no connection":  {answer: fails(false), code: chivegauge.CodeNoBackend, run: chivegauge.NotRun},
		"broken off":     {answer: fails(true), code: chivegauge.CodeOutcomeUnknown, run: chivegauge.MayHaveRun},
		"late or absent": {answer: fails(true), code: chivegauge.CodeOutcomeUnknown, run: chivegauge.MayHaveRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGuardian(&backend{
				answer: tt.answer,
			})
			g.Report(time.Now(), report("i-1", 100, 1))
			a := g.Run(context.Background(), call(), request())
			is.Equal(a.Refusal != nil, tt.code != "")
			if a.Refusal != nil {
				is.Equal(a.Refusal.Code, tt.code)
				is.Equal(a.Refusal.Run, tt.run)
				is.Equal(a.Refusal.Arrived, tt.arrived)
			}
			is.Equal(g.Load().Running, 0)
		})
	}
}

// TestUnknownBackend states that nothing is sent before the backend server reported, and nothing for another service.
func TestUnknownBackend(t *testing.T) {
	is := is.New(t)
	b := &backend{
		answer: status(http.StatusOK, http.Header{}),
	}
	g := newGuardian(b)
	a := g.Run(context.Background(), call(), request())
	is.Equal(a.Refusal.Code, chivegauge.CodeNoBackend)
	g.Report(time.Now(), report("i-1", 100, 1))
	other := call()
	other.Service = "haulage"
	a = g.Run(context.Background(), other, request())
	is.Equal(a.Refusal.Code, chivegauge.CodeNoBackend)
	is.Equal(a.Refusal.Run, chivegauge.NotRun)
	is.Equal(len(b.sent), 0)
}

// TestHeaders states what the backend server is shown.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	b := &backend{
		answer: status(http.StatusOK, http.Header{}),
	}
	g := newGuardian(b)
	g.Report(time.Now(), report("i-1", 100, 1))
	g.Run(context.Background(), call(), request())
	h := b.sent[0].Header
	names := chivegauge.OwnHeaderNames()
	is.Equal(h.Get("Authorization"), "")
	is.Equal(h.Get("Accept"), "all")
	is.Equal(h.Get(names.Workspace), "golf")
	is.Equal(h.Get(names.Expected), "i-1")
	is.Equal(h.Get(names.Caller), "entry")
	is.True(h.Get(names.BudgetMs) != "")
}

// TestFull states that a request is refused as not run when the slots stay taken.
func TestFull(t *testing.T) {
	is := is.New(t)
	b := &backend{
		answer: func(context.Context) (*carrier.Answer, error) {
			return &carrier.Answer{
				Status: http.StatusOK,
				Header: http.Header{},
				Body:   endless{},
				Length: -1,
			}, nil
		},
	}
	g := newGuardian(b)
	g.Report(time.Now(), report("i-1", 100, 1))
	first := g.Run(context.Background(), call(), request())
	second := g.Run(context.Background(), call(), request())
	is.Equal(g.Load().Running, 2)
	a := g.Run(context.Background(), call(), request())
	is.Equal(a.Refusal.Code, chivegauge.CodeBusy)
	is.Equal(a.Refusal.Run, chivegauge.NotRun)
	first.Release()
	second.Release()
	is.Equal(g.Load().Running, 0)
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }
func (endless) Close() error               { return nil }
