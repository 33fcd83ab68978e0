package acceptor

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivegauge/chivegauge/internal/stream/carrier"
	"github.com/go-faster/errors"
)

// acceptRetryDelay is the pause after a failed accept, such as for want of descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// Handler answers requests.
type Handler interface {
	// Handle returns the answer; ctx ends when the caller leaves.
	Handle(ctx context.Context, r *carrier.Request) *carrier.Answer
}

// Limits bound what a connection may send.
type Limits struct {
	// HeaderBytes is the largest head of a request.
	HeaderBytes int

	// BodyBytes is the largest body of a request.
	BodyBytes int64

	// HeaderTimeout is the longest time from the first byte of a request to the end of its head.
	HeaderTimeout time.Duration

	// IdleTimeout is how long a connection is kept without a request.
	IdleTimeout time.Duration
}

// pipelineMax is the number of requests of one connection that are handled at once.
const pipelineMax = 32

// Acceptor serves connections.
type Acceptor interface {
	// Serve accepts connections from l until it is closed, which is no error; open connections go on.
	Serve(ctx context.Context, l net.Listener) error
	// Drain makes each further answer close its connection.
	Drain()
	// CloseIdle closes the connections on which no request is being read or answered.
	CloseIdle()
	// Running returns the number of requests not yet answered.
	Running() int
	// Wait returns when all connections have ended.
	Wait()
}

type acceptor struct {
	handler  Handler
	limits   func() Limits
	draining atomic.Bool
	running  atomic.Int64
	group    sync.WaitGroup

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns an acceptor that asks for the limits anew for each request.
func New(h Handler, limits func() Limits) Acceptor {
	return &acceptor{
		handler: h,
		limits:  limits,
		conns:   map[*conn]struct{}{},
	}
}

// Serve accepts connections until the listener is closed.
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
		c := newConn(a, nc)
		a.mu.Lock()
		a.conns[c] = struct{}{}
		a.mu.Unlock()
		a.group.Go(func() {
			c.serve(ctx)
			a.mu.Lock()
			delete(a.conns, c)
			a.mu.Unlock()
		})
	}
}

// Drain makes each further answer close its connection.
func (a *acceptor) Drain() {
	a.draining.Store(true)
}

// CloseIdle closes the connections without a request.
func (a *acceptor) CloseIdle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.closeIdle()
	}
}

// Running returns the number of requests not yet answered.
func (a *acceptor) Running() int {
	return int(a.running.Load())
}

// Wait returns when all connections have ended.
func (a *acceptor) Wait() {
	a.group.Wait()
}
