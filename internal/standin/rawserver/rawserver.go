package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
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

// OK reports whether the response is one of status 200 with a body.
func (r Response) OK() bool {
	return strings.Contains(r.Text, " 200") && r.Body != ""
}

// WithFields returns the response with the header fields that the client expects.
func (r Response) WithFields(fields string) Response {
	r.Text = strings.Replace(r.Text, "@", fields, 1)
	return r
}

// WithBody returns the response with another body of five bytes.
func (r Response) WithBody(body string) Response {
	r.Text = strings.ReplaceAll(r.Text, "whole", body)
	if r.Body != "" {
		r.Body = body
	}
	return r
}

// Server is a running server.
type Server struct {
	// Address is the address of the server, as host:port.
	Address string

	listener net.Listener
	respond  func(r *http.Request) Response
	group    sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// Start starts a server on a free port of the loopback interface.
func Start(respond func(r *http.Request) Response) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{
		Address:  l.Addr().String(),
		listener: l,
		respond:  respond,
	}
	s.group.Go(s.accept)
	return s, nil
}

// Close closes the server with its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, nc := range s.conns {
		_ = nc.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}

func (s *Server) accept() {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, nc)
		s.mu.Unlock()
		s.group.Go(func() {
			defer func() { _ = nc.Close() }()
			_ = nc.SetDeadline(time.Now().Add(connTimeout))
			br := bufio.NewReader(nc)
			for serveRequest(nc.(*net.TCPConn), br, s.respond) {
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
