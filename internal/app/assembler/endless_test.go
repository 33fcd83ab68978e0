package assembler_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestEndlessBodyIsNotKept guards against a backend server that fills the memory of the node with a body without end: the
// node takes no more than its caller reads, beside the caller and over a hop.
func TestEndlessBodyIsNotKept(t *testing.T) {
	const (
		keptMax = 40 << 20 // the buffers of the sockets on the way hold some MB
		sentMax = 200 << 20
	)
	tests := map[string]string{
		"ended by the close": "\r\n",
		"chunked":            "Transfer-Encoding: chunked\r\n\r\n40000000\r\n",
		"with a length":      "Content-Length: 1073741824\r\n\r\n",
	}
	for name, framing := range tests {
		for _, service := range []string{"booking", "fragile"} {
			t.Run(name+", "+service, func(t *testing.T) {
				is := is.New(t)
				sent := atomic.Int64{}
				group := &errgroup.Group{}
				backend := serveRequests(t, group, func(r *http.Request, nc net.Conn) {
					_, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nAttempt-Id: "+r.Header.Get(headerNames().Attempt)+"\r\n"+framing)
					fill := strings.Repeat("x", 1<<16)
					for err == nil && sent.Load() < sentMax {
						n := 0
						n, err = io.WriteString(nc, fill)
						sent.Add(int64(n))
					}
				})
				s := newStore()
				path := "/read/x"
				entry := newTestNodeBeside(t, s, group, backend)
				if service == "fragile" {
					path = "/fragile/x"
					defer newTestNodeOf(t, s, group, service, backend).stop()
				}
				defer entry.stop()
				await(t, func() bool { // the nodes may not know each other yet
					nc, err := net.Dial("tcp", entry.callers)
					is.NoErr(err)
					t.Cleanup(func() { _ = nc.Close() })
					_, err = io.WriteString(nc, "GET "+path+" HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\n\r\n")
					is.NoErr(err)
					line, err := bufio.NewReader(nc).ReadString('\n')
					return err == nil && strings.HasPrefix(line, "HTTP/1.1 200 ")
				})
				for last := int64(-1); sent.Load() != last; time.Sleep(200 * time.Millisecond) { // until nothing moves any more
					last = sent.Load()
				}
				is.True(sent.Load() < keptMax)
			})
		}
	}
}
