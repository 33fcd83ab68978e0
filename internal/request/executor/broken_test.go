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

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/executor"
	"github.com/matryer/is"
)

// TestResponseThatBreaksOffIsNotWhole checks that no part of a response is taken for a whole one, on a first and on a kept
// connection; a body that ends with its connection has no other end.
func TestResponseThatBreaksOffIsNotWhole(t *testing.T) {
	tests := map[string]string{
		"with a length":      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"chunked":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"ended by the close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole",
	}
	for name, whole := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			head := strings.Index(whole, "\r\n\r\n") + 4
			for cut := range len(whole) {
				for _, kept := range []bool{false, true} {
					for _, reset := range []bool{false, true} {
						if name == "ended by the close" && cut >= head && !reset {
							continue
						}
						response, refusal := sendBroken(t, whole[:cut], kept, reset)
						if refusal == nil {
							t.Errorf("%q is taken for a response with body %q", whole[:cut], response.Body)
							continue
						}
						is.Equal(refusal.Run, chivegauge.MayHaveRun)
					}
				}
			}
			response, refusal := sendBroken(t, whole, false, false)
			is.Equal(refusal, nil)
			is.Equal(string(response.Body), "whole")
		})
	}
}

// readRequest reads a request with its body, and reports whether there was one: closing a connection with unread bytes
// resets it.
func readRequest(br *bufio.Reader) bool {
	r, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err == nil
}

// sendBroken sends a call to a backend server that responds with the text and breaks off, after a whole response on the
// same connection if it is kept.
func sendBroken(t *testing.T, text string, kept, reset bool) (chivegauge.Response, *chivegauge.Refusal) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	group := sync.WaitGroup{}
	group.Go(func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		br := bufio.NewReader(nc)
		if kept {
			if !readRequest(br) {
				return
			}
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
		}
		if !readRequest(br) {
			return
		}
		_, _ = io.WriteString(nc, text)
		if reset {
			_ = nc.(*net.TCPConn).SetLinger(0)
		}
	})
	defer group.Wait()
	defer func() { _ = l.Close() }()
	b := executor.NewBackend("http://"+l.Addr().String(), time.Now, 1, 1000)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c := call(1)
	c.Method = http.MethodGet
	c.Target = "/"
	if kept {
		_, refusal := b.Send(ctx, c, "first")
		is.Equal(refusal, nil)
	}
	return b.Send(ctx, c, "second")
}
