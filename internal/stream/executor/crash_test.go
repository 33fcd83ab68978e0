package executor_test

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/stream/connector"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/matryer/is"
)

// refused fails as a connection to a closed port.
func refused(context.Context) (*streamer.Response, error) {
	return nil, &connector.Error{
		Cause: syscall.ECONNREFUSED,
	}
}

// TestCrash checks which requests are counted as running during a crash of the backend server.
func TestCrash(t *testing.T) {
	ok := status(http.StatusOK, http.Header{})
	tests := map[string]struct {
		exchanges []func(context.Context) (*streamer.Response, error)
		crashed   int // requests counted
	}{
		"interrupted, then closed":               {exchanges: []func(context.Context) (*streamer.Response, error){fails(true), fails(true), refused}, crashed: 1},
		"interrupted once more after the crash":  {exchanges: []func(context.Context) (*streamer.Response, error){fails(true), refused, fails(true), refused}, crashed: 1},
		"interrupted, then answered":             {exchanges: []func(context.Context) (*streamer.Response, error){fails(true), ok, refused}},
		"interrupted, then not reached":          {exchanges: []func(context.Context) (*streamer.Response, error){fails(true), fails(false)}},
		"interrupted, then another in its place": {exchanges: []func(context.Context) (*streamer.Response, error){fails(true), status(http.StatusMisdirectedRequest, http.Header{}), ok}, crashed: 1},
		"closed, nothing interrupted":            {exchanges: []func(context.Context) (*streamer.Response, error){ok, refused}},
		"interrupted, then restarted":            {exchanges: []func(context.Context) (*streamer.Response, error){fails(true)}, crashed: 1},
		"answered, then restarted":               {exchanges: []func(context.Context) (*streamer.Response, error){ok}},
		"interrupted, closed, restarted":         {exchanges: []func(context.Context) (*streamer.Response, error){fails(true), refused}, crashed: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &backend{}
			e := newExecutor(b)
			e.ApplyReport(time.Now(), report("i-1", 100, 1))
			for _, respond := range tt.exchanges {
				b.respond = respond
				e.Run(context.Background(), call(), request())
			}
			if !strings.Contains(name, "answered") && !strings.Contains(name, "not reached") {
				e.ApplyReport(time.Now(), report("i-1", 200, 1))
			}
			is.Equal(len(b.crashed), tt.crashed)
		})
	}
}

// TestCrashNoticedWithoutTraffic checks that a crash is counted even if no other request is sent to the backend server.
func TestCrashNoticedWithoutTraffic(t *testing.T) {
	tests := map[string]struct {
		connect error
		report  time.Duration // when the next process reports, 0 for never
		crashed int
	}{
		"port closed":                         {connect: syscall.ECONNREFUSED, crashed: 1},
		"port closed, reported later":         {connect: syscall.ECONNREFUSED, report: 6 * time.Second, crashed: 1},
		"port open":                           {},
		"port open, process reported later":   {report: 6 * time.Second, crashed: 1},
		"no response, process reported later": {connect: syscall.ETIMEDOUT, report: 6 * time.Second, crashed: 1},
		"process reported much later":         {report: time.Minute},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := &backend{
					respond: fails(true),
					connect: tt.connect,
				}
				e := newExecutor(b)
				e.ApplyReport(time.Now(), report("i-1", 100, 1))
				e.Run(context.Background(), call(), request())
				time.Sleep(2 * time.Second)
				if tt.report > 0 {
					time.Sleep(tt.report - 2*time.Second)
					e.ApplyReport(time.Now(), report("i-2", 200, 1))
				}
				synctest.Wait()
				is.Equal(len(b.crashed), tt.crashed)
			})
		})
	}
}

// waits responds when the context ends, as a backend server that still runs the request.
func waits(ctx context.Context) (*streamer.Response, error) {
	<-ctx.Done()
	return nil, &connector.Error{
		Sent:  true,
		Cause: os.ErrDeadlineExceeded,
	}
}

// TestAbandonedRequestsAreCounted guards against a request that crashes backend servers and is never refused, because its
// caller disconnects before each crash: the backend server may run it up to its deadline, whatever else it responds to.
func TestAbandonedRequestsAreCounted(t *testing.T) {
	const leftAfter = 250 * time.Millisecond
	ok := status(http.StatusOK, http.Header{})
	tests := map[string]struct {
		exchange func(context.Context) (*streamer.Response, error)
		budget   time.Duration
		answered []time.Duration // other requests that it runs, after the caller left
		leaving  bool
		closed   bool          // whether its port is closed when it is gone
		after    time.Duration // when it is gone, after the caller left
		counted  int
	}{
		"port closed":                        {exchange: waits, closed: true, after: 150 * time.Millisecond, counted: 1},
		"next process reports":               {exchange: waits, after: 2 * time.Second, counted: 1},
		"it responds to other requests":      {exchange: waits, answered: []time.Duration{10 * time.Millisecond, time.Second}, after: 2 * time.Second, counted: 1},
		"gone shortly after the deadline":    {exchange: waits, after: 9 * time.Second, counted: 1},
		"gone long after the deadline":       {exchange: waits, after: 15 * time.Second},
		"it responds after the deadline":     {exchange: waits, answered: []time.Duration{4 * time.Second}, after: 5 * time.Second},
		"the deadline passed":                {exchange: waits, budget: 100 * time.Millisecond, after: 2 * time.Second, counted: 1},
		"the backend server was leaving":     {exchange: waits, leaving: true, after: 2 * time.Second},
		"the request was never sent":         {exchange: fails(false), after: 2 * time.Second},
		"left in the middle of its response": {exchange: streams(os.ErrDeadlineExceeded), after: 2 * time.Second, counted: 1},
		"left before its response was read":  {exchange: streams(nil), after: 2 * time.Second, counted: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := &backend{
					respond: tt.exchange,
				}
				e := newExecutor(b)
				e.ApplyReport(time.Now(), report("i-1", 100, 1))
				c := call()
				c.Deadline = time.Now().Add(cmp.Or(tt.budget, 3*time.Second))
				ctx, cancel := context.WithTimeout(t.Context(), leftAfter)
				defer cancel()
				response := e.Run(ctx, c, request())
				if response.Body != nil {
					_, _ = response.Body.Read(make([]byte, 1))
					_, _ = response.Body.Read(make([]byte, 1))
				}
				response.Release()
				left := time.Now()
				b.respond = ok
				for _, at := range tt.answered {
					time.Sleep(time.Until(left.Add(at)))
					e.Run(t.Context(), call(), request()).Release()
				}
				if tt.leaving {
					e.MarkLeaving(time.Now(), "i-1", 100)
				}
				time.Sleep(time.Until(left.Add(tt.after)))
				if tt.closed {
					b.respond = refused
					e.Run(t.Context(), call(), request()).Release()
				}
				e.ApplyReport(time.Now(), report("i-1", 200, 1))
				synctest.Wait()
				is.Equal(len(b.crashed), tt.counted)
			})
		})
	}
}

// streams returns a response whose body is streamed and ends with the error.
func streams(end error) func(context.Context) (*streamer.Response, error) {
	return func(context.Context) (*streamer.Response, error) {
		return &streamer.Response{
			Status: http.StatusOK,
			Header: http.Header{},
			Body:   io.NopCloser(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(end))),
			Length: -1,
		}, nil
	}
}

// TestClearsOnlyCompletedRequests checks which responses clear a request against which crashes are counted, and that a
// crash in the middle of a response is counted.
func TestClearsOnlyCompletedRequests(t *testing.T) {
	tests := map[string]struct {
		respond func(context.Context) (*streamer.Response, error)
		cleared int
		crashed int
	}{
		"completed":                  {respond: status(http.StatusOK, http.Header{}), cleared: 1},
		"not found":                  {respond: status(http.StatusNotFound, http.Header{}), cleared: 1},
		"reported as not run":        {respond: status(http.StatusServiceUnavailable, http.Header{"Chivegauge-Not-Run": {"1"}})},
		"too many, not run":          {respond: status(http.StatusTooManyRequests, http.Header{"Chivegauge-Not-Run": {"1"}})},
		"another backend server":     {respond: status(http.StatusMisdirectedRequest, http.Header{})},
		"failed":                     {respond: status(http.StatusInternalServerError, http.Header{})},
		"streamed to its end":        {respond: streams(io.EOF), cleared: 1},
		"streamed, then interrupted": {respond: streams(io.ErrUnexpectedEOF), crashed: 1},
		"streamed, then cancelled":   {respond: streams(os.ErrDeadlineExceeded)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := &backend{
					respond: tt.respond,
					connect: syscall.ECONNREFUSED,
				}
				e := newExecutor(b)
				e.ApplyReport(time.Now(), report("i-1", 100, 1))
				response := e.Run(context.Background(), call(), request())
				if response.Body != nil {
					_, _ = io.Copy(io.Discard, response.Body)
				}
				response.Release()
				time.Sleep(time.Second)
				synctest.Wait()
				is.Equal(len(b.survived), tt.cleared)
				is.Equal(len(b.crashed), tt.crashed)
			})
		})
	}
}

// TestQuarantined checks that a request is refused as not run after backend servers crashed while they ran it.
func TestQuarantined(t *testing.T) {
	is := is.New(t)
	b := &backend{
		respond: status(http.StatusOK, http.Header{}),
		refuses: true,
	}
	e := newExecutor(b)
	e.ApplyReport(time.Now(), report("i-1", 100, 1))
	response := e.Run(context.Background(), call(), request())
	is.Equal(response.Refusal.Code, chivegauge.CodeQuarantined)
	is.Equal(response.Refusal.Run, chivegauge.NotRun)
	is.Equal(len(b.sent), 0)
	is.Equal(e.Run(context.Background(), call().WithTrial(), request()).Refusal, nil)
	is.Equal(len(b.survived), 1)
	b.refuses = false
	is.Equal(e.Run(context.Background(), call(), request()).Refusal, nil)
	is.Equal(len(b.survived), 2)
}

// TestQuarantinedWhileQueued checks that a request is refused if it is quarantined while it waits for a slot.
func TestQuarantinedWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &backend{
			respond: streams(io.EOF),
		}
		e := newExecutor(b)
		e.ApplyReport(time.Now(), report("i-1", 100, 1))
		first := e.Run(context.Background(), call(), request())
		e.Run(context.Background(), call(), request())
		waiting := make(chan *streamer.Response, 1)
		group := sync.WaitGroup{}
		group.Go(func() { waiting <- e.Run(context.Background(), call(), request()) })
		synctest.Wait()
		b.refuses = true
		first.Release()
		response := <-waiting
		is.True(response.Refusal != nil)
		is.Equal(response.Refusal.Code, chivegauge.CodeQuarantined)
		is.Equal(len(b.sent), 2)
		group.Wait()
	})
}
