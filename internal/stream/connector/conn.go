package connector

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chivegauge/chivegauge/internal/stream/carrier"
	"github.com/chivegauge/chivegauge/internal/stream/encoder"
	"github.com/go-faster/errors"
)

const (
	readBytes  = 8 << 10
	writeBytes = 4 << 10

	// foreignMax is the number of answers to other requests that are passed over.
	foreignMax = 4

	// keepPart is the part of the other end's own idle timeout for which a connection is used.
	keepPart = 0.7
)

type conn struct {
	owner   *connector
	nc      net.Conn
	br      *bufio.Reader
	bw      *bufio.Writer
	since   time.Time
	keepFor time.Duration
}

func newConn(c *connector, nc net.Conn) *conn {
	return &conn{
		owner:   c,
		nc:      nc,
		br:      bufio.NewReaderSize(nc, readBytes),
		bw:      bufio.NewWriterSize(nc, writeBytes),
		keepFor: c.cfg.KeepFor,
	}
}

// quiet reports whether the unused connection is open and nothing has arrived on it.
func (k *conn) quiet() bool {
	if k.br.Buffered() > 0 {
		return false
	}
	sc, ok := k.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		b := [1]byte{}
		_, err := syscall.Read(int(fd), b[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// exchange sends the request and reads the answer that belongs to it.
func (k *conn) exchange(ctx context.Context, r *carrier.Request) (*carrier.Answer, error) {
	stop := context.AfterFunc(ctx, func() { _ = k.nc.SetDeadline(past) })
	sent := k.send(r)
	res, err := k.receive(r) //nolint:bodyclose // closing the answer ends the use of the connection
	if err != nil {
		stop()
		return nil, err
	}
	a := &carrier.Answer{
		Status: res.StatusCode,
		Header: res.Header,
		Length: res.ContentLength,
	}
	b := &body{
		conn: k,
		res:  res,
		sent: sent,
		stop: stop,
	}
	return k.hold(a, b)
}

// send writes the request; the body of one that is not whole is written while the answer is read.
func (k *conn) send(r *carrier.Request) *sending {
	s := &sending{
		done: make(chan struct{}),
	}
	r.Rewind()
	s.err = encoder.Request(k.bw, r)
	if s.err != nil || r.Whole() {
		close(s.done)
		return s
	}
	s.group.Go(func() {
		defer close(s.done)
		s.err = encoder.Body(k.bw, r.Body, r.Length)
		if s.err != nil {
			_ = k.nc.SetDeadline(past)
		}
	})
	return s
}

// sending is the writing of a request.
type sending struct {
	group sync.WaitGroup
	done  chan struct{}
	err   error
}

// whole reports whether the request has been written to its end.
func (s *sending) whole() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// receive reads answers until the one to the request.
func (k *conn) receive(r *carrier.Request) (*http.Response, error) {
	attempt := k.owner.cfg.Attempt
	own := ""
	if attempt != "" {
		own = r.Header.Get(attempt)
	}
	for range foreignMax {
		res, err := http.ReadResponse(k.br, &http.Request{
			Method: r.Method,
		})
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		echo := ""
		if attempt != "" {
			echo = res.Header.Get(attempt)
		}
		if echo == own || (echo == "" && res.StatusCode >= http.StatusMultipleChoices) {
			return res, nil
		}
		if echo == "" {
			return nil, errors.New("the answer does not say to which request it belongs")
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, errors.Wrap(err, "pass over an answer to another request")
		}
	}
	return nil, errors.New("too many answers to other requests")
}

// hold reads the first part of the body; an answer that ends within it is known to be whole.
func (k *conn) hold(a *carrier.Answer, b *body) (*carrier.Answer, error) {
	limit := k.owner.cfg.HoldBytes
	size := int64(0)
	if a.Length > 0 {
		size = min(a.Length, limit)
	}
	buf := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	n, err := io.Copy(buf, io.LimitReader(b, limit+1))
	if err != nil {
		_ = b.Close()
		return nil, err
	}
	if n <= limit {
		if err := b.Close(); err != nil {
			return nil, err
		}
		a.Hold(buf.Bytes())
		return a, nil
	}
	b.held = buf
	a.Body = b
	return a, nil
}

// body is an answer's body; the connection is kept once it has been read to its end.
type body struct {
	conn  *conn
	res   *http.Response
	sent  *sending
	stop  func() bool
	held  *bytes.Buffer
	ended bool
	once  sync.Once
}

// Read reads what is held, then what arrives.
func (b *body) Read(p []byte) (int, error) {
	if b.held != nil && b.held.Len() > 0 {
		return b.held.Read(p)
	}
	n, err := b.res.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = true
		return n, io.EOF
	}
	if err != nil {
		return n, errors.Wrap(err, "read answer")
	}
	return n, nil
}

// Close keeps the connection if it can be used again, and closes it otherwise.
func (b *body) Close() error {
	b.once.Do(b.close)
	return nil
}

func (b *body) close() {
	if !b.stop() || !b.ended || b.res.Close || !b.sent.whole() || b.conn.br.Buffered() > 0 {
		_ = b.conn.nc.Close()
		return
	}
	if d, ok := keepAlive(b.res.Header.Get("Keep-Alive")); ok {
		b.conn.keepFor = d
	}
	b.conn.owner.keep(b.conn)
}

// keepAlive returns how long the other end lets a connection be used again.
func keepAlive(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0, false
		}
		return time.Duration(keepPart * float64(seconds) * float64(time.Second)), true
	}
	return 0, false
}
