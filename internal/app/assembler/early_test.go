package assembler_test

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"path"
	"strings"
	"testing"

	"github.com/chivegauge/chivegauge/internal/standin/rawserver"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// startRaw starts a backend server that sends the response with the name that is the last element of the path, and
// returns its address.
func startRaw(t *testing.T, group *errgroup.Group, responses map[string]rawserver.Response) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	group.Go(func() error {
		rawserver.Serve(l, func(r *http.Request) rawserver.Response {
			return responses[path.Base(r.URL.Path)].WithFields(headerNames().Attempt + ": " + r.Header.Get(headerNames().Attempt) + "\r\n")
		})
		return nil
	})
	return l.Addr().String()
}

// forEachResponse calls check for each response and each way to the backend server that sends it, beside the node and
// over a hop, with a function that sends a request and returns the status and the body that its caller gets.
func forEachResponse(t *testing.T, responses map[string]rawserver.Response, check func(t *testing.T, res rawserver.Response, send func(body string) (int, string, error))) {
	group := &errgroup.Group{}
	s := newStore()
	responses["ready"] = rawserver.Response{Text: "HTTP/1.1 200 OK\r\n@Content-Length: 0\r\n\r\n"}
	entry := newTestNodeBeside(t, s, group, startRaw(t, group, responses))
	defer entry.stop()
	defer newTestNodeOf(t, s, group, "fragile", startRaw(t, group, responses)).stop()
	for _, way := range []string{"/read/", "/fragile/"} {
		send := func(name, body string) (int, string, error) {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+entry.callers+way+url.PathEscape(name), strings.NewReader(body))
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
		await(t, func() bool { // the nodes may not know each other yet
			status, _, _ := send("ready", "")
			return status == http.StatusOK
		})
		for name, res := range responses {
			t.Run(way+name, func(t *testing.T) {
				check(t, res, func(body string) (int, string, error) { return send(name, body) })
			})
		}
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
