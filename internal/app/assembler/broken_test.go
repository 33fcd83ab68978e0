package assembler_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// framedBody is a response body and its framing.
type framedBody struct {
	head string
	sent string // the body as it is sent
	body string
}

// longBody is longer than what a node reads into memory before it passes a response on.
var longBody = strings.Repeat("0123456789abcdef", 12<<10)

// framedBodies are the responses of the backend server by their framing.
var framedBodies = map[string]framedBody{
	"length":       {head: "Content-Length: 5\r\n", sent: "whole", body: "whole"},
	"chunked":      {head: "Transfer-Encoding: chunked\r\n", sent: "5\r\nwhole\r\n0\r\n\r\n", body: "whole"},
	"close":        {head: "Connection: close\r\n", sent: "whole", body: "whole"},
	"long-length":  {head: fmt.Sprintf("Content-Length: %d\r\n", len(longBody)), sent: longBody, body: longBody},
	"long-chunked": {head: "Transfer-Encoding: chunked\r\n", sent: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(longBody), longBody), body: longBody},
}

func (f framedBody) response(id string) string {
	return "HTTP/1.1 200 OK\r\n" + headerNames().Attempt + ": " + id + "\r\n" + f.head + "\r\n" + f.sent
}

// cuts returns the numbers of bytes after which a response of that framing breaks off: all within a short one, some
// within a long one.
func (f framedBody) cuts() []int {
	whole := len(f.response("1"))
	if len(f.sent) < 100 {
		cuts := []int{}
		for n := range whole - 1 {
			cuts = append(cuts, n+1)
		}
		return cuts
	}
	head := whole - len(f.sent)
	return []int{1, head - 2, head, head + 1, head + 64<<10 - 1, head + 64<<10, head + 64<<10 + 1, whole - 5, whole - 1}
}

// serveBroken starts a backend server whose response to /read/FRAMING/MISSING/END breaks off before its last MISSING
// bytes, by a reset if END is "reset"; one to /read/FRAMING/whole/... is whole.
func serveBroken(t *testing.T, group *errgroup.Group) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	group.Go(func() error {
		for {
			nc, err := l.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer func() { _ = nc.Close() }()
				br := bufio.NewReader(nc)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return nil
					}
					parts := strings.Split(r.URL.Path, "/")
					if len(parts) < 5 { // a message between nodes
						return nil
					}
					text := framedBodies[parts[2]].response(r.Header.Get(headerNames().Attempt))
					missing, err := strconv.Atoi(parts[3])
					if err != nil {
						_, _ = io.WriteString(nc, text)
						if parts[2] == "close" {
							return nil
						}
						continue
					}
					_, _ = io.WriteString(nc, text[:len(text)-missing])
					if parts[4] == "reset" {
						time.Sleep(time.Millisecond) // until the bytes were read
						_ = nc.(*net.TCPConn).SetLinger(0)
					}
					return nil
				}
			})
		}
	})
	return l.Addr().String()
}

// TestBrokenResponsesAreNotWhole checks that a caller gets no response of status 200 that it takes for whole if the
// backend server, or the node beside it, breaks off within it. A body that ends with its connection has no other end.
func TestBrokenResponsesAreNotWhole(t *testing.T) {
	tests := map[string]struct {
		atHop bool // the node beside the backend server breaks off
	}{
		"backend server":                 {},
		"node beside the backend server": {atHop: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			group := &errgroup.Group{}
			s := &store{
				records: map[string]registrar.Record{},
			}
			address := serveBroken(t, group)
			n := newTestNodeBeside(t, s, group, address)
			defer n.stop()
			if tt.atHop {
				n.MarkLeaving(t.Context(), "i-"+n.callers, 1)
				announce(t, n.address, registrar.Record{
					Member: chivegauge.Member{
						Address:     address,
						Service:     "booking",
						Incarnation: 1,
					},
					Change:   1,
					Instance: "i-1",
					Slots:    8,
				})
			}
			for framing, f := range framedBodies {
				for _, end := range []string{"close", "reset"} {
					for _, cut := range f.cuts() {
						n.checkBroken(t, framing, cut, end)
					}
				}
			}
		})
	}
}

// checkBroken sends a request whose response is whole and one whose response breaks off.
func (n *testNode) checkBroken(t *testing.T, framing string, cut int, end string) {
	f := framedBodies[framing]
	status, body, err := n.read(t, fmt.Sprintf("/read/%s/whole/%s/%d", framing, end, cut))
	if err != nil || status != http.StatusOK || body != f.body {
		t.Errorf("%s before %d by %s: status %d with a body of %d bytes (%.300s), error %v", framing, cut, end, status, len(body), body, err)
	}
	whole := len(f.response("1"))
	status, body, err = n.read(t, fmt.Sprintf("/read/%s/%d/%s", framing, whole-cut, end))
	inBody := framing == "close" && end == "close" && cut >= whole-len(f.sent)
	if err == nil && status == http.StatusOK && !inBody {
		t.Errorf("%s cut after %d bytes by %s: status 200 with a body of %d bytes, taken for whole", framing, cut, end, len(body))
	}
}

// read sends a request and returns the status and the body of the response, or the error that ended it.
func (n *testNode) read(t *testing.T, path string) (int, string, error) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+n.callers+path, http.NoBody)
	is.New(t).NoErr(err)
	req.Host = "a.example"
	req.Header.Set(headerNames().Attempt, "1")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}
