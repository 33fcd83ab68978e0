package forwarder_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/budgeter"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/request/crashtracker"
	"github.com/chivegauge/chivegauge/internal/request/router"
	"github.com/chivegauge/chivegauge/internal/stream/forwarder"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// fakeParts implements the parts that a forwarder uses. The other nodes return its responses in order, the last one
// again and again, and it records the calls sent and the outcomes reported to the downstream limit.
type fakeParts struct {
	parent       chivegauge.Importance
	verdict      crashtracker.Verdict
	refusedCalls []bool
	now          time.Time
	router       router.Router
	age          time.Duration
	members      int
	aboveRate    bool
	responses    []func() *streamer.Response
	calls        []chivegauge.Call
	requests     []*streamer.Request
	log          zerolog.Logger
}

func (p *fakeParts) Router() (router.Router, bool) { return p.router, p.router != nil }
func (p *fakeParts) Age() time.Duration            { return p.age }

func (p *fakeParts) Self() chivegauge.Member {
	return chivegauge.Member{
		Address: "self",
		Service: "entry",
	}
}

func (p *fakeParts) Service(name string) []chivegauge.Member {
	list := make([]chivegauge.Member, 0, p.members)
	for n := range p.members {
		list = append(list, chivegauge.Member{
			Address: strconv.Itoa(n),
			Service: name,
		})
	}
	return list
}

func (p *fakeParts) Acquire(context.Context, string) (bool, time.Duration) {
	return !p.aboveRate, time.Second
}

func (p *fakeParts) Run(context.Context, chivegauge.Call, *streamer.Request) *streamer.Response {
	return nil
}

func (p *fakeParts) Load() picker.Load { return picker.Load{} }

func (p *fakeParts) Send(_ context.Context, _ chivegauge.Member, c chivegauge.Call, r *streamer.Request) (*streamer.Response, picker.Load) {
	p.calls = append(p.calls, c)
	p.requests = append(p.requests, r)
	next := p.responses[min(len(p.calls), len(p.responses))-1]
	return next(), picker.Load{}
}

func (p *fakeParts) Attribute(time.Time, chivegauge.Route, time.Time) (chivegauge.Importance, bool) {
	return p.parent, p.parent != 0
}

func (p *fakeParts) Empty() bool { return p.verdict == crashtracker.Unsuspected }

func (p *fakeParts) Admit(time.Time, uint64) crashtracker.Verdict { return p.verdict }

func (p *fakeParts) CalledByBackend(string) bool { return p.parent != 0 }

func (p *fakeParts) ObserveOutcome(_ time.Time, refused bool) {
	p.refusedCalls = append(p.refusedCalls, refused)
}

func (p *fakeParts) CountAttempt(*chivegauge.Refusal) {}

func (p *fakeParts) CountRequest(string, string, *chivegauge.Refusal, time.Duration) {}

func respond(status int) func() *streamer.Response {
	return func() *streamer.Response {
		response := &streamer.Response{
			Status: status,
			Header: http.Header{},
		}
		response.SetBody([]byte("x"))
		return response
	}
}

func refuse(r *chivegauge.Refusal) func() *streamer.Response {
	return func() *streamer.Response { return streamer.RefusalResponse(r) }
}

func newFakeParts(responses ...func() *streamer.Response) *fakeParts {
	high := chivegauge.Critical
	return &fakeParts{
		now:       time.Unix(1000, 0),
		members:   3,
		responses: responses,
		router: router.New(router.Document{
			Version: 1,
			Config: chivegauge.Configuration{
				Routes: []chivegauge.Route{
					{Name: "read", Host: "a.example", Prefix: "/read/", Service: "booking", Idempotent: true, DeadlineMs: 5000, Attempts: 2},
					{Name: "write", Host: "a.example", Prefix: "/write/", Service: "booking", DeadlineMs: 800, Attempts: 2},
					{Name: "open", Host: "a.example", Prefix: "/open/", Service: "booking", Open: true, Idempotent: true, DeadlineMs: 800, Attempts: 2},
				},
				Workspaces: []chivegauge.Workspace{{
					Name:       "golf",
					Importance: &high,
				}},
			},
			Keys: map[string][]string{
				"golf": {"k1"},
			},
		}),
	}
}

func (p *fakeParts) forwarder(ratio float64) forwarder.Forwarder {
	ratios := budgeter.Ratios{
		All:        ratio,
		MayHaveRun: ratio,
	}
	return forwarder.New(forwarder.Config{
		Now:                  func() time.Time { return p.now },
		Names:                chivegauge.OwnHeaderNames(),
		Config:               p,
		Members:              p,
		RateLimiter:          p,
		Local:                p,
		Remote:               p,
		Picker:               picker.NewRoundRobin(),
		Correlator:           p,
		CrashTracker:         p,
		DownstreamLimit:      p,
		RetryBudget:          budgeter.NewWindow(ratios, 0, time.Minute),
		Meter:                p,
		Log:                  p.log,
		BodyBufferMax:        1000,
		TransparentRetryTime: 150 * time.Millisecond,
		VerificationAgeMax:   func() time.Duration { return 4 * time.Second },
	})
}

func request(target, key string) *streamer.Request {
	h := http.Header{}
	if key != "" {
		h.Set("Authorization", "Bearer "+key)
	}
	return &streamer.Request{
		Method:  http.MethodPost,
		Target:  target,
		Host:    "A.example:80",
		Header:  h,
		Body:    bytes.NewReader([]byte("body")),
		Length:  4,
		Arrived: time.Now(),
	}
}

// TestAttempts checks when a request is sent again, and which status its caller gets.
func TestAttempts(t *testing.T) {
	unknown := refuse(chivegauge.RefuseMayHaveRun(chivegauge.CodeOutcomeUnknown, "connection closed"))
	draining := refuse(chivegauge.Refuse(chivegauge.CodeDraining, "leaving"))
	busy := refuse(chivegauge.Refuse(chivegauge.CodeBusy, "full"))
	arrived := refuse(chivegauge.Refuse(chivegauge.CodeBusy, "backend server did not run it").WithReachedBackend())
	timedOut := refuse(chivegauge.RefuseMayHaveRun(chivegauge.CodeDeadline, "no answer in time"))
	suspect := refuse(chivegauge.Refuse(chivegauge.CodeQuarantined, "crashed backend servers"))
	ok := respond(http.StatusOK)
	failed := respond(http.StatusInternalServerError)
	tests := map[string]struct {
		target    string
		ratio     float64
		responses []func() *streamer.Response
		sends     int
		status    int
	}{
		"answered":                       {target: "/write/1", responses: []func() *streamer.Response{ok}, sends: 1, status: 200},
		"moved":                          {target: "/write/1", responses: []func() *streamer.Response{draining, ok}, sends: 2, status: 200},
		"suspect":                        {target: "/read/1", responses: []func() *streamer.Response{suspect, ok}, sends: 1, status: 503},
		"all busy":                       {target: "/write/1", responses: []func() *streamer.Response{busy}, sends: 3, status: 503},
		"write interrupted":              {target: "/write/1", ratio: 1, responses: []func() *streamer.Response{unknown, ok}, sends: 1, status: 502},
		"write timeout":                  {target: "/write/1", ratio: 1, responses: []func() *streamer.Response{timedOut, ok}, sends: 1, status: 504},
		"write failed":                   {target: "/write/1", ratio: 1, responses: []func() *streamer.Response{failed, ok}, sends: 1, status: 500},
		"write not run by backend":       {target: "/write/1", ratio: 1, responses: []func() *streamer.Response{arrived, ok}, sends: 2, status: 200},
		"write not run, no budget":       {target: "/write/1", responses: []func() *streamer.Response{arrived, ok}, sends: 1, status: 503},
		"read interrupted":               {target: "/read/1", ratio: 1, responses: []func() *streamer.Response{unknown, ok}, sends: 2, status: 200},
		"read interrupted, no budget":    {target: "/read/1", responses: []func() *streamer.Response{unknown, ok}, sends: 1, status: 502},
		"read failed":                    {target: "/read/1", ratio: 1, responses: []func() *streamer.Response{failed, ok}, sends: 2, status: 200},
		"read failed twice":              {target: "/read/1", ratio: 2, responses: []func() *streamer.Response{failed, failed, ok}, sends: 2, status: 500},
		"read ran, then refused not run": {target: "/read/1", ratio: 1, responses: []func() *streamer.Response{unknown, draining}, sends: 3, status: 502},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newFakeParts(tt.responses...)
			response := p.forwarder(tt.ratio).Handle(context.Background(), request(tt.target, "k1"))
			is.Equal(len(p.calls), tt.sends)
			is.Equal(response.Status, tt.status)
			if tt.status == http.StatusServiceUnavailable {
				is.True(response.Header.Get(chivegauge.HeaderRetryAfter) != "")
			}
		})
	}
}

// TestLogNamesDecidingVersion checks that the log names the configuration by which a request was admitted, also if
// another one became active while the request ran.
func TestLogNamesDecidingVersion(t *testing.T) {
	is := is.New(t)
	log := &bytes.Buffer{}
	p := newFakeParts(respond(http.StatusOK))
	p.log = zerolog.New(log)
	p.age = 1500 * time.Millisecond
	answer := p.responses[0]
	p.responses[0] = func() *streamer.Response {
		p.router = router.New(router.Document{
			Version: 2,
		})
		p.age = 0
		return answer()
	}
	p.forwarder(1).Handle(context.Background(), request("/read/1", "k1"))
	line := map[string]any{}
	is.NoErr(json.Unmarshal(log.Bytes(), &line))
	is.Equal(line["ConfigVersion"], 1.0)
	is.Equal(line["ProofAgeMs"], 1500.0)
}

// TestTrialIsSentOnce checks that a request on trial is marked as such and is not sent again.
func TestTrialIsSentOnce(t *testing.T) {
	is := is.New(t)
	p := newFakeParts(refuse(chivegauge.RefuseMayHaveRun(chivegauge.CodeOutcomeUnknown, "connection closed")))
	p.verdict = crashtracker.Trial
	p.forwarder(1).Handle(context.Background(), request("/read/1", "k1"))
	is.Equal(len(p.calls), 1)
	is.True(p.calls[0].Trial)
}

// TestRetryBudgetUsesMonotonicClock checks that retries are counted by Config.Now, which does not jump when the time of
// day is set.
func TestRetryBudgetUsesMonotonicClock(t *testing.T) {
	is := is.New(t)
	p := newFakeParts(respond(http.StatusInternalServerError))
	f := p.forwarder(0.25)
	for range 8 {
		f.Handle(context.Background(), request("/write/1", "k1"))
	}
	p.now = p.now.Add(time.Hour)
	p.calls = nil
	f.Handle(context.Background(), request("/read/1", "k1"))
	is.Equal(len(p.calls), 1) // first attempts of an hour ago allow no retry
}

// TestAdmission checks which requests are refused before any attempt is sent.
func TestAdmission(t *testing.T) {
	tests := map[string]struct {
		target string
		key    string
		setup  func(p *fakeParts)
		status int
		sends  int
	}{
		"known key":               {target: "/write/1", key: "k1", status: 200, sends: 1},
		"unknown key":             {target: "/write/1", key: "k2", status: 401},
		"no key":                  {target: "/write/1", status: 401},
		"open, no key":            {target: "/open/1", status: 200, sends: 1},
		"open, unknown key":       {target: "/open/1", key: "k2", status: 200, sends: 1},
		"no route":                {target: "/other/1", key: "k1", status: 404},
		"prefix in query":         {target: "/x?/write/1", key: "k1", status: 404},
		"no configuration":        {target: "/write/1", key: "k1", setup: func(p *fakeParts) { p.router = nil }, status: 503},
		"stale keys":              {target: "/write/1", key: "k1", setup: func(p *fakeParts) { p.age = 5 * time.Second }, status: 503},
		"stale keys, unknown key": {target: "/write/1", key: "k2", setup: func(p *fakeParts) { p.age = 5 * time.Second }, status: 503},
		"stale keys, open":        {target: "/open/1", setup: func(p *fakeParts) { p.age = 5 * time.Second }, status: 200, sends: 1},
		"above rate":              {target: "/write/1", key: "k1", setup: func(p *fakeParts) { p.aboveRate = true }, status: 429},
		"suspect":                 {target: "/write/1", key: "k1", setup: func(p *fakeParts) { p.verdict = crashtracker.Quarantined }, status: 503},
		"no member":               {target: "/write/1", key: "k1", setup: func(p *fakeParts) { p.members = 0 }, status: 503},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newFakeParts(respond(http.StatusOK))
			if tt.setup != nil {
				tt.setup(p)
			}
			response := p.forwarder(0).Handle(context.Background(), request(tt.target, tt.key))
			is.Equal(response.Status, tt.status)
			is.Equal(len(p.calls), tt.sends)
		})
	}
}

// TestTransparentRetriesEnd checks that a request that has already waited in a full queue is refused without a
// transparent retry, in time for its caller to retry.
func TestTransparentRetriesEnd(t *testing.T) {
	tests := map[string]struct {
		code  chivegauge.Code
		age   time.Duration
		sends int
	}{
		"queue full at once":      {code: chivegauge.CodeBusy, sends: 3},
		"queue full after a wait": {code: chivegauge.CodeBusy, age: 200 * time.Millisecond, sends: 1},
		"leaving":                 {code: chivegauge.CodeDraining, age: 200 * time.Millisecond, sends: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newFakeParts(refuse(chivegauge.Refuse(tt.code, "no")))
			r := request("/read/1", "k1")
			r.Arrived = r.Arrived.Add(-tt.age)
			response := p.forwarder(0).Handle(context.Background(), r)
			is.Equal(len(p.calls), tt.sends)
			is.Equal(response.Status, http.StatusServiceUnavailable)
		})
	}
}

// TestDownstreamLimit checks which nested calls of the backend server are reported as refused to the downstream limit.
func TestDownstreamLimit(t *testing.T) {
	busy := refuse(chivegauge.Refuse(chivegauge.CodeBusy, "full"))
	ok := respond(http.StatusOK)
	tests := map[string]struct {
		responses []func() *streamer.Response
		parent    chivegauge.Importance
		refused   []bool
	}{
		"answered":                  {responses: []func() *streamer.Response{ok}, parent: 1, refused: []bool{false}},
		"answered elsewhere":        {responses: []func() *streamer.Response{busy, ok}, parent: 1, refused: []bool{false}},
		"refused everywhere":        {responses: []func() *streamer.Response{busy}, parent: 1, refused: []bool{true}},
		"refused by backend server": {responses: []func() *streamer.Response{refuse(chivegauge.Refuse(chivegauge.CodeBusy, "backend server did not run it").WithReachedBackend())}, parent: 1, refused: []bool{false}},
		"not a nested call":         {responses: []func() *streamer.Response{busy}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newFakeParts(tt.responses...)
			p.parent = tt.parent
			p.forwarder(0).Handle(context.Background(), request("/open/1", ""))
			is.Equal(p.refusedCalls, tt.refused)
		})
	}
}

// TestImportanceOfCalls checks that a nested call gets the importance of the request that made it, if that is known and
// higher.
func TestImportanceOfCalls(t *testing.T) {
	tests := map[string]struct {
		parent chivegauge.Importance
		key    string
		want   chivegauge.Importance
	}{
		"call of a critical request": {parent: chivegauge.Critical, want: chivegauge.Critical},
		"call of an unknown request": {want: chivegauge.Low},
		"request with a key":         {parent: chivegauge.Low + 1, key: "k1", want: chivegauge.Critical},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newFakeParts(respond(http.StatusOK))
			p.parent = tt.parent
			p.forwarder(0).Handle(context.Background(), request("/open/1", tt.key))
			is.Equal(p.calls[0].Importance, tt.want)
		})
	}
}

// TestCall checks the workspace, importance, caller and deadline of the call that is made from a request.
func TestCall(t *testing.T) {
	is := is.New(t)
	p := newFakeParts(respond(http.StatusOK))
	r := request("/read/1", "k1")
	r.Header.Set(chivegauge.HeaderBudgetMs, "1200")
	p.forwarder(0).Handle(context.Background(), r)
	c := p.calls[0]
	is.Equal(c.Workspace, "golf")
	is.Equal(c.Importance, chivegauge.Critical) // the workspace's importance overrides the route's
	is.Equal(c.Caller, "entry")
	// The caller's time budget is shorter than the route's deadline.
	is.True(c.Deadline.Sub(r.Arrived) == 1200*time.Millisecond)
}
