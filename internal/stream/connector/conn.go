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

	"github.com/chivegauge/chivegauge/internal/base/validator"
	"github.com/chivegauge/chivegauge/internal/stream/encoder"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/go-faster/errors"
)

const (
	readBufferBytes  = 8 << 10
	writeBufferBytes = 4 << 10

	// foreignResponsesMax is the number of responses read while looking for the one to the request; those that belong to
	// other requests are discarded.
	foreignResponsesMax = 4

	// interimResponsesMax is the number of interim responses read before a final one.
	interimResponsesMax = 100

	// headMaxBytes is the maximum size of the head of a response, and foreignBodyMaxBytes that of the body of a response
	// to another request: a faulty peer may send either without end.
	headMaxBytes        = 64 << 10
	foreignBodyMaxBytes = 1 << 20

	// unlimitedBytes turns the limit of an io.LimitedReader off.
	unlimitedBytes = int64(1) << 62

	// idleTimeoutShare is the fraction of the peer's idle timeout after which a connection is no longer reused.
	idleTimeoutShare = 0.7
)

type conn struct {
	owner       *connector
	nc          net.Conn
	raw         syscall.RawConn // nil if the connection is no socket
	limited     *io.LimitedReader
	br          *bufio.Reader
	bw          *bufio.Writer
	idleSince   time.Time
	idleTimeout time.Duration

	// used says that a response has been read: one more may be a repetition of it.
	used bool
}

func newConn(c *connector, nc net.Conn) *conn {
	validated := validator.NewConn(nc)
	limited := &io.LimitedReader{
		R: validated,
		N: unlimitedBytes,
	}
	k := &conn{
		owner:       c,
		nc:          validated,
		limited:     limited,
		br:          bufio.NewReaderSize(limited, readBufferBytes),
		bw:          bufio.NewWriterSize(validated, writeBufferBytes),
		idleTimeout: c.cfg.IdleTimeout,
	}
	if sc, ok := nc.(syscall.Conn); ok {
		// Without the socket, an idle connection is used without a check.
		k.raw, _ = sc.SyscallConn()
	}
	return k
}

// reusable reports whether the idle connection is open and no data has arrived on it.
func (k *conn) reusable() bool {
	if k.br.Buffered() > 0 {
		return false
	}
	if k.raw == nil {
		return true
	}
	empty := false
	err := k.raw.Read(func(fd uintptr) bool {
		b := [1]byte{}
		_, err := syscall.Read(int(fd), b[:])
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// expiredDeadline is a time in the past; set as the deadline, it ends blocked reads and writes at once.
var expiredDeadline = time.Unix(1, 0)

// exchange sends the request and returns the response that belongs to it.
func (k *conn) exchange(ctx context.Context, r *streamer.Request) (*streamer.Response, error) {
	stopCancel := context.AfterFunc(ctx, func() { _ = k.nc.SetDeadline(expiredDeadline) })
	u := k.writeRequest(r)
	res, err := k.readResponse(r) //nolint:bodyclose // body.Close ends the use of the connection
	if err != nil {
		stopCancel()
		return nil, err
	}
	response := &streamer.Response{
		Status: res.StatusCode,
		Header: res.Header,
		Length: res.ContentLength,
	}
	b := &body{
		conn:       k,
		res:        res,
		upload:     u,
		stopCancel: stopCancel,
	}
	return k.bufferBody(response, b)
}

// writeRequest writes the request; a streamed body is written in the background while the response is read. If that body
// can't be read, the exchange ends; if it can't be written, what has arrived of the response is still read.
func (k *conn) writeRequest(r *streamer.Request) *upload {
	r.Rewind()
	u := &upload{
		err: encoder.WriteRequest(k.bw, r),
	}
	if u.err != nil || r.Buffered() {
		return u
	}
	u.done = make(chan struct{})
	u.group.Go(func() {
		defer close(u.done)
		u.err = encoder.WriteBody(k.bw, r.Body, r.Length)
		if unread := (&encoder.BodyReadError{}); errors.As(u.err, &unread) {
			_ = k.nc.SetDeadline(expiredDeadline)
		}
	})
	return u
}

// upload is the state of writing a request; err may be read once done, unless it is nil, is closed.
type upload struct {
	group sync.WaitGroup
	done  chan struct{}
	err   error
}

// complete reports whether the whole request has been written.
func (u *upload) complete() bool {
	if u.done != nil {
		select {
		case <-u.done:
		default:
			return false
		}
	}
	return u.err == nil
}

// readResponse reads responses up to the one to the request, identified by the attempt header; as the first response on
// a connection, one with a status of 300 or above that lacks the header is accepted too.
func (k *conn) readResponse(r *streamer.Request) (*http.Response, error) {
	attempt := k.owner.cfg.AttemptHeader
	want := ""
	if attempt != "" {
		want = r.Header.Get(attempt)
	}
	for range foreignResponsesMax {
		res, err := k.readFinalHead(r)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		got := ""
		if attempt != "" {
			got = res.Header.Get(attempt)
		}
		first := !k.used
		k.used = true
		if got == want || (got == "" && first && res.StatusCode >= http.StatusMultipleChoices) {
			return res, nil
		}
		if got == "" {
			return nil, errors.New("the answer does not say to which request it belongs")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, foreignBodyMaxBytes))
		if err != nil {
			return nil, errors.Wrap(err, "pass over an answer to another request")
		}
		if n == foreignBodyMaxBytes {
			return nil, errors.New("an answer to another request is too large")
		}
	}
	return nil, errors.New("too many answers to other requests")
}

// readFinalHead reads interim responses and the head of the final one behind them.
func (k *conn) readFinalHead(r *streamer.Request) (*http.Response, error) {
	for range interimResponsesMax {
		res, err := k.readHead(r)
		if err != nil || res.StatusCode >= http.StatusOK {
			return res, err
		}
	}
	return nil, errors.New("too many interim answers")
}

// readHead reads the head of a response, up to headMaxBytes.
func (k *conn) readHead(r *streamer.Request) (*http.Response, error) {
	k.limited.N = headMaxBytes
	defer func() { k.limited.N = unlimitedBytes }()
	return validator.ReadHead(k.br, r.Method)
}

// bufferBody reads the body into memory up to the configured number of bytes; a response that ends within them is known
// to be complete, and its connection is free again before the response is returned.
func (k *conn) bufferBody(response *streamer.Response, b *body) (*streamer.Response, error) {
	limit := k.owner.cfg.BodyBufferBytes
	if response.Length > 0 && response.Length <= limit && b.res.Body != http.NoBody {
		p := make([]byte, response.Length)
		if _, err := io.ReadFull(b, p); err != nil {
			_ = b.Close()
			return nil, err
		}
		if err := b.Close(); err != nil {
			return nil, err
		}
		response.SetBody(p)
		return response, nil
	}
	size := int64(0)
	if response.Length > 0 {
		size = min(response.Length, limit)
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
		response.SetBody(buf.Bytes())
		return response, nil
	}
	b.buffered = buf
	response.Body = b
	return response, nil
}

// body is a streamed response body; closing it returns the connection to the idle ones if the body was read to its end.
type body struct {
	conn       *conn
	res        *http.Response
	upload     *upload
	stopCancel func() bool
	buffered   *bytes.Buffer
	atEOF      bool
	once       sync.Once
}

// Read returns the buffered bytes first and then reads from the connection.
func (b *body) Read(p []byte) (int, error) {
	if b.buffered != nil && b.buffered.Len() > 0 {
		return b.buffered.Read(p)
	}
	n, err := b.res.Body.Read(p)
	atEOF := errors.Is(err, io.EOF)
	if atEOF {
		err = validator.CheckTrailer(b.res)
	}
	if err != nil {
		return n, errors.Wrap(err, "read answer")
	}
	if atEOF {
		b.atEOF = true
		return n, io.EOF
	}
	return n, nil
}

// Close returns the connection to the idle ones if it can be reused, and closes it otherwise; the error is always nil.
func (b *body) Close() error {
	b.once.Do(b.close)
	return nil
}

func (b *body) close() {
	if !b.stopCancel() || !b.atEOF || b.res.Close || !b.upload.complete() || b.conn.br.Buffered() > 0 {
		_ = b.conn.nc.Close()
		return
	}
	if d, ok := parseKeepAlive(b.res.Header.Get("Keep-Alive")); ok {
		b.conn.idleTimeout = d
	}
	b.conn.owner.putIdle(b.conn)
}

// parseKeepAlive returns the time for which an idle connection is reused, a fraction of the timeout in the Keep-Alive
// header, or false if the header has no valid timeout.
func parseKeepAlive(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0, false
		}
		return time.Duration(idleTimeoutShare * float64(seconds) * float64(time.Second)), true
	}
	return 0, false
}
