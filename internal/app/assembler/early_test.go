package assembler_test

import (
	"io"
	"net/http"
	"net/url"
	"path"
	"strings"
	"testing"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
	"github.com/chivegauge/chivegauge/internal/standin/rawserver"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// startRaw starts a server that sends the response with the name that is the last element of the path, and returns its
// address.
func startRaw(t *testing.T, responses map[string]rawserver.Response) string {
	s, err := rawserver.Start(func(r *http.Request) rawserver.Response {
		name, err := url.PathUnescape(path.Base(r.URL.EscapedPath()))
		res, ok := responses[name]
		if err != nil || !ok { // a message between nodes
			res.End = rawserver.Reset
		}
		return res.WithFields(headerNames().Attempt + ": " + r.Header.Get(headerNames().Attempt) + "\r\n")
	})
	is.New(t).NoErr(err)
	t.Cleanup(s.Close)
	return s.Address
}

// sender sends a request with the body for the response with the name, and returns the status and the body that its caller
// gets.
type sender func(name, body string) (int, string, error)

// forEachResponse calls check for each response by the ways on which it reaches a caller: from the backend server beside
// the node, from one over a hop, and from another node, which sends it itself.
func forEachResponse(t *testing.T, responses map[string]rawserver.Response, check func(t *testing.T, res rawserver.Response, send func(body string) (int, string, error))) {
	responses["ready"] = rawserver.Response{Text: "HTTP/1.1 200 OK\r\n@Content-Length: 0\r\n\r\n"}
	group := &errgroup.Group{}
	s := newStore()
	entry := newTestNodeBeside(t, s, group, startRaw(t, responses))
	defer entry.stop()
	defer newTestNodeOf(t, s, group, "fragile", startRaw(t, responses)).stop()
	leaving := newTestNodeBeside(t, newStore(), group, startRaw(t, responses))
	defer leaving.stop()
	leaving.MarkLeaving(t.Context(), "i-"+leaving.callers, 1)
	announce(t, leaving.address, registrar.Record{
		Member: chivegauge.Member{
			Address:     startRaw(t, responses),
			Service:     "booking",
			Incarnation: 1,
		},
		Change:   1,
		Instance: "i-1",
		Slots:    8,
	})
	for way, send := range map[string]sender{
		"beside":     entry.sender(t, "/read/"),
		"over a hop": entry.sender(t, "/fragile/"),
		"of a node":  leaving.sender(t, "/read/"),
	} {
		await(t, func() bool { // the nodes may not know each other yet
			status, _, _ := send("ready", "")
			return status == http.StatusOK
		})
		for name, res := range responses {
			t.Run(way+"/"+name, func(t *testing.T) {
				check(t, res, func(body string) (int, string, error) { return send(name, body) })
			})
		}
	}
}

// sender returns a function that sends requests to the node.
func (n *testNode) sender(t *testing.T, prefix string) sender {
	return func(name, body string) (int, string, error) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+n.callers+prefix+url.PathEscape(name), strings.NewReader(body))
		is.New(t).NoErr(err)
		req.Host = "a.example"
		req.Header.Set(headerNames().Attempt, "1")
		req.Close = true
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, "", err
		}
		defer func() { _ = res.Body.Close() }()
		got, err := io.ReadAll(res.Body)
		return res.StatusCode, string(got), err
	}
}

// checkResponse checks that the caller got the response whole, or, of a broken one, a status which says that the request
// may have run, or a connection that broke off.
func checkResponse(t *testing.T, res rawserver.Response, status int, body string, err error) {
	t.Helper()
	if !res.Broken {
		is.New(t).NoErr(err)
		is.New(t).Equal(body, res.Body)
		return
	}
	if err == nil && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
		t.Fatalf("the caller got status %d with body %q", status, body)
	}
}

// TestEarlyResponseReachesCallerWhole guards against a part of a response that a caller takes for a whole one because the
// backend server resets its connection while the request is still written; each case is a race, so it is repeated.
func TestEarlyResponseReachesCallerWhole(t *testing.T) {
	const (
		repetitions = 5
		uploadBytes = 16 << 20 // more than the sockets on the way hold
	)
	upload := strings.Repeat("x", uploadBytes)
	forEachResponse(t, rawserver.EarlyResponses(), func(t *testing.T, res rawserver.Response, send func(body string) (int, string, error)) {
		for range repetitions {
			status, body, err := send(upload)
			checkResponse(t, res, status, body, err)
		}
	})
}
