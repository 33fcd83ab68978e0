package faultinjector_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/planner"
	"github.com/chivegauge/chivegauge/internal/measure/launcher"
	"github.com/matryer/is"
)

func withdraw(workspace, id string) planner.Intent {
	return launcher.WithdrawKey(workspace, id)
}

// waitActive waits until at least the given revision is active on each node, and fails the test after 10 s.
func (x *fixture) waitActive(revision uint64) {
	x.t.Helper()
	for range 200 {
		lowest := revision
		for _, s := range x.Instances {
			r, err := x.Metric(s, "chivegauge_configuration_revision")
			x.is.NoErr(err)
			lowest = min(lowest, uint64(r))
		}
		if lowest >= revision {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	x.t.Errorf("revision %d is not active on each node", revision)
}

// send sends one request with a body to an instance and returns the code and the run state of the response, its
// status if it has no code, or the error.
func (x *fixture) send(s *launcher.Instance, path, body string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Caller+path, strings.NewReader(body))
	x.is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+launcher.Key("golf1"))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	if code := res.Header.Get(chivegauge.HeaderCode); code != "" {
		return code + " " + res.Header.Get(chivegauge.HeaderRun)
	}
	return res.Status
}

// TestOperatorsRace confirms two plans with the same base revision; the second must be refused as stale, with a
// message that names the changes made since, and confirming the first again must not apply it again.
func TestOperatorsRace(t *testing.T) {
	x := start(t, layout{booking: 2})
	first, err := x.Plan(x.Instances[0], launcher.GiveKey("golf", "golf2"))
	x.is.NoErr(err)
	second, err := x.Plan(x.Instances[1], launcher.SetWorkspace("golf", 10, 10))
	x.is.NoErr(err)
	revision, err := x.Confirm(x.Instances[0], first, "ada")
	x.is.NoErr(err)
	_, err = x.Confirm(x.Instances[1], second, "bea")
	x.is.True(err != nil)
	x.is.True(strings.Contains(err.Error(), "PlanStale"))
	x.is.True(strings.Contains(err.Error(), "by ada: give key golf2"))
	again, err := x.Confirm(x.Instances[1], first, "ada")
	x.is.NoErr(err)
	x.is.Equal(revision, again) // a plan that is confirmed again is applied once
}

// TestStoreLosesAnswers confirms a plan while the store applies writes but loses the responses; the plan must be
// applied once and its confirmation must succeed.
func TestStoreLosesAnswers(t *testing.T) {
	x := start(t, layout{booking: 2})
	plan, err := x.Plan(x.Instances[0], launcher.GiveKey("golf", "golf2"))
	x.is.NoErr(err)
	x.is.NoErr(x.SetFault(map[string]any{"LoseAnswers": true}))
	revision, err := x.Confirm(x.Instances[0], plan, "ada")
	x.is.NoErr(err)
	x.is.Equal(revision, plan.BaseRevision+1)
	x.is.NoErr(x.SetFault(map[string]any{}))
	x.waitActive(revision)
	again, err := x.Confirm(x.Instances[1], plan, "ada")
	x.is.NoErr(err)
	x.is.Equal(revision, again)
}

// TestBootWithoutStore restarts a node while the store is down; it must become ready and serve requests with the state
// that it gets from its peers.
func TestBootWithoutStore(t *testing.T) {
	x := start(t, layout{booking: 3})
	x.is.NoErr(x.SetFault(map[string]any{"Down": true}))
	s := x.Instances[2]
	s.Node.Kill()
	time.Sleep(500 * time.Millisecond)
	x.is.NoErr(x.StartNode(s))
	x.is.NoErr(x.WaitReady(len(x.Instances)))
	list := x.load(2*time.Second, time.Second, nil, x.stream("/lookups", 40, s))
	x.checkAllComplete(list)
}

// TestWithdrawnKey withdraws a key while requests run on open connections; requests sent more than 3 s
// after the withdrawal must be refused as not run.
func TestWithdrawnKey(t *testing.T) {
	x := start(t, layout{booking: 2})
	withdrawKey := func() { x.is.NoErr(x.Apply(x.Instances[1], withdraw("golf", "golf1"))) }
	list := x.load(5*time.Second, time.Second, []func(){withdrawKey}, x.stream("/deposits", 60))
	t.Logf("%v", tally(list))
	for _, o := range list {
		late := o.Intended > 4*time.Second
		if late && (o.Code != string(chivegauge.CodeKeyUnknown) || o.Run != string(chivegauge.NotRun)) {
			t.Errorf("request %s at %s: %s %s", o.ID, o.Intended, o.Code, o.Run)
		}
	}
	x.checkNotRun(list)
}

// TestUnreadableDocument writes a malformed configuration to the store; the last valid one must stay active, and the
// next change must replace the malformed one with a warning to the operator.
func TestUnreadableDocument(t *testing.T) {
	x := start(t, layout{
		booking: 2,
	})
	res, err := http.Get(x.StoreURL + "/objects/configuration")
	x.is.NoErr(err)
	x.is.NoErr(res.Body.Close())
	req, err := http.NewRequest(http.MethodPut, x.StoreURL+"/objects/configuration", strings.NewReader(`{"Revision": 99, "Routes": [{}]`))
	x.is.NoErr(err)
	req.Header.Set("If-Match", res.Header.Get("Version"))
	res, err = http.DefaultClient.Do(req)
	x.is.NoErr(err)
	x.is.NoErr(res.Body.Close())
	x.is.Equal(res.StatusCode, http.StatusOK)
	x.checkAllComplete(x.load(2*time.Second, time.Second, nil, x.stream("/deposits", 40)))
	plan, err := x.Plan(x.Instances[0], launcher.GiveKey("golf", "golf2"))
	x.is.NoErr(err)
	x.is.Equal(len(plan.Warnings), 1) // the plan warns that the stored configuration is replaced
	revision, err := x.Confirm(x.Instances[0], plan, "ada")
	x.is.NoErr(err)
	x.waitActive(revision)
}

// TestBadInput checks the refusals of malformed or unauthorized requests, and that forged headers are ignored.
func TestBadInput(t *testing.T) {
	x := start(t, layout{
		booking: 2,
	})
	authorized := map[string]string{
		"Authorization": "Bearer " + launcher.Key("golf1"),
	}
	cases := map[string]struct {
		path   string
		body   string
		header map[string]string
		status int
		code   chivegauge.Code
	}{
		"unknown route":  {"/nothing", "", authorized, http.StatusNotFound, chivegauge.CodeRouteUnknown},
		"no key":         {"/deposits", "", nil, http.StatusUnauthorized, chivegauge.CodeKeyMissing},
		"wrong key":      {"/deposits", "", map[string]string{"Authorization": "Bearer cg_golf1_wrong"}, http.StatusUnauthorized, chivegauge.CodeKeyUnknown},
		"not a key":      {"/deposits", "", map[string]string{"Authorization": "Basic eDp5"}, http.StatusUnauthorized, chivegauge.CodeKeyMissing},
		"too large":      {"/deposits", strings.Repeat("x", 9<<20), authorized, http.StatusRequestEntityTooLarge, chivegauge.CodeTooLarge},
		"forged headers": {"/deposits", "", map[string]string{"Authorization": authorized["Authorization"], "Chivegauge-Workspace": "estate", "Chivegauge-Tokens": "99"}, http.StatusOK, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(http.MethodPost, "http://"+x.Instances[0].Caller+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			for k, v := range c.header {
				req.Header.Set(k, v)
			}
			res, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer res.Body.Close()
			body, err := io.ReadAll(res.Body)
			is.NoErr(err)
			is.Equal(res.StatusCode, c.status)
			is.Equal(res.Header.Get(chivegauge.HeaderCode), string(c.code))
			if c.code != "" {
				is.Equal(res.Header.Get(chivegauge.HeaderRun), string(chivegauge.NotRun))
				return
			}
			is.True(strings.Contains(string(body), "golf")) // the workspace is that of the key, whatever the headers are
		})
	}
}
