package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/stream/encoder"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/go-faster/errors"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 8 << 10

	// lingerTimeout is how long a connection is still read after its last response: closing it with unread data would
	// reset it, and the caller could lose that response.
	lingerTimeout = 500 * time.Millisecond

	// unlimitedBytes turns the limit of an io.LimitedReader off.
	unlimitedBytes = int64(1) << 62
)

// state is the activity of a connection, from which its read deadline follows.
type state struct {
	reading  bool
	inFlight int
	closing  bool
}

type conn struct {
	owner   *acceptor
	nc      net.Conn
	limited *io.LimitedReader
	br      *bufio.Reader
	bw      *bufio.Writer
	group   sync.WaitGroup

	// ctx is the context of the requests; cancel ends it when the caller disconnects.
	ctx    context.Context
	cancel context.CancelCauseFunc

	// pipeline is a semaphore over the requests in flight.
	pipeline chan struct{}

	// exchanges passes requests to the idle goroutines of the connection.
	exchanges chan *exchange

	mu    sync.Mutex
	state state
}

func newConn(ctx context.Context, a *acceptor, nc net.Conn) *conn {
	c := &conn{
		owner: a,
		nc:    nc,
		limited: &io.LimitedReader{
			R: nc,
			N: unlimitedBytes,
		},
		bw:        bufio.NewWriterSize(nc, writeBufferBytes),
		pipeline:  make(chan struct{}, pipelineMax),
		exchanges: make(chan *exchange),
	}
	c.br = bufio.NewReaderSize(c.limited, readBufferBytes)
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	return c
}

// exchange is one request of a connection and its position in the order of the responses.
type exchange struct {
	request    *streamer.Request
	body       *body
	headOnly   bool
	closeAfter bool

	// earlierDone is closed when the responses to all earlier requests have been written or discarded.
	earlierDone <-chan struct{}

	// done is closed when the response to this request, and those to all earlier ones, have been written or discarded.
	done chan struct{}
}

// serve reads requests until the connection ends, then cancels those in flight and waits for them.
func (c *conn) serve() {
	first := make(chan struct{})
	close(first)
	earlierDone := (<-chan struct{})(first)
	for c.awaitRequest() {
		x, err := c.readRequest(earlierDone)
		if errors.Is(err, errClosing) {
			c.drainInput()
			break
		}
		if err != nil {
			c.reject(earlierDone, err)
			break
		}
		c.pipeline <- struct{}{}
		c.dispatch(x)
		earlierDone = x.done
		if x.body != nil {
			select {
			case <-x.body.done:
			case <-x.done:
			}
		}
		if x.closeAfter || x.body.unread() {
			c.drainInput()
			break
		}
	}
	c.cancel(nil)
	close(c.exchanges)
	c.group.Wait()
	_ = c.nc.Close()
}

// dispatch passes the exchange to an idle goroutine of the connection, whose stack has already grown, or to a new one
// if all are busy.
func (c *conn) dispatch(x *exchange) {
	select {
	case c.exchanges <- x:
	default:
		c.group.Go(func() {
			for ok := true; ok; x, ok = <-c.exchanges {
				c.handle(x)
				<-c.pipeline
			}
		})
	}
}

// awaitRequest waits for the first byte of the next request and returns false if the connection ends or is closing.
func (c *conn) awaitRequest() bool {
	c.limited.N = unlimitedBytes
	if _, err := c.br.Peek(1); err != nil {
		return false
	}
	if !c.startReading() {
		c.drainInput()
		return false
	}
	return true
}

// startReading marks that a request is being read, and returns false if no further request is handled.
func (c *conn) startReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner.finishing.Load() && c.state.inFlight == 0 {
		c.state.closing = true
		_ = c.nc.Close()
	}
	if c.state.closing || c.owner.finishing.Load() {
		return false
	}
	c.state.reading = true
	c.setReadDeadline()
	return true
}

// setReadDeadline sets the read deadline for the current state; c.mu must be held.
func (c *conn) setReadDeadline() {
	limits := c.owner.limits()
	deadline := time.Time{}
	switch {
	case c.state.closing:
		deadline = time.Now().Add(lingerTimeout)
	case c.state.reading:
		deadline = time.Now().Add(limits.HeaderTimeout)
	case c.state.inFlight == 0:
		deadline = time.Now().Add(limits.IdleTimeout)
	}
	_ = c.nc.SetReadDeadline(deadline)
}

// errClosing is returned for a request that is not handled because the connection is closing.
var errClosing = errors.New("the connection is closing")

// readRequest parses the next request and counts it as in flight; the error is a *rejection if it exceeds a limit or
// has an unsupported version, and errClosing if an earlier response has announced the end of the connection meanwhile.
func (c *conn) readRequest(earlierDone <-chan struct{}) (*exchange, error) {
	limits := c.owner.limits()
	c.limited.N = int64(limits.HeaderBytes)
	req, err := http.ReadRequest(c.br)
	exhausted := c.limited.N <= 0
	c.limited.N = unlimitedBytes
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
	if c.state.closing || c.owner.finishing.Load() {
		return nil, errClosing
	}
	c.state.inFlight++
	c.owner.inFlight.Add(1)
	c.setReadDeadline()
	return c.newExchange(req, earlierDone, limits), nil
}

func (c *conn) newExchange(req *http.Request, earlierDone <-chan struct{}, limits Limits) *exchange {
	x := &exchange{
		request: &streamer.Request{
			Method:      req.Method,
			Target:      req.RequestURI,
			Host:        req.Host,
			Header:      req.Header,
			Length:      req.ContentLength,
			Arrived:     time.Now(),
			EarlierDone: earlierDone,
		},
		headOnly:    req.Method == http.MethodHead,
		closeAfter:  req.Close,
		earlierDone: earlierDone,
		done:        make(chan struct{}),
	}
	if req.Body != nil && req.Body != http.NoBody {
		x.body = &body{
			source:       req.Body,
			remaining:    limits.BodyBytes,
			done:         make(chan struct{}),
			sendContinue: func() error { return nil },
		}
		if req.Header.Get("Expect") != "" {
			x.body.sendContinue = c.continueSender(earlierDone)
			x.request.Header.Del("Expect")
		}
		x.request.Body = x.body
	}
	return x
}

// continueSender returns a function that waits until the responses to all earlier requests have been written or
// discarded, and then sends 100 Continue.
func (c *conn) continueSender(earlierDone <-chan struct{}) func() error {
	return func() error {
		<-earlierDone
		if _, err := c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return errors.Wrap(err, "write interim answer")
		}
		return c.bw.Flush()
	}
}

// rejection is the error for a request that gets an error status as its response and is not handled.
type rejection struct {
	status int
}

// Error returns the text of the status.
func (r *rejection) Error() string {
	return http.StatusText(r.status)
}

// reject writes an error response to input that is not an acceptable request, after the responses to all earlier
// requests, and closes the connection; a connection error gets no response.
func (c *conn) reject(earlierDone <-chan struct{}, err error) {
	if isConnError(err) {
		return
	}
	status := http.StatusBadRequest
	r := &rejection{}
	if errors.As(err, &r) {
		status = r.status
	}
	<-earlierDone
	if !c.close() {
		c.drainInput()
		return
	}
	response := streamer.RefusalResponse(chivegauge.Refuse(chivegauge.CodeBadRequest, err.Error()))
	response.Status = status
	_ = encoder.WriteResponse(c.bw, response, false, true)
	_ = c.bw.Flush()
	c.linger()
	c.drainInput()
}

// drainInput reads and discards input until the read deadline; it bypasses the buffered reader, from which a handler
// may still be reading a body.
func (c *conn) drainInput() {
	_, _ = io.Copy(io.Discard, c.nc)
}

// isConnError reports whether the connection failed or was closed, as opposed to sending an invalid request.
func isConnError(err error) bool {
	invalid := &url.Error{} // which is a net.Error, too
	if errors.As(err, &invalid) {
		return false
	}
	ne := net.Error(nil)
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne)
}

// close marks the connection as closing, and returns false if it was.
func (c *conn) close() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	closing := c.state.closing
	c.state.closing = true
	return !closing
}

// endsConnection reports whether the response to x is the last one of the connection, and marks the connection as closing
// if it is, so that no request is handled that would get no response.
func (c *conn) endsConnection(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.closeAfter || x.body.unread() || (c.owner.draining.Load() && c.state.inFlight == 1) {
		c.state.closing = true
	}
	return c.state.closing
}

// handle runs the handler and writes the response after those to all earlier requests; it writes none if the caller has
// disconnected.
func (c *conn) handle(x *exchange) {
	response := c.owner.handler.Handle(c.ctx, x.request)
	defer response.Release()
	defer close(x.done)
	defer c.owner.inFlight.Add(-1)
	<-x.earlierDone
	if c.ctx.Err() != nil && !c.owner.aborted.Load() {
		c.finish(false)
		return
	}
	closeAfter := c.endsConnection(x)
	err := encoder.WriteResponse(c.bw, response, x.headOnly, closeAfter)
	if err == nil && response.Body != nil && !x.headOnly {
		err = encoder.WriteBody(c.bw, response.Body, response.Length)
	}
	if err == nil {
		err = c.bw.Flush()
	}
	if err != nil {
		_ = c.nc.Close()
	}
	c.finish(closeAfter)
}

// finish counts the request as no longer in flight; closeAfter says that its response was the last one of the
// connection.
func (c *conn) finish(closeAfter bool) {
	c.mu.Lock()
	c.state.inFlight--
	if !closeAfter {
		c.setReadDeadline()
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	c.linger()
}

// linger closes the write side and limits the time in which further input is read and discarded to lingerTimeout.
func (c *conn) linger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.closing = true
	if w, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	c.setReadDeadline()
}

// closeIdle closes the connection unless a request is being read or handled.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.inFlight == 0 && !c.state.reading {
		c.state.closing = true
		_ = c.nc.Close()
	}
}
