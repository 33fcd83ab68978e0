package validator_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/chivegauge/chivegauge/internal/base/validator"
	"github.com/chivegauge/chivegauge/internal/standin/rawserver"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestConnectionIsHandedOn guards against a request that takes the head of the one before it on its connection, or loses
// its own to it: behind a response without a body, a connection is used again before the response is returned.
func TestConnectionIsHandedOn(t *testing.T) {
	const (
		clients  = 8
		requests = 2000
	)
	is := is.New(t)
	empty := rawserver.Response{Text: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}
	server, err := rawserver.Start(func(*http.Request) rawserver.Response { return empty })
	is.NoErr(err)
	defer server.Close()
	client := &http.Client{
		Transport: validator.NewTransport(&http.Transport{
			MaxConnsPerHost:     2,
			MaxIdleConnsPerHost: 2,
		}),
	}
	group := errgroup.Group{}
	for range clients {
		group.Go(func() error {
			for range requests {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Address, http.NoBody)
				if err != nil {
					return err
				}
				res, err := client.Do(req)
				if err != nil {
					return err
				}
				if err := res.Body.Close(); err != nil {
					return err
				}
			}
			return nil
		})
	}
	is.NoErr(group.Wait())
}

// TestRequestIsSentOnce guards against a request that the HTTP client sends again by itself after its connection, which was
// used before, was cut off: the caller would not know that the first one may have had another response.
func TestRequestIsSentOnce(t *testing.T) {
	tests := map[string]struct {
		method string
		key    string
	}{
		"GET":                          {method: http.MethodGet},
		"HEAD":                         {method: http.MethodHead},
		"OPTIONS":                      {method: http.MethodOptions},
		"DELETE":                       {method: http.MethodDelete},
		"DELETE with a key":            {method: http.MethodDelete, key: "k"},
		"GET with a key of its caller": {method: http.MethodGet, key: "k"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			requests := atomic.Int64{}
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.ContentLength != 0 || r.Method != tt.method {
					t.Errorf("%s with a body of %d bytes", r.Method, r.ContentLength)
				}
				if requests.Add(1) == 2 {
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			client := &http.Client{
				Transport: validator.NewTransport(&http.Transport{}),
			}
			send := func() error {
				req, err := http.NewRequestWithContext(t.Context(), tt.method, server.URL, http.NoBody)
				is.NoErr(err)
				if tt.key != "" {
					req.Header.Set("Idempotency-Key", tt.key)
				}
				res, err := client.Do(req)
				if err != nil {
					return err
				}
				return res.Body.Close()
			}
			is.NoErr(send())
			is.True(send() != nil)
			is.Equal(requests.Load(), int64(2))
			is.NoErr(send())
		})
	}
}
