package assembler_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestCallerCannotRemoveFields guards against a Connection header of a caller that removes the fields which the node sets
// for the backend server, beside the node where the request begins and over a hop.
func TestCallerCannotRemoveFields(t *testing.T) {
	names := headerNames()
	tests := map[string]struct {
		connection []string
		kept       bool // the caller's own field
	}{
		"none":               {kept: true},
		"set by the node":    {connection: []string{names.Workspace + ", " + names.Caller + "," + names.Expected + " ," + names.BudgetMs}, kept: true},
		"in several fields":  {connection: []string{"keep-alive", names.Caller, names.Expected}, kept: true},
		"other case":         {connection: []string{"CHIVEGAUGE-CALLER, chivegauge-expected-instance"}, kept: true},
		"the attempt":        {connection: []string{names.Attempt}, kept: true},
		"the key":            {connection: []string{"Authorization"}, kept: true},
		"between nodes":      {connection: []string{"Chivegauge-Budget-Ms, Chivegauge-Service, Chivegauge-Importance, Chivegauge-Route"}, kept: true},
		"a field of its own": {connection: []string{"X-Own, close"}},
		"its framing":        {connection: []string{"Content-Length, Transfer-Encoding, Host, Connection"}, kept: true},
	}
	s := newStore()
	group := &errgroup.Group{}
	nodes := map[string]*recordingNode{
		"/read/x":    newRecordingNode(t, s, group, "booking"),
		"/fragile/x": newRecordingNode(t, s, group, "fragile"),
	}
	entry := nodes["/read/x"]
	for path, n := range nodes {
		defer n.stop()
		await(t, func() bool {
			status, _ := exchange(t, entry.callers, http.MethodPost, path, http.Header{
				names.Attempt: {"1"},
			}, "body")
			return status == http.StatusOK
		})
		for len(n.heads) > 0 {
			<-n.heads
		}
	}
	for name, tt := range tests {
		for path, n := range nodes {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				status, _ := exchange(t, entry.callers, http.MethodPost, path, http.Header{
					names.Attempt:   {"1"},
					"Authorization": {"Bearer key-golf"},
					"Connection":    tt.connection,
					"X-Own":         {"1"},
				}, "body")
				is.Equal(status, http.StatusOK)
				h := <-n.heads
				is.Equal(h.Get(names.Attempt), "1")
				is.Equal(h.Get(names.Workspace), "golf")
				is.Equal(h.Get(names.Caller), "booking")
				is.Equal(h.Get(names.Expected), "i-"+n.callers)
				is.True(h.Get(names.BudgetMs) != "")
				is.Equal(h.Get("Authorization"), "")
				is.Equal(h.Get("Content-Length"), "4")
				is.Equal(h.Get("X-Own") != "", tt.kept)
			})
		}
	}
}

// recordingNode is a node beside a backend server that records the headers of requests.
type recordingNode struct {
	*testNode
	server *http.Server
	heads  chan http.Header
}

func newRecordingNode(t *testing.T, s *store, group *errgroup.Group, service string) *recordingNode {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	heads := make(chan http.Header, 100)
	server := &http.Server{
		ReadHeaderTimeout: testTimeout,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
			select {
			case heads <- r.Header:
			default:
			}
			w.Header().Set(headerNames().Attempt, r.Header.Get(headerNames().Attempt))
		}),
	}
	group.Go(func() error {
		_ = server.Serve(l)
		return nil
	})
	t.Cleanup(func() { _ = server.Close() })
	return &recordingNode{
		testNode: newTestNodeOf(t, s, group, service, l.Addr().String()),
		server:   server,
		heads:    heads,
	}
}

// TestBackendCannotRemoveFields guards against a Connection header of a backend server that removes what its callers and
// the nodes rely on: the attempt, the receipt, and the load of its node.
func TestBackendCannotRemoveFields(t *testing.T) {
	names := headerNames()
	tests := map[string]struct {
		connection string
		kept       bool // the backend server's own field
	}{
		"none":               {connection: "keep-alive", kept: true},
		"attempt, receipt":   {connection: "keep-alive, " + names.Attempt + ", " + names.Receipt, kept: true},
		"between nodes":      {connection: "Chivegauge-Running, chivegauge-code", kept: true},
		"a field of its own": {connection: "X-Own"},
		"its framing":        {connection: "Content-Length, Transfer-Encoding", kept: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			group := &errgroup.Group{}
			n := newTestNodeBeside(t, newStore(), group, serveText(t, group, http.StatusOK, names.Receipt+": proof\r\nX-Own: 1\r\nConnection: "+tt.connection+"\r\n"))
			defer n.stop()
			response, load := sendToPeer(t, n)
			defer response.Release()
			is.Equal(response.Refusal, nil)
			is.Equal(response.Header.Get(names.Receipt), "proof")
			is.Equal(response.Header.Get("X-Own") != "", tt.kept)
			is.True(load.Limit > 0)
			is.Equal(response.Length, int64(3))
		})
	}
}
