package validator_test

import (
	"net/http"
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
