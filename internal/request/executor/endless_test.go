package executor_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge/internal/request/executor"
	"github.com/matryer/is"
)

// TestEndlessResponse guards against a backend server that fills the memory of the node: more than 64 KB of head, or than the
// limit of bodies, are not kept, whether the bytes end or not.
func TestEndlessResponse(t *testing.T) {
	const sentMax = 64 << 20 // well above what is read and what the sockets buffer
	tests := map[string]struct {
		head string
		fill string
		end  string // after 1 MB, empty for a response without end
	}{
		"header of 1 MB":  {head: "HTTP/1.1 200 OK\r\nX: ", fill: "xxxx", end: "\r\nContent-Length: 0\r\n\r\n"},
		"headers of 1 MB": {head: "HTTP/1.1 200 OK\r\n", fill: "X: y\r\n", end: "Content-Length: 0\r\n\r\n"},
		"interim answers": {fill: "HTTP/1.1 102 Processing\r\n\r\n", end: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		"body of 1 MB":    {head: "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n", fill: "xxxx", end: " "},
		"status line":     {head: "HTTP/1.1 200 ", fill: "x"},
		"header":          {head: "HTTP/1.1 200 OK\r\nX: ", fill: "x"},
		"headers":         {head: "HTTP/1.1 200 OK\r\n", fill: "X: y\r\n"},
		"body":            {head: "HTTP/1.1 200 OK\r\n\r\n", fill: "x"},
		"chunk extension": {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", fill: "x"},
		"trailers":        {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", fill: "X: y\r\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			group := sync.WaitGroup{}
			sent := 0
			group.Go(func() {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = nc.Close() }()
				if !readRequest(bufio.NewReader(nc)) {
					return
				}
				sent, err = io.WriteString(nc, tt.head)
				fill := strings.Repeat(tt.fill, 1<<20/len(tt.fill))
				for err == nil && sent < sentMax {
					n := 0
					n, err = io.WriteString(nc, fill)
					sent += n
					if tt.end != "" {
						_, _ = io.WriteString(nc, tt.end)
						return
					}
				}
			})
			b := executor.NewBackend("http://"+l.Addr().String(), time.Now, 1, 1000)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			c := call(1)
			c.Method = http.MethodGet
			c.Target = "/"
			_, refusal := b.Send(ctx, c, "token")
			is.NoErr(ctx.Err())
			is.True(refusal != nil)
			is.NoErr(l.Close())
			group.Wait()
			is.True(sent < sentMax)
		})
	}
}
