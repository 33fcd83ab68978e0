package connector_test

import (
	"context"
	"io"
	"testing"

	"github.com/chivegauge/chivegauge/internal/standin/rawserver"
	"github.com/matryer/is"
)

// TestBrokenResponses guards against a response that breaks the rules of HTTP and is taken for a valid one; the valid ones
// of the table are still accepted.
func TestBrokenResponses(t *testing.T) {
	for name, res := range rawserver.Responses() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := connect(t, startRaw(t, res))
			status, body, err := exchangeWhole(c)
			if res.Broken {
				if err == nil {
					t.Errorf("taken for a response of status %d with body %.300q", status, body)
				}
				return
			}
			is.NoErr(err)
			is.Equal(body, res.Body)
		})
	}
}

// exchangeWhole returns the status and the body of the response, or the error that ended either.
func exchangeWhole(c exchanger) (int, string, error) {
	response, err := c.Exchange(context.Background(), brokenRequest())
	if err != nil {
		return 0, "", err
	}
	defer response.Release()
	body, err := io.ReadAll(response.Body)
	return response.Status, string(body), err
}

// TestReuseByVersion checks which connections are used again behind a whole response: by default those of HTTP/1.1 and
// later.
func TestReuseByVersion(t *testing.T) {
	for name, dials := range map[string]uint64{"length": 1, "version 1.2": 1, "version 1.0": 2, "version 1.0, kept open": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := connect(t, startRaw(t, rawserver.Responses()[name]))
			for range 2 {
				response, err := c.Exchange(context.Background(), brokenRequest())
				is.NoErr(err)
				response.Release()
			}
			is.Equal(c.Dials(), dials)
		})
	}
}
