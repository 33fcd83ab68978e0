package assembler_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// dyingNode is a node of the service "fragile" that ends with each request, as if it were killed with its backend server.
type dyingNode struct {
	net.Listener
	requests chan struct{}
}

// brokeOff is the response of a node whose backend server broke off.
const brokeOff = "HTTP/1.1 502 Bad Gateway\r\nAttempt-Id: 1\r\nChivegauge-Code: OutcomeUnknown\r\nChivegauge-Run: MayHaveRun\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// newDyingNode starts a dying node that writes the response before it ends.
func newDyingNode(t *testing.T, group *errgroup.Group, response string) *dyingNode {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	d := &dyingNode{
		Listener: l,
		requests: make(chan struct{}, 100),
	}
	t.Cleanup(func() { _ = l.Close() })
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil && strings.HasPrefix(req.RequestURI, "/fragile/") {
				d.requests <- struct{}{}
				_, _ = io.WriteString(c, response)
			}
			_ = c.Close()
		}
	})
	return d
}

// announce tells the node at the address which process of the backend server runs beside the dying node.
func (d *dyingNode) announce(t *testing.T, address string, change uint64) {
	announce(t, address, registrar.Record{
		Member: chivegauge.Member{
			Address:     d.Addr().String(),
			Service:     "fragile",
			Incarnation: chivegauge.FirstIncarnation(int64(change)),
		},
		Change:      change,
		Instance:    fmt.Sprintf("i-%d", change),
		StartedAtMs: int64(change),
		Slots:       8,
	})
}

// announce sends the record of a node to the node at the address.
func announce(t *testing.T, address string, rec registrar.Record) {
	is := is.New(t)
	body, err := json.Marshal(rec)
	is.NoErr(err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", strings.NewReader(string(body)))
	is.NoErr(err)
	req.Header.Set(chivegauge.HeaderPrefix+"Record", "1")
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(res.StatusCode, http.StatusOK)
}

// TestCrashWithNodeIsCounted checks that crashes of a backend server are counted by the node that sent the request, if
// the node beside the backend server ends with it; a node that ends alone says nothing of the request.
func TestCrashWithNodeIsCounted(t *testing.T) {
	tests := map[string]struct {
		change   uint64 // of the process with each end of the node
		response string
		sent     int // of eight requests
	}{
		"with its backend server":      {change: 1, sent: 3},
		"without its backend server":   {sent: 8},
		"after its backend server":     {change: 1, response: brokeOff, sent: 3},
		"the backend server broke off": {response: brokeOff, sent: 8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &store{
				records: map[string]registrar.Record{},
			}
			group := &errgroup.Group{}
			n := newTestNode(t, s, group)
			defer n.stop()
			d := newDyingNode(t, group, tt.response)
			process := uint64(1)
			for range 8 {
				d.announce(t, n.address, process)
				n.get(t, "/fragile/x")
				process += tt.change
			}
			is.Equal(len(d.requests), tt.sent)
		})
	}
}

// get sends a request to the node, which may answer with any status.
func (n *testNode) get(t *testing.T, path string) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.callers+path, http.NoBody)
	is.New(t).NoErr(err)
	req.Host = "a.example"
	req.Header.Set(headerNames().Attempt, "1")
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	is.New(t).NoErr(err)
	is.New(t).NoErr(res.Body.Close())
}
