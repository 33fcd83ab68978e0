package acceptor_test

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

	"github.com/chivegauge/chivegauge/internal/stream/acceptor"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/matryer/is"
)

const testTimeout = 10 * time.Second

// handler adapts a function to acceptor.Handler.
type handler func(ctx context.Context, r *streamer.Request) *streamer.Response

func (h handler) Handle(ctx context.Context, r *streamer.Request) *streamer.Response {
	return h(ctx, r)
}

func limits() acceptor.Limits {
	return acceptor.Limits{
		HeaderBytes:   4 << 10,
		BodyBytes:     1 << 20,
		HeaderTimeout: testTimeout,
		IdleTimeout:   testTimeout,
	}
}

func textResponse(s string) *streamer.Response {
	response := &streamer.Response{
		Status: http.StatusOK,
		Header: http.Header{},
	}
	response.SetBody([]byte(s))
	return response
}

// serve starts an acceptor and returns it with a client connection to it.
func serve(t *testing.T, h handler) (acceptor.Acceptor, net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	a := acceptor.New(h, limits)
	group := sync.WaitGroup{}
	group.Go(func() { _ = a.Serve(context.Background(), l) })
	nc, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	is.NoErr(nc.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() {
		_ = nc.Close()
		_ = l.Close()
		a.Wait()
		group.Wait()
	})
	return a, nc
}

func send(t *testing.T, nc net.Conn, s string) {
	t.Helper()
	if _, err := io.WriteString(nc, s); err != nil {
		t.Fatal(err)
	}
}

// result is a response as the caller parsed it; closed says that the response announced the end of the connection.
type result struct {
	status int
	closed bool
	body   string
}

func read(br *bufio.Reader) (result, error) {
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		return result{}, err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return result{
		status: res.StatusCode,
		closed: res.Close,
		body:   string(b),
	}, err
}

// TestPipelining checks that pipelined requests are handled while the first one is running, and that the responses
// are sent in order.
func TestPipelining(t *testing.T) {
	is := is.New(t)
	third := make(chan struct{})
	_, nc := serve(t, func(_ context.Context, r *streamer.Request) *streamer.Response {
		if r.Target == "/1" {
			<-third
		}
		if r.Target == "/3" {
			close(third)
		}
		return textResponse(r.Target)
	})
	send(t, nc, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	br := bufio.NewReader(nc)
	for _, want := range []string{"/1", "/2", "/3"} {
		got, err := read(br)
		is.NoErr(err)
		is.Equal(got.body, want)
	}
}

// TestCallerDisconnects checks that the context is cancelled when the caller disconnects, also with pipelined requests
// in flight.
func TestCallerDisconnects(t *testing.T) {
	tests := map[string]string{
		"alone":         "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n",
		"two pipelined": "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"with a body":   "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi",
	}
	for name, input := range tests {
		t.Run(name, func(t *testing.T) {
			began := make(chan struct{}, 2)
			cancelled := make(chan struct{}, 2)
			_, nc := serve(t, func(ctx context.Context, r *streamer.Request) *streamer.Response {
				if r.Body != nil {
					_, _ = io.ReadAll(r.Body)
				}
				began <- struct{}{}
				<-ctx.Done()
				cancelled <- struct{}{}
				return textResponse("late")
			})
			send(t, nc, input)
			<-began
			_ = nc.Close()
			select {
			case <-cancelled:
			case <-time.After(testTimeout):
				t.Error("the context was not cancelled after the caller disconnected")
			}
		})
	}
}

// closable adds a Close method without effect to a reader.
type closable struct{ io.Reader }

func (closable) Close() error { return nil }

// TestTruncatedResponse checks that a response whose body fails midway can't be mistaken for a complete one.
func TestTruncatedResponse(t *testing.T) {
	tests := map[string]int64{
		"with a length": 100,
		"in chunks":     -1,
	}
	for name, length := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, nc := serve(t, func(context.Context, *streamer.Request) *streamer.Response {
				return &streamer.Response{
					Status: http.StatusOK,
					Header: http.Header{},
					Length: length,
					Body: closable{
						Reader: io.MultiReader(strings.NewReader("part"), failingReader{}),
					},
				}
			})
			send(t, nc, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			_, err := read(bufio.NewReader(nc))
			is.True(err != nil)
		})
	}
}

// failingReader fails each read.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestRejectedRequests checks which requests get an error status as their response without reaching the handler.
func TestRejectedRequests(t *testing.T) {
	tests := map[string]struct {
		input  string
		status int
	}{
		"not HTTP":          {input: "nonsense\r\n\r\n", status: http.StatusBadRequest},
		"large header":      {input: "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n", status: http.StatusRequestHeaderFieldsTooLarge},
		"large body":        {input: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n", status: http.StatusRequestEntityTooLarge},
		"control character": {input: "GET / HTTP/1.1\r\nHost: a\r\nX: a\x01b\r\n\r\n", status: http.StatusBadRequest},
		"bare CR":           {input: "GET / HTTP/1.1\r\nHost: a\r\nX: a\rY: b\r\n\r\n", status: http.StatusBadRequest},
		"NUL":               {input: "GET / HTTP/1.1\r\nHost: a\r\nX: a\x00\r\n\r\n", status: http.StatusBadRequest},
		"bare CR in host":   {input: "GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n", status: http.StatusBadRequest},
		"bad name":          {input: "GET / HTTP/1.1\r\nHost: a\r\nX(: b\r\n\r\n", status: http.StatusBadRequest},
		"control in target": {input: "GET /a\x01b HTTP/1.1\r\nHost: a\r\n\r\n", status: http.StatusBadRequest},
		"earlier version":   {input: "GET / HTTP/1.0\r\nHost: a\r\n\r\n", status: http.StatusHTTPVersionNotSupported},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, nc := serve(t, func(context.Context, *streamer.Request) *streamer.Response {
				t.Error("the request reached the handler")
				return textResponse("")
			})
			send(t, nc, tt.input)
			got, err := read(bufio.NewReader(nc))
			is.NoErr(err)
			is.Equal(got.status, tt.status)
			is.True(got.closed)
		})
	}
}

// TestDrain checks that a draining acceptor still responds to a request on an open connection and then closes it.
func TestDrain(t *testing.T) {
	is := is.New(t)
	a, nc := serve(t, func(_ context.Context, r *streamer.Request) *streamer.Response { return textResponse(r.Target) })
	br := bufio.NewReader(nc)
	send(t, nc, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	got, err := read(br)
	is.NoErr(err)
	is.True(!got.closed)
	a.Drain()
	send(t, nc, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	got, err = read(br)
	is.NoErr(err)
	is.Equal(got.body, "/2")
	is.True(got.closed)
	_, err = br.ReadByte()
	is.Equal(err, io.EOF)
}

// TestListenerClosed checks that requests in flight are completed after the listener was closed.
func TestListenerClosed(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	began := make(chan struct{})
	closed := make(chan struct{})
	a := acceptor.New(handler(func(_ context.Context, r *streamer.Request) *streamer.Response {
		close(began)
		<-closed
		return textResponse(r.Target)
	}), limits)
	group := sync.WaitGroup{}
	serveErr := error(nil)
	group.Go(func() { serveErr = a.Serve(context.Background(), l) })
	nc, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	send(t, nc, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-began
	is.NoErr(l.Close())
	group.Wait()
	is.NoErr(serveErr) // an error from Serve would stop all other parts of the node
	a.CloseIdle()
	close(closed)
	got, err := read(bufio.NewReader(nc))
	is.NoErr(err)
	is.Equal(got.body, "/1")
	is.NoErr(nc.Close())
	a.Wait()
}

// TestEarlyResponse checks that a response sent before the whole body was read reaches the caller, and that the
// connection is then closed.
func TestEarlyResponse(t *testing.T) {
	is := is.New(t)
	_, nc := serve(t, func(context.Context, *streamer.Request) *streamer.Response { return textResponse("early") })
	send(t, nc, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nsome")
	got, err := read(bufio.NewReader(nc))
	is.NoErr(err)
	is.Equal(got.body, "early")
	is.True(got.closed)
}
