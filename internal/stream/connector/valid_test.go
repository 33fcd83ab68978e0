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
			response, err := c.Exchange(context.Background(), brokenRequest())
			if res.Broken {
				if err == nil {
					body, _ := io.ReadAll(response.Body)
					t.Errorf("taken for a response of status %d with body %q", response.Status, body)
				}
				return
			}
			is.NoErr(err)
			defer response.Release()
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), res.Body)
		})
	}
}
