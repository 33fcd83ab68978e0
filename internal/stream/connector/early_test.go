package connector_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/chivegauge/chivegauge/internal/standin/rawserver"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/matryer/is"
)

// uploadBytes is more than the sockets on the way hold.
const uploadBytes = 16 << 20

// startRaw starts a backend server that sends the response to each request.
func startRaw(t testing.TB, res rawserver.Response) *backend {
	s, err := rawserver.Start(func(r *http.Request) rawserver.Response {
		return res.WithFields(attempt + ": " + r.Header.Get(attempt) + "\r\n")
	})
	is.New(t).NoErr(err)
	t.Cleanup(s.Close)
	return &backend{
		address: s.Address,
	}
}

// TestEarlyResponseEndsWhole guards against a part of a response that is taken for a whole one because the backend server
// resets the connection while the request is still written; each case is a race, so it is repeated.
func TestEarlyResponseEndsWhole(t *testing.T) {
	const repetitions = 20
	for name, early := range rawserver.EarlyResponses() {
		t.Run(name, func(t *testing.T) {
			b := startRaw(t, early)
			for range repetitions {
				response, body, err := upload(connect(t, b))
				if early.Broken {
					if err == nil {
						t.Fatalf("taken for a whole response of status %d with body %q", response.Status, body)
					}
					continue
				}
				is.New(t).NoErr(err)
				is.New(t).Equal(body, early.Body)
			}
		})
	}
}

// exchanger is the part of a connector that sends requests.
type exchanger interface {
	Exchange(ctx context.Context, r *streamer.Request) (*streamer.Response, error)
}

// upload sends a request with a long body, and returns the response and its body.
func upload(c exchanger) (*streamer.Response, string, error) {
	r := request("1")
	r.Body = io.MultiReader(strings.NewReader(strings.Repeat("x", uploadBytes)))
	r.Length = uploadBytes
	response, err := c.Exchange(context.Background(), r)
	if err != nil {
		return nil, "", err
	}
	defer response.Release()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}
