package forwarder_test

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/budgeter"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/request/router"
	"github.com/chivegauge/chivegauge/internal/stream/carrier"
	"github.com/chivegauge/chivegauge/internal/stream/forwarder"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// world is what a forwarder sees: a configuration, members, rates and answers of other nodes in turn.
type world struct {
	parent  chivegauge.Importance
	suspect bool
	marks   []bool
	now     time.Time
	router  router.Router
	age     time.Duration
	members int
	dry     bool
	answers []func() *carrier.Answer
	calls   []chivegauge.Call
	sent    []*carrier.Request
}

func (w *world) Router() (router.Router, bool) { return w.router, w.router != nil }
func (w *world) Age() time.Duration            { return w.age }

func (w *world) Self() chivegauge.Member {
	return chivegauge.Member{
		Address: "self",
		Service: "entry",
	}
}

func (w *world) Service(name string) []chivegauge.Member {
	list := make([]chivegauge.Member, 0, w.members)
	for n := range w.members {
		list = append(list, chivegauge.Member{
			Address: strconv.Itoa(n),
			Service: name,
		})
	}
	return list
}

func (w *world) Take(context.Context, string) (bool, time.Duration) { return !w.dry, time.Second }

func (w *world) Run(context.Context, chivegauge.Call, *carrier.Request) *carrier.Answer { return nil }

func (w *world) Load() picker.Load { return picker.Load{} }

func (w *world) Carry(_ context.Context, _ chivegauge.Member, c chivegauge.Call, r *carrier.Request) (*carrier.Answer, picker.Load) {
	w.calls = append(w.calls, c)
	w.sent = append(w.sent, r)
	next := w.answers[min(len(w.calls), len(w.answers))-1]
	return next(), picker.Load{}
}

func (w *world) Called(time.Time, chivegauge.Route, time.Time) (chivegauge.Importance, bool) {
	return w.parent, w.parent != 0
}

func (w *world) Empty() bool { return !w.suspect }

func (w *world) Refuses(time.Time, uint64) bool { return w.suspect }

func (w *world) FromHere(string) bool { return w.parent != 0 }

func (w *world) Mark(_ time.Time, marked bool) { w.marks = append(w.marks, marked) }

func (w *world) Attempted(*chivegauge.Refusal) {}

func (w *world) Served(string, string, *chivegauge.Refusal, time.Duration) {}

func answered(status int) func() *carrier.Answer {
	return func() *carrier.Answer {
		a := &carrier.Answer{
			Status: status,
			Header: http.Header{},
		}
		a.Hold([]byte("x"))
		return a
	}
}

func refused(r *chivegauge.Refusal) func() *carrier.Answer {
	return func() *carrier.Answer { return carrier.Refusal(r) }
}

func newWorld(answers ...func() *carrier.Answer) *world {
	high := chivegauge.Critical
	return &world{
		now:     time.Unix(1000, 0),
		members: 3,
		answers: answers,
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

func (w *world) forwarder(ratio float64) forwarder.Forwarder {
	share := budgeter.Share{
		All: ratio,
		Ran: ratio,
	}
	return forwarder.New(forwarder.Config{
		Now:      func() time.Time { return w.now },
		Names:    chivegauge.OwnHeaderNames(),
		Config:   w,
		Members:  w,
		Rates:    w,
		Local:    w,
		Remote:   w,
		Picker:   picker.NewRoundRobin(),
		Links:    w,
		Suspects: w,
		Room:     w,
		Budget:   budgeter.NewWindow(share, 0, time.Minute),
		Meter:    w,
		Log:      zerolog.Nop(),
		HoldMax:  1000,
		MoveTime: 150 * time.Millisecond,
		ProofMax: func() time.Duration { return 4 * time.Second },
	})
}

func request(target, key string) *carrier.Request {
	h := http.Header{}
	if key != "" {
		h.Set("Authorization", "Bearer "+key)
	}
	return &carrier.Request{
		Method:  http.MethodPost,
		Target:  target,
		Host:    "A.example:80",
		Header:  h,
		Body:    bytes.NewReader([]byte("body")),
		Length:  4,
		Arrived: time.Now(),
	}
}

// TestAttempts states when a request is sent again, and what its caller is told.
func TestAttempts(t *testing.T) {
	unknown := refused(chivegauge.Unknown(chivegauge.CodeOutcomeUnknown, "broken off"))
	draining := refused(chivegauge.Refuse(chivegauge.CodeDraining, "leaving"))
	busy := refused(chivegauge.Refuse(chivegauge.CodeBusy, "full"))
	arrived := refused(chivegauge.Refuse(chivegauge.CodeBusy, "said not run").WithArrived())
	late := refused(chivegauge.Unknown(chivegauge.CodeDeadline, "no answer in time"))
	suspect := refused(chivegauge.Refuse(chivegauge.CodeQuarantined, "backend servers died"))
	ok := answered(http.StatusOK)
	failed := answered(http.StatusInternalServerError)
	tests := map[string]struct {
		target  string
		ratio   float64
		answers []func() *carrier.Answer
		sends   int
		status  int
	}{
		"answered":                       {target: "/write/1", answers: []func() *carrier.Answer{ok}, sends: 1, status: 200},
		"moved":                          {target: "/write/1", answers: []func() *carrier.Answer{draining, ok}, sends: 2, status: 200},
		"suspect":                        {target: "/read/1", answers: []func() *carrier.Answer{suspect, ok}, sends: 1, status: 503},
		"all full":                       {target: "/write/1", answers: []func() *carrier.Answer{busy}, sends: 3, status: 503},
		"write broken off":               {target: "/write/1", ratio: 1, answers: []func() *carrier.Answer{unknown, ok}, sends: 1, status: 502},
		"write late":                     {target: "/write/1", ratio: 1, answers: []func() *carrier.Answer{late, ok}, sends: 1, status: 504},
		"write failed":                   {target: "/write/1", ratio: 1, answers: []func() *carrier.Answer{failed, ok}, sends: 1, status: 500},
		"write not run by backend":       {target: "/write/1", ratio: 1, answers: []func() *carrier.Answer{arrived, ok}, sends: 2, status: 200},
		"write not run, no budget":       {target: "/write/1", answers: []func() *carrier.Answer{arrived, ok}, sends: 1, status: 503},
		"read broken off":                {target: "/read/1", ratio: 1, answers: []func() *carrier.Answer{unknown, ok}, sends: 2, status: 200},
		"read broken off, no budget":     {target: "/read/1", answers: []func() *carrier.Answer{unknown, ok}, sends: 1, status: 502},
		"read failed":                    {target: "/read/1", ratio: 1, answers: []func() *carrier.Answer{failed, ok}, sends: 2, status: 200},
		"read failed twice":              {target: "/read/1", ratio: 2, answers: []func() *carrier.Answer{failed, failed, ok}, sends: 2, status: 500},
		"read ran, then refused not run": {target: "/read/1", ratio: 1, answers: []func() *carrier.Answer{unknown, draining}, sends: 3, status: 502},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(tt.answers...)
			a := w.forwarder(tt.ratio).Handle(context.Background(), request(tt.target, "k1"))
			is.Equal(len(w.calls), tt.sends)
			is.Equal(a.Status, tt.status)
			if tt.status == http.StatusServiceUnavailable {
				is.True(a.Header.Get(chivegauge.HeaderRetryAfter) != "")
			}
		})
	}
}

// TestRetriesFollowTheSteadyClock states that retries are counted by the clock that does not step with the time of day.
func TestRetriesFollowTheSteadyClock(t *testing.T) {
	is := is.New(t)
	w := newWorld(answered(http.StatusInternalServerError))
	f := w.forwarder(0.25)
	for range 8 {
		f.Handle(context.Background(), request("/write/1", "k1"))
	}
	w.now = w.now.Add(time.Hour)
	w.calls = nil
	f.Handle(context.Background(), request("/read/1", "k1"))
	is.Equal(len(w.calls), 1) // what was sent an hour before allows no retry
}

// TestAdmission states what is refused before anything is sent.
func TestAdmission(t *testing.T) {
	tests := map[string]struct {
		target string
		key    string
		change func(w *world)
		status int
		sends  int
	}{
		"known key":                 {target: "/write/1", key: "k1", status: 200, sends: 1},
		"unknown key":               {target: "/write/1", key: "k2", status: 401},
		"no key":                    {target: "/write/1", status: 401},
		"open, no key":              {target: "/open/1", status: 200, sends: 1},
		"open, unknown key":         {target: "/open/1", key: "k2", status: 200, sends: 1},
		"no route":                  {target: "/other/1", key: "k1", status: 404},
		"query is no path":          {target: "/x?/write/1", key: "k1", status: 404},
		"no configuration":          {target: "/write/1", key: "k1", change: func(w *world) { w.router = nil }, status: 503},
		"old proof":                 {target: "/write/1", key: "k1", change: func(w *world) { w.age = 5 * time.Second }, status: 503},
		"old proof and unknown key": {target: "/write/1", key: "k2", change: func(w *world) { w.age = 5 * time.Second }, status: 503},
		"old proof, open":           {target: "/open/1", change: func(w *world) { w.age = 5 * time.Second }, status: 200, sends: 1},
		"above rate":                {target: "/write/1", key: "k1", change: func(w *world) { w.dry = true }, status: 429},
		"suspect":                   {target: "/write/1", key: "k1", change: func(w *world) { w.suspect = true }, status: 503},
		"no member":                 {target: "/write/1", key: "k1", change: func(w *world) { w.members = 0 }, status: 503},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(answered(http.StatusOK))
			if tt.change != nil {
				tt.change(w)
			}
			a := w.forwarder(0).Handle(context.Background(), request(tt.target, tt.key))
			is.Equal(a.Status, tt.status)
			is.Equal(len(w.calls), tt.sends)
		})
	}
}

// TestMovesEnd states that a request that has waited for room is refused in time for its caller to come back.
func TestMovesEnd(t *testing.T) {
	tests := map[string]struct {
		code  chivegauge.Code
		since time.Duration
		sends int
	}{
		"full at once":      {code: chivegauge.CodeBusy, sends: 3},
		"full after a wait": {code: chivegauge.CodeBusy, since: 200 * time.Millisecond, sends: 1},
		"leaving":           {code: chivegauge.CodeDraining, since: 200 * time.Millisecond, sends: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(refused(chivegauge.Refuse(tt.code, "no")))
			r := request("/read/1", "k1")
			r.Arrived = r.Arrived.Add(-tt.since)
			a := w.forwarder(0).Handle(context.Background(), r)
			is.Equal(len(w.calls), tt.sends)
			is.Equal(a.Status, http.StatusServiceUnavailable)
		})
	}
}

// TestMarks states which calls of the backend server count as refused for want of room.
func TestMarks(t *testing.T) {
	busy := refused(chivegauge.Refuse(chivegauge.CodeBusy, "full"))
	ok := answered(http.StatusOK)
	tests := map[string]struct {
		answers []func() *carrier.Answer
		parent  chivegauge.Importance
		marks   []bool
	}{
		"answered":                  {answers: []func() *carrier.Answer{ok}, parent: 1, marks: []bool{false}},
		"answered elsewhere":        {answers: []func() *carrier.Answer{busy, ok}, parent: 1, marks: []bool{false}},
		"refused everywhere":        {answers: []func() *carrier.Answer{busy}, parent: 1, marks: []bool{true}},
		"refused by backend server": {answers: []func() *carrier.Answer{refused(chivegauge.Refuse(chivegauge.CodeBusy, "said not run").WithArrived())}, parent: 1, marks: []bool{false}},
		"not a call":                {answers: []func() *carrier.Answer{busy}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(tt.answers...)
			w.parent = tt.parent
			w.forwarder(0).Handle(context.Background(), request("/open/1", ""))
			is.Equal(w.marks, tt.marks)
		})
	}
}

// TestImportanceOfCalls states that a call is as important as the request that made it, if that is known and higher.
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
			w := newWorld(answered(http.StatusOK))
			w.parent = tt.parent
			w.forwarder(0).Handle(context.Background(), request("/open/1", tt.key))
			is.Equal(w.calls[0].Importance, tt.want)
		})
	}
}

// TestCall states what a request becomes.
func TestCall(t *testing.T) {
	is := is.New(t)
	w := newWorld(answered(http.StatusOK))
	r := request("/read/1", "k1")
	r.Header.Set(chivegauge.HeaderBudgetMs, "1200")
	w.forwarder(0).Handle(context.Background(), r)
	c := w.calls[0]
	is.Equal(c.Workspace, "golf")
	is.Equal(c.Importance, chivegauge.Critical) // the workspace's goes before the route's
	is.Equal(c.Caller, "entry")
	is.True(c.Deadline.Sub(r.Arrived) == 1200*time.Millisecond) // the caller's is below the route's
}
