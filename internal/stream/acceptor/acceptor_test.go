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
	"github.com/chivegauge/chivegauge/internal/stream/carrier"
	"github.com/matryer/is"
)

const patience = 10 * time.Second

// handler answers by the function.
type handler func(ctx context.Context, r *carrier.Request) *carrier.Answer

func (h handler) Handle(ctx context.Context, r *carrier.Request) *carrier.Answer {
	return h(ctx, r)
}

func limits() acceptor.Limits {
	return acceptor.Limits{
		HeaderBytes:   4 << 10,
		BodyBytes:     1 << 20,
		HeaderTimeout: patience,
		IdleTimeout:   patience,
	}
}

func text(s string) *carrier.Answer {
	a := &carrier.Answer{
		Status: http.StatusOK,
		Header: http.Header{},
	}
	a.Hold([]byte(s))
	return a
}

// serve starts an acceptor and returns it with a connection to it.
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
	is.NoErr(nc.SetDeadline(time.Now().Add(patience)))
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

// reply is what a caller makes of an answer.
type reply struct {
	status int
	last   bool
	body   string
}

func read(br *bufio.Reader) (reply, error) {
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return reply{
		status: res.StatusCode,
		last:   res.Close,
		body:   string(b),
	}, err
}

// TestRequestsSentAhead states that requests sent ahead are read while the first one runs, and answered in order.
func TestRequestsSentAhead(t *testing.T) {
	is := is.New(t)
	third := make(chan struct{})
	_, nc := serve(t, func(_ context.Context, r *carrier.Request) *carrier.Answer {
		if r.Target == "/1" {
			<-third
		}
		if r.Target == "/3" {
			close(third)
		}
		return text(r.Target)
	})
	send(t, nc, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	br := bufio.NewReader(nc)
	for _, want := range []string{"/1", "/2", "/3"} {
		got, err := read(br)
		is.NoErr(err)
		is.Equal(got.body, want)
	}
}

// TestCallerLeaves states that the context ends when the caller leaves, also behind requests sent ahead.
func TestCallerLeaves(t *testing.T) {
	tests := map[string]string{
		"alone":       "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n",
		"sent ahead":  "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"with a body": "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi",
	}
	for name, input := range tests {
		t.Run(name, func(t *testing.T) {
			began := make(chan struct{}, 2)
			left := make(chan struct{}, 2)
			_, nc := serve(t, func(ctx context.Context, r *carrier.Request) *carrier.Answer {
				if r.Body != nil {
					_, _ = io.ReadAll(r.Body)
				}
				began <- struct{}{}
				<-ctx.Done()
				left <- struct{}{}
				return text("late")
			})
			send(t, nc, input)
			<-began
			_ = nc.Close()
			select {
			case <-left:
			case <-time.After(patience):
				t.Error("the caller's leaving was not noticed")
			}
		})
	}
}

// failing is a body that breaks off.
type failing struct{ io.Reader }

func (failing) Close() error { return nil }

// TestBrokenAnswer states that an answer which breaks off does not look complete.
func TestBrokenAnswer(t *testing.T) {
	tests := map[string]int64{
		"with a length": 100,
		"in chunks":     -1,
	}
	for name, length := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, nc := serve(t, func(context.Context, *carrier.Request) *carrier.Answer {
				return &carrier.Answer{
					Status: http.StatusOK,
					Header: http.Header{},
					Length: length,
					Body: failing{
						Reader: io.MultiReader(strings.NewReader("part"), broken{}),
					},
				}
			})
			send(t, nc, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			_, err := read(bufio.NewReader(nc))
			is.True(err != nil)
		})
	}
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestRefusedRequests states which requests are answered without being handled.
func TestRefusedRequests(t *testing.T) {
	tests := map[string]struct {
		input  string
		status int
	}{
		"no request":      {input: "nonsense\r\n\r\n", status: http.StatusBadRequest},
		"large header":    {input: "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n", status: http.StatusRequestHeaderFieldsTooLarge},
		"large body":      {input: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n", status: http.StatusRequestEntityTooLarge},
		"earlier version": {input: "GET / HTTP/1.0\r\nHost: a\r\n\r\n", status: http.StatusHTTPVersionNotSupported},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, nc := serve(t, func(context.Context, *carrier.Request) *carrier.Answer {
				t.Error("the request was handled")
				return text("")
			})
			send(t, nc, tt.input)
			got, err := read(bufio.NewReader(nc))
			is.NoErr(err)
			is.Equal(got.status, tt.status)
			is.True(got.last)
		})
	}
}

// TestDrain states that a stopping acceptor answers what comes over a kept connection and then closes it.
func TestDrain(t *testing.T) {
	is := is.New(t)
	a, nc := serve(t, func(_ context.Context, r *carrier.Request) *carrier.Answer { return text(r.Target) })
	br := bufio.NewReader(nc)
	send(t, nc, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	got, err := read(br)
	is.NoErr(err)
	is.True(!got.last)
	a.Drain()
	send(t, nc, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	got, err = read(br)
	is.NoErr(err)
	is.Equal(got.body, "/2")
	is.True(got.last)
	_, err = br.ReadByte()
	is.Equal(err, io.EOF)
}

// TestListenerClosed states that what runs goes on when no more connections are accepted.
func TestListenerClosed(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	began := make(chan struct{})
	closed := make(chan struct{})
	a := acceptor.New(handler(func(_ context.Context, r *carrier.Request) *carrier.Answer {
		close(began)
		<-closed
		return text(r.Target)
	}), limits)
	group := sync.WaitGroup{}
	served := error(nil)
	group.Go(func() { served = a.Serve(context.Background(), l) })
	nc, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	send(t, nc, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-began
	is.NoErr(l.Close())
	group.Wait()
	is.NoErr(served) // an error here would end all other parts of the node
	a.CloseIdle()
	close(closed)
	got, err := read(bufio.NewReader(nc))
	is.NoErr(err)
	is.Equal(got.body, "/1")
	is.NoErr(nc.Close())
	a.Wait()
}

// TestEarlyAnswer states that an answer before the end of the body closes the connection and reaches the caller.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	_, nc := serve(t, func(context.Context, *carrier.Request) *carrier.Answer { return text("early") })
	send(t, nc, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nsome")
	got, err := read(bufio.NewReader(nc))
	is.NoErr(err)
	is.Equal(got.body, "early")
	is.True(got.last)
}
