package connector_test

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge/internal/stream/connector"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

const (
	attempt     = "Attempt"
	testTimeout = 10 * time.Second
)

// backend is a backend server that responds to each request with a function, and counts the requests that it has
// read.
type backend struct {
	address string
	mu      sync.Mutex
	reads   int
}

func start(t testing.TB, serve func(n int, r *http.Request, nc net.Conn) (keep bool)) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{
		address: l.Addr().String(),
	}
	group := sync.WaitGroup{}
	group.Go(func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() { b.serve(nc, serve) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		group.Wait()
	})
	return b
}

func (b *backend) serve(nc net.Conn, serve func(n int, r *http.Request, nc net.Conn) bool) {
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(testTimeout))
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.reads++
		n := b.reads
		b.mu.Unlock()
		if !serve(n, r, nc) {
			return
		}
	}
}

func connect(t testing.TB, b *backend) connector.Connector {
	c := connector.New(connector.Config{
		Address:         b.address,
		DialTimeout:     testTimeout,
		IdleTimeout:     testTimeout,
		AttemptHeader:   attempt,
		BodyBufferBytes: 1000,
	})
	t.Cleanup(c.CloseIdle)
	return c
}

func request(id string) *streamer.Request {
	return &streamer.Request{
		Method: http.MethodPost,
		Target: "/x",
		Host:   "a",
		Header: http.Header{
			attempt: {id},
		},
		Body:   bytes.NewReader([]byte("body")),
		Length: 4,
	}
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nAttempt: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"
}

func chunk(s string) string {
	return strings.ToUpper(string("0123456789abcdef"[len(s)])) + "\r\n" + s + "\r\n"
}

// TestResponses checks which responses are accepted for a request, and that a failed exchange reports the request as
// sent.
func TestResponses(t *testing.T) {
	tests := map[string]struct {
		response string
		body     string
		fails    bool
	}{
		"own":              {response: response("1", "mine"), body: "mine"},
		"foreign first":    {response: response("0", "theirs") + response("1", "mine"), body: "mine"},
		"interim first":    {response: "HTTP/1.1 102 Processing\r\n\r\n" + response("1", "mine"), body: "mine"},
		"no ID":            {response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", fails: true},
		"refusal no ID":    {response: "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nhi", body: "hi"},
		"ends early":       {response: "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 10\r\n\r\nhi", fails: true},
		"chunk ends early": {response: "HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("hi"), fails: true},
		"not HTTP":         {response: "\x00\x01garbage\r\n\r\n", fails: true},
		"nothing":          {response: "", fails: true},
		"ended by close":   {response: "HTTP/1.1 200 OK\r\nAttempt: 1\r\nConnection: close\r\n\r\nall of it", body: "all of it"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := start(t, func(_ int, r *http.Request, nc net.Conn) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(nc, tt.response)
				return false
			})
			res, err := connect(t, b).Exchange(context.Background(), request("1"))
			if tt.fails {
				failed := &connector.Error{}
				is.True(errors.As(err, &failed))
				is.True(failed.Sent)
				is.Equal(b.reads, 1) // a request is never sent twice
				return
			}
			is.NoErr(err)
			got, err := io.ReadAll(res.Body)
			is.NoErr(err)
			is.Equal(string(got), tt.body)
		})
	}
}

// TestConnectionReuse checks that an idle connection is reused, unless the peer closed it or sent unexpected data on
// it.
func TestConnectionReuse(t *testing.T) {
	tests := map[string]struct {
		extra string
		keep  bool
		dials uint64
	}{
		"used again": {keep: true, dials: 1},
		"closed":     {keep: false, dials: 2},
		"extra":      {extra: response("0", "theirs"), keep: true, dials: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := start(t, func(_ int, r *http.Request, nc net.Conn) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(nc, response(r.Header.Get(attempt), "ok")+tt.extra)
				return tt.keep
			})
			c := connect(t, b)
			for _, id := range []string{"1", "2"} {
				res, err := c.Exchange(context.Background(), request(id))
				is.NoErr(err)
				is.Equal(res.Header.Get(attempt), id)
				time.Sleep(20 * time.Millisecond) // wait until the close or the extra bytes have arrived
			}
			is.Equal(c.Dials(), tt.dials)
		})
	}
}

// TestRepeatedRefusal checks that a refusal of an earlier request that the peer sends once more on a kept connection is
// not taken for the response to the next request.
func TestRepeatedRefusal(t *testing.T) {
	refusal := func(header string) string {
		return "HTTP/1.1 503 Busy\r\n" + header + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	}
	tests := map[string]struct {
		refusal string
		fails   bool
	}{
		"with the ID of the earlier request": {refusal: refusal("Attempt: 1\r\n")},
		"without an ID":                      {refusal: refusal(""), fails: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := start(t, func(n int, r *http.Request, nc net.Conn) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(nc, tt.refusal)
				if n > 1 {
					_, _ = io.WriteString(nc, response(r.Header.Get(attempt), "ran"))
				}
				return true
			})
			c := connect(t, b)
			first, err := c.Exchange(context.Background(), request("1"))
			is.NoErr(err)
			is.Equal(first.Status, http.StatusServiceUnavailable)
			second, err := c.Exchange(context.Background(), request("2"))
			is.Equal(c.Dials(), uint64(1))
			is.Equal(err != nil, tt.fails)
			if !tt.fails {
				is.Equal(second.Status, http.StatusOK)
				return
			}
			failed := &connector.Error{}
			is.True(errors.As(err, &failed))
			is.True(failed.Sent) // the request may have run
		})
	}
}

// TestEndlessResponse guards against a backend server that fills the memory of the node: one that sends bytes without end,
// in a head, in the framing of a body, or in the body of a response to another request, is given up on.
func TestEndlessResponse(t *testing.T) {
	const endBytes = 64 << 20 // well above what is read and what the sockets buffer
	tests := map[string]string{
		"status line":     "HTTP/1.1 200 ",
		"no status line":  "",
		"header":          "HTTP/1.1 200 OK\r\nX: ",
		"headers":         "HTTP/1.1 200 OK\r\n",
		"body of another": "HTTP/1.1 200 OK\r\nAttempt: 0\r\n\r\n",
		"interim answers": "",
		"chunk size":      "HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"chunk extension": "HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
		"extensions":      "HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"trailer":         "HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
		"trailers":        "HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
	}
	fills := map[string]string{
		"headers":         "X: y\r\n",
		"interim answers": "HTTP/1.1 102 Processing\r\n\r\n",
		"chunk size":      "0",
		"extensions":      "1;" + strings.Repeat("e", 1000) + "\r\nx\r\n",
		"trailers":        "X: y\r\n",
	}
	for name, head := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fill := strings.Repeat(cmp.Or(fills[name], "xxxxxx"), 1<<12)
			written := make(chan int, 1)
			b := start(t, func(_ int, r *http.Request, nc net.Conn) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				sent, err := io.WriteString(nc, head)
				for err == nil && sent < endBytes {
					n := 0
					n, err = io.WriteString(nc, fill)
					sent += n
				}
				written <- sent
				return false
			})
			_, err := connect(t, b).Exchange(context.Background(), request("1"))
			failed := &connector.Error{}
			is.True(errors.As(err, &failed))
			is.True(failed.Sent)
			is.True(<-written < endBytes)
		})
	}
}

// TestDialFailure checks that an exchange that can't connect reports the request as not sent.
func TestDialFailure(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	c := connector.New(connector.Config{
		Address:     l.Addr().String(),
		DialTimeout: testTimeout,
	})
	_, err = c.Exchange(context.Background(), request("1"))
	failed := &connector.Error{}
	is.True(errors.As(err, &failed))
	is.True(!failed.Sent)
}

// TestCancellation checks that a connection is closed when the context ends, so that the backend server can stop the
// request.
func TestCancellation(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	b := start(t, func(_ int, r *http.Request, nc net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = nc.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := connect(t, b).Exchange(ctx, request("1"))
	is.True(err != nil)
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Error("the connection is still open after the context ended")
	}
}

// TestEarlyResponse checks that a connection is not reused if the response came before the whole request body was sent.
func TestEarlyResponse(t *testing.T) {
	is := is.New(t)
	b := start(t, func(_ int, r *http.Request, nc net.Conn) bool {
		_, _ = io.WriteString(nc, response(r.Header.Get(attempt), "early"))
		_, _ = io.Copy(io.Discard, r.Body)
		return true
	})
	c := connect(t, b)
	body, w := io.Pipe()
	r := request("1")
	r.Body = body
	r.Length = 100000
	res, err := c.Exchange(context.Background(), r)
	is.NoErr(err)
	is.Equal(res.Status, http.StatusOK)
	is.NoErr(w.Close())
	_, err = c.Exchange(context.Background(), request("2"))
	is.NoErr(err)
	is.Equal(c.Dials(), uint64(2))
}
