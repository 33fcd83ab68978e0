package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/stream/carrier"
	"github.com/chivegauge/chivegauge/internal/stream/encoder"
	"github.com/go-faster/errors"
)

const (
	readBytes  = 4 << 10
	writeBytes = 8 << 10

	// lingerTime is how long a closed connection is read on, so that its last answer is not lost to a reset.
	lingerTime = 500 * time.Millisecond

	// noLimit lets a reader pass any number of bytes.
	noLimit = int64(1) << 62
)

// state is what a connection is doing, for its read deadline.
type state struct {
	reading  bool
	inFlight int
	closing  bool
}

type conn struct {
	owner *acceptor
	nc    net.Conn
	limit *io.LimitedReader
	br    *bufio.Reader
	bw    *bufio.Writer
	group sync.WaitGroup
	ahead chan struct{}
	work  chan *exchange

	mu    sync.Mutex
	state state
}

func newConn(a *acceptor, nc net.Conn) *conn {
	c := &conn{
		owner: a,
		nc:    nc,
		limit: &io.LimitedReader{
			R: nc,
			N: noLimit,
		},
		bw:    bufio.NewWriterSize(nc, writeBytes),
		ahead: make(chan struct{}, pipelineMax),
		work:  make(chan *exchange),
	}
	c.br = bufio.NewReaderSize(c.limit, readBytes)
	return c
}

// exchange is one request and its place among those of its connection.
type exchange struct {
	request *carrier.Request
	body    *body
	silent  bool
	last    bool
	turn    <-chan struct{}
	done    chan struct{}
}

// serve reads requests until the connection ends, and ends what still runs for it.
func (c *conn) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	first := make(chan struct{})
	close(first)
	turn := (<-chan struct{})(first)
	for c.await() {
		x, err := c.read(turn)
		if err != nil {
			c.reject(turn, err)
			break
		}
		c.ahead <- struct{}{}
		c.assign(ctx, x)
		turn = x.done
		if x.body != nil {
			select {
			case <-x.body.ended:
			case <-x.done:
			}
			if x.body.unread() {
				c.discard()
				break
			}
		}
	}
	cancel()
	close(c.work)
	c.group.Wait()
	_ = c.nc.Close()
}

// assign hands the exchange to a goroutine of the connection that has handled one before, whose stack has grown already,
// or to a new one if all are busy.
func (c *conn) assign(ctx context.Context, x *exchange) {
	select {
	case c.work <- x:
	default:
		c.group.Go(func() {
			for ok := true; ok; x, ok = <-c.work {
				c.handle(ctx, x)
				<-c.ahead
			}
		})
	}
}

// await returns true when a further request begins, and false when none will.
func (c *conn) await() bool {
	c.limit.N = noLimit
	if _, err := c.br.Peek(1); err != nil {
		return false
	}
	if !c.begin() {
		c.discard()
		return false
	}
	return true
}

// begin takes note that a request is being read, unless the connection is closing.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.closing {
		return false
	}
	c.state.reading = true
	c.deadline()
	return true
}

// deadline sets the read deadline that the state asks for; c.mu is held.
func (c *conn) deadline() {
	limits := c.owner.limits()
	at := time.Time{}
	switch {
	case c.state.closing:
		at = time.Now().Add(lingerTime)
	case c.state.reading:
		at = time.Now().Add(limits.HeaderTimeout)
	case c.state.inFlight == 0:
		at = time.Now().Add(limits.IdleTimeout)
	}
	_ = c.nc.SetReadDeadline(at)
}

// read parses the next request.
func (c *conn) read(turn <-chan struct{}) (*exchange, error) {
	limits := c.owner.limits()
	c.limit.N = int64(limits.HeaderBytes)
	req, err := http.ReadRequest(c.br)
	exhausted := c.limit.N <= 0
	c.limit.N = noLimit
	switch {
	case err != nil && exhausted:
		return nil, &rejection{
			status: http.StatusRequestHeaderFieldsTooLarge,
		}
	case err != nil:
		return nil, err
	case req.ProtoMajor != 1 || req.ProtoMinor < 1:
		return nil, &rejection{
			status: http.StatusHTTPVersionNotSupported,
		}
	case req.ContentLength > limits.BodyBytes:
		return nil, &rejection{
			status: http.StatusRequestEntityTooLarge,
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.reading = false
	c.state.inFlight++
	c.owner.running.Add(1)
	c.deadline()
	return c.exchange(req, turn, limits), nil
}

func (c *conn) exchange(req *http.Request, turn <-chan struct{}, limits Limits) *exchange {
	x := &exchange{
		request: &carrier.Request{
			Method:  req.Method,
			Target:  req.RequestURI,
			Host:    req.Host,
			Header:  req.Header,
			Length:  req.ContentLength,
			Arrived: time.Now(),
			Turn:    turn,
		},
		silent: req.Method == http.MethodHead,
		last:   req.Close,
		turn:   turn,
		done:   make(chan struct{}),
	}
	if req.Body != nil && req.Body != http.NoBody {
		x.body = &body{
			source:  req.Body,
			left:    limits.BodyBytes,
			ended:   make(chan struct{}),
			proceed: func() error { return nil },
		}
		if req.Header.Get("Expect") != "" {
			x.body.proceed = c.proceed(turn)
			x.request.Header.Del("Expect")
		}
		x.request.Body = x.body
	}
	return x
}

// proceed returns a function that tells the caller once to send its body.
func (c *conn) proceed(turn <-chan struct{}) func() error {
	return func() error {
		<-turn
		if _, err := c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return errors.Wrap(err, "write interim answer")
		}
		return c.bw.Flush()
	}
}

// rejection is a request that is answered without being handled.
type rejection struct {
	status int
}

// Error returns the status.
func (r *rejection) Error() string {
	return http.StatusText(r.status)
}

// reject answers what can't be read as a request, after all requests before it.
func (c *conn) reject(turn <-chan struct{}, err error) {
	if isNetwork(err) {
		return
	}
	status := http.StatusBadRequest
	r := &rejection{}
	if errors.As(err, &r) {
		status = r.status
	}
	<-turn
	a := carrier.Refusal(chivegauge.Refuse(chivegauge.CodeBadRequest, err.Error()))
	a.Status = status
	_ = encoder.Answer(c.bw, a, false, true)
	_ = c.bw.Flush()
	c.linger()
	c.discard()
}

// discard reads past the buffer, which a part of the node may still read a body from, until the read deadline.
func (c *conn) discard() {
	_, _ = io.Copy(io.Discard, c.nc)
}

// isNetwork reports whether the connection itself failed or ended.
func isNetwork(err error) bool {
	ne := net.Error(nil)
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne)
}

// handle answers one request in its turn.
func (c *conn) handle(ctx context.Context, x *exchange) {
	answer := c.owner.handler.Handle(ctx, x.request)
	defer answer.Release()
	defer close(x.done)
	defer c.owner.running.Add(-1)
	<-x.turn
	c.mu.Lock()
	gone := c.state.closing
	c.mu.Unlock()
	if gone || ctx.Err() != nil {
		c.finish(false)
		return
	}
	last := x.last || c.owner.draining.Load() || x.body.unread()
	err := encoder.Answer(c.bw, answer, x.silent, last)
	if err == nil && answer.Body != nil && !x.silent {
		err = encoder.Body(c.bw, answer.Body, answer.Length)
	}
	if err == nil {
		err = c.bw.Flush()
	}
	if err != nil {
		_ = c.nc.Close()
	}
	c.finish(last)
}

// finish takes note of an answered request, and closes the sending side after the last one.
func (c *conn) finish(last bool) {
	c.mu.Lock()
	c.state.inFlight--
	if !last {
		c.deadline()
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	c.linger()
}

// linger ends the sending side and lets what the caller still sends run off for a while.
func (c *conn) linger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.closing = true
	if w, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	c.deadline()
}

// closeIdle closes the connection unless a request is being read or answered.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.inFlight == 0 && !c.state.reading {
		c.state.closing = true
		_ = c.nc.Close()
	}
}
