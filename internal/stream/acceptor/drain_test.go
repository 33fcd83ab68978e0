package acceptor_test

import (
	"bufio"
	"context"
	"io"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge/internal/stream/acceptor"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// TestDrainAnswersPipelinedRequests checks that each request which was handled gets its response when the acceptor
// drains, and that the last one announces the end of the connection.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	tests := map[string]struct {
		stop   func(a acceptor.Acceptor)
		closed []bool
	}{
		"draining":  {stop: acceptor.Acceptor.Drain, closed: []bool{false, false, true}},
		"finishing": {stop: acceptor.Acceptor.Finish, closed: []bool{false, false, true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			handled := make(chan struct{}, 3)
			release := make(chan struct{})
			a, nc := serve(t, func(_ context.Context, r *streamer.Request) *streamer.Response {
				handled <- struct{}{}
				<-release
				return textResponse(r.Target)
			})
			send(t, nc, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
			for range 3 {
				<-handled
			}
			tt.stop(a)
			close(release)
			br := bufio.NewReader(nc)
			for n, target := range []string{"/1", "/2", "/3"} {
				got, err := read(br)
				is.NoErr(err)
				is.Equal(got.body, target)
				is.Equal(got.closed, tt.closed[n])
			}
			_, err := br.ReadByte()
			is.Equal(err, io.EOF)
		})
	}
}

// TestNothingIsHandledBehindTheLastResponse checks that a request which crosses the response that ends its connection is
// not handled, since it would get no response.
func TestNothingIsHandledBehindTheLastResponse(t *testing.T) {
	tests := map[string]struct {
		first string
		stop  func(a acceptor.Acceptor)
		rest  string // sent after the first response was received
	}{
		"behind a request that closes":         {first: "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"},
		"half sent when the acceptor drains":   {first: "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\n", stop: acceptor.Acceptor.Drain, rest: "Host: a\r\n\r\n"},
		"half sent when the acceptor finishes": {first: "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\n", stop: acceptor.Acceptor.Finish, rest: "Host: a\r\n\r\n"},
		"sent after the acceptor finishes":     {first: "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n", stop: acceptor.Acceptor.Finish, rest: "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			handled := atomic.Int64{}
			began := make(chan struct{}, 2)
			release := make(chan struct{})
			a, nc := serve(t, func(_ context.Context, r *streamer.Request) *streamer.Response {
				handled.Add(1)
				began <- struct{}{}
				<-release
				return textResponse(r.Target)
			})
			send(t, nc, tt.first)
			<-began
			if tt.stop != nil {
				tt.stop(a)
			}
			time.Sleep(20 * time.Millisecond) // until the half of the second request was read
			close(release)
			br := bufio.NewReader(nc)
			got, err := read(br)
			is.NoErr(err)
			is.Equal(got.body, "/1")
			is.True(got.closed)
			send(t, nc, tt.rest)
			_, err = br.ReadByte()
			is.Equal(err, io.EOF)
			_ = nc.Close()
			a.Wait()
			is.Equal(handled.Load(), int64(1))
		})
	}
}

// TestFinishClosesIdleConnections checks that a connection without a request in flight is closed when a request arrives
// on it after Finish.
func TestFinishClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	handled := atomic.Int64{}
	a, nc := serve(t, func(_ context.Context, r *streamer.Request) *streamer.Response {
		handled.Add(1)
		return textResponse(r.Target)
	})
	a.Finish()
	send(t, nc, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	_, err := bufio.NewReader(nc).ReadByte()
	is.True(err != nil)
	is.True(!errors.Is(err, os.ErrDeadlineExceeded))
	a.Wait()
	is.Equal(handled.Load(), int64(0))
}
