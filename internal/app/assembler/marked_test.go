package assembler_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/chivegauge/chivegauge/internal/stream/transporter"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// messageMarks are the headers that mark messages between nodes.
var messageMarks = []string{
	chivegauge.HeaderPrefix + "Record",
	chivegauge.HeaderPrefix + "Draw",
	chivegauge.HeaderPrefix + "Prove",
	chivegauge.HeaderPrefix + "Blame",
}

// exchange sends a request to the address, and returns the status and the body of its response.
func exchange(t *testing.T, address, method, path string, header http.Header, body string) (int, string) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	is.NoErr(err)
	req.Host = "a.example"
	req.Header = header
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	is.NoErr(err)
	return res.StatusCode, string(b)
}

// TestCallerHeadersAreNoMessages guards against a caller that sends messages to the nodes: the headers that mark them
// are not forwarded from the listener for callers.
func TestCallerHeadersAreNoMessages(t *testing.T) {
	is := is.New(t)
	group := &errgroup.Group{}
	n := newTestNode(t, newStore(), group)
	defer n.stop()
	heads := make(chan http.Header, 100)
	peer := serveRequests(t, group, func(r *http.Request, nc net.Conn) {
		if strings.HasPrefix(r.RequestURI, "/fragile/") {
			heads <- r.Header
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		}
	})
	announce(t, n.address, registrar.Record{
		Member: chivegauge.Member{
			Address:     peer,
			Service:     "fragile",
			Incarnation: chivegauge.FirstIncarnation(1),
		},
		Change:      1,
		Instance:    "i-1",
		StartedAtMs: 1,
		Slots:       8,
	})
	for _, mark := range messageMarks {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			status, _ := exchange(t, n.callers, method, "/fragile/x", http.Header{
				headerNames().Attempt:    {"1"},
				mark:                     {"1"},
				strings.ToUpper(mark):    {"2"},
				"Chivegauge-Budget-Ms":   {"100000"},
				"X-Shop-Draw":            {"kept"},
				"Chivegauge-Unknown-Yet": {"1"},
			}, "")
			is.Equal(status, http.StatusOK)
			h := <-heads
			is.Equal(h.Get(mark), "")
			is.Equal(h.Get("Chivegauge-Unknown-Yet"), "")
			is.True(h.Get("Chivegauge-Budget-Ms") != "100000")
			is.Equal(h.Get("X-Shop-Draw"), "kept")
		}
	}
}

// TestForwardedRequestsAreNoMessages guards against nodes that take a forwarded request for a message: a node of an
// earlier version forwards the headers that mark messages.
func TestForwardedRequestsAreNoMessages(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t, newStore(), &errgroup.Group{})
	defer n.stop()
	for _, mark := range messageMarks {
		for _, body := range []string{"", "{}"} {
			status, got := exchange(t, n.address, http.MethodPost, "/read/x", http.Header{
				headerNames().Attempt:    {"1"},
				mark:                     {"1"},
				"Chivegauge-Budget-Ms":   {"5000"},
				"Chivegauge-Service":     {"booking"},
				"Chivegauge-Route":       {"read"},
				"Chivegauge-Importance":  {"Normal"},
				"Chivegauge-Idempotent":  {"true"},
				"Chivegauge-Workspace":   {"golf"},
				"Chivegauge-Caller":      {"entry"},
				"Chivegauge-Unknown-Yet": {"1"},
			}, body)
			is.Equal(status, http.StatusOK)
			is.Equal(got, "whole")
		}
	}
}

// TestInvalidMessages guards against a message that ends the process of the node: one without a body, or with a body
// that isn't its encoding, is refused.
func TestInvalidMessages(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t, newStore(), &errgroup.Group{})
	defer n.stop()
	for _, mark := range messageMarks {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			for _, body := range []string{"", "null x", "[]", "{", "\x00"} {
				status, _ := exchange(t, n.address, method, "/", http.Header{
					mark: {"1"},
				}, body)
				is.True(status >= http.StatusBadRequest)
			}
		}
	}
	status, got := exchange(t, n.callers, http.MethodGet, "/read/x", http.Header{
		headerNames().Attempt: {"1"},
	}, "")
	is.Equal(status, http.StatusOK)
	is.Equal(got, "whole")
}

// noWitness ignores interrupted requests.
type noWitness struct{}

func (noWitness) RecordInterrupted(time.Time, string, uint64)          {}
func (noWitness) RecordAbandoned(time.Time, time.Time, string, uint64) {}
func (noWitness) RecordResponse(time.Time, string)                     {}

// TestBackendHeadersAreNotTheNodes guards against a backend server that speaks for the node beside it: that a request did
// not run, or what load the node has.
func TestBackendHeadersAreNotTheNodes(t *testing.T) {
	tests := map[string]struct {
		status int
		fields string
	}{
		"refusal as not run":         {status: http.StatusOK, fields: "Chivegauge-Code: Busy\r\nChivegauge-Run: NotRun\r\n"},
		"refusal of an error":        {status: http.StatusInternalServerError, fields: "Chivegauge-Code: Busy\r\nChivegauge-Run: NotRun\r\n"},
		"refusal with a retry delay": {status: http.StatusOK, fields: "Chivegauge-Code: RateExceeded\r\nChivegauge-Run: NotRun\r\nRetry-After: 5\r\n"},
		"load of a node":             {status: http.StatusOK, fields: "Chivegauge-Running: 900\r\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			group := &errgroup.Group{}
			n := newTestNodeBeside(t, newStore(), group, serveText(t, group, tt.status, tt.fields))
			defer n.stop()
			response, load := sendToPeer(t, n)
			defer response.Release()
			is.Equal(response.Refusal, nil)
			is.Equal(response.Status, tt.status)
			is.True(load.Running <= 1)
			is.True(load.Limit > 0)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), "ran")
			status, got := exchange(t, n.callers, http.MethodGet, "/read/x", http.Header{
				headerNames().Attempt: {"2"},
			}, "")
			is.Equal(status, tt.status)
			is.Equal(got, "ran")
		})
	}
}

// serveRequests passes the first request of each connection to serve, closes the connection after it, and returns the
// address.
func serveRequests(t *testing.T, group *errgroup.Group, serve func(r *http.Request, nc net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	group.Go(func() error {
		for {
			nc, err := l.Accept()
			if err != nil {
				return nil
			}
			if r, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
				serve(r, nc)
			}
			_ = nc.Close()
		}
	})
	return l.Addr().String()
}

// serveText starts a backend server that answers each request with the status, the header fields and the body "ran".
func serveText(t *testing.T, group *errgroup.Group, status int, fields string) string {
	return serveRequests(t, group, func(r *http.Request, nc net.Conn) {
		_, _ = io.WriteString(nc, "HTTP/1.1 "+strconv.Itoa(status)+" Text\r\nAttempt-Id: "+r.Header.Get(headerNames().Attempt)+"\r\n"+fields+"Content-Length: 3\r\n\r\nran")
	})
}

// sendToPeer sends a request to the node as another node would.
func sendToPeer(t *testing.T, n *testNode) (*streamer.Response, picker.Load) {
	sender := transporter.New(transporter.Config{
		DialTimeout:     time.Second,
		AttemptHeader:   headerNames().Attempt,
		BodyBufferBytes: 64 << 10,
	}, noWitness{})
	return sender.Send(t.Context(), chivegauge.Member{
		Address: n.address,
	}, chivegauge.Call{
		RequestID:  "1",
		Service:    "booking",
		Importance: chivegauge.Normal,
		Deadline:   time.Now().Add(5 * time.Second),
	}, &streamer.Request{
		Method: http.MethodGet,
		Target: "/read/x",
		Host:   "a.example",
		Header: http.Header{
			headerNames().Attempt: {"1"},
		},
	})
}
