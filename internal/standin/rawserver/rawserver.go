package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// End is how the server ends a connection after a response.
type End int

// The ends of a connection.
const (
	// Keep waits for the next request.
	Keep End = iota
	// HalfClose sends no more, and reads what the client still sends.
	HalfClose
	// HalfCloseAndReset sends no more, and resets the connection at once.
	HalfCloseAndReset
	// Reset resets the connection.
	Reset
)

// connTimeout is the longest life of a connection.
const connTimeout = 10 * time.Second

// resetDelay is the time for which a client can read a response, and writes more of its request, before a reset.
const resetDelay = 2 * time.Millisecond

// Response is what the server sends for a request.
type Response struct {
	// Text holds the bytes, with "@" in place of the header fields that the client expects.
	Text string

	// Early says that the server doesn't wait for the end of the request.
	Early bool

	End End

	// Body is what a client returns as the body, unless the response is broken.
	Body   string
	Broken bool
}

// WithFields returns the response with the header fields that the client expects.
func (r Response) WithFields(fields string) Response {
	r.Text = strings.Replace(r.Text, "@", fields, 1)
	return r
}

// Serve accepts connections until the listener is closed, and then waits until the clients have closed theirs.
func Serve(l net.Listener, respond func(r *http.Request) Response) {
	group := sync.WaitGroup{}
	defer group.Wait()
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		group.Go(func() {
			defer func() { _ = nc.Close() }()
			_ = nc.SetDeadline(time.Now().Add(connTimeout))
			br := bufio.NewReader(nc)
			for serveRequest(nc.(*net.TCPConn), br, respond) {
			}
		})
	}
}

// serveRequest reads a request and responds, and reports whether the connection stays open.
func serveRequest(nc *net.TCPConn, br *bufio.Reader, respond func(r *http.Request) Response) bool {
	req, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	res := respond(req)
	if !res.Early {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	_, _ = io.WriteString(nc, res.Text)
	switch res.End {
	case HalfClose:
		_ = nc.CloseWrite()
		_, _ = io.Copy(io.Discard, br)
	case HalfCloseAndReset:
		_ = nc.CloseWrite()
		_ = nc.SetLinger(0)
	case Reset:
		time.Sleep(resetDelay)
		_ = nc.SetLinger(0)
	default:
		_, _ = io.Copy(io.Discard, req.Body)
		return true
	}
	return false
}
