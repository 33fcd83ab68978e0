package acceptor

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/go-faster/errors"
)

// acceptRetryDelay is the pause after a failed accept, for example when the process is out of file descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// Handler handles requests.
type Handler interface {
	// Handle returns the response to the request; ctx is cancelled when the caller disconnects.
	Handle(ctx context.Context, r *streamer.Request) *streamer.Response
}

// Limits bound the requests that a connection accepts and the time it waits for them.
type Limits struct {
	// HeaderBytes is the maximum size of a request's head, the request line and the header, in bytes.
	HeaderBytes int

	// BodyBytes is the maximum size of a request body in bytes.
	BodyBytes int64

	// HeaderTimeout is the maximum time from the first byte of a request to the end of its head.
	HeaderTimeout time.Duration

	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration
}

// pipelineMax is the maximum number of requests of one connection that are handled concurrently.
const pipelineMax = 32

// Acceptor serves HTTP/1.1 connections.
type Acceptor interface {
	// Serve accepts connections from l until l is closed, and then returns nil; open connections continue to be served.
	Serve(ctx context.Context, l net.Listener) error
	// Drain makes the response to the last request in flight of each connection close it.
	Drain()
	// Finish does the same, and handles no request that has not been read yet.
	Finish()
	// CloseIdle closes the connections on which no request is being read or handled.
	CloseIdle()
	// Abort cancels the requests in flight, whose responses are still sent.
	Abort()
	// InFlight returns the number of requests in flight.
	InFlight() int
	// Wait blocks until all connections are closed.
	Wait()
}

type acceptor struct {
	handler   Handler
	limits    func() Limits
	draining  atomic.Bool
	finishing atomic.Bool
	aborted   atomic.Bool
	inFlight  atomic.Int64
	group     sync.WaitGroup

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns an acceptor that calls limits again for each request, so that changed limits apply to open connections.
func New(h Handler, limits func() Limits) Acceptor {
	return &acceptor{
		handler: h,
		limits:  limits,
		conns:   map[*conn]struct{}{},
	}
}

// Serve accepts connections until the listener is closed, and then returns nil.
func (a *acceptor) Serve(ctx context.Context, l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newConn(ctx, a, nc)
		a.mu.Lock()
		a.conns[c] = struct{}{}
		a.mu.Unlock()
		a.group.Go(func() {
			c.serve()
			a.mu.Lock()
			delete(a.conns, c)
			a.mu.Unlock()
		})
	}
}

// Drain makes the response to the last request in flight of each connection close it: the requests behind it were
// handled, too, and get their responses.
func (a *acceptor) Drain() {
	a.draining.Store(true)
}

// Finish drains, and leaves requests that have not been read to the callers, who may send them elsewhere.
func (a *acceptor) Finish() {
	a.finishing.Store(true)
	a.Drain()
}

// CloseIdle closes the connections on which no request is being read or handled.
func (a *acceptor) CloseIdle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.closeIdle()
	}
}

// errAborted is the cause of cancelled requests that Abort ended.
var errAborted = errors.New("the node stops")

// Abort cancels the requests in flight, whose responses are still sent.
func (a *acceptor) Abort() {
	a.aborted.Store(true)
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.cancel(errAborted)
	}
}

// InFlight returns the number of requests in flight.
func (a *acceptor) InFlight() int {
	return int(a.inFlight.Load())
}

// Wait blocks until all connections are closed.
func (a *acceptor) Wait() {
	a.group.Wait()
}
