package executor_test

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/executor"
	"github.com/chivegauge/chivegauge/internal/standin/rawserver"
	"github.com/matryer/is"
)

// sendRaw sends a call with the body to a backend server that sends the response.
func sendRaw(t *testing.T, res rawserver.Response, body []byte) (chivegauge.Response, *chivegauge.Refusal) {
	s, err := rawserver.Start(func(*http.Request) rawserver.Response { return res.WithFields("") })
	is.New(t).NoErr(err)
	defer s.Close()
	b := executor.NewBackend("http://"+s.Address, time.Now, 1, 1<<20)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c := call(1)
	c.Method = http.MethodPost
	c.Target = "/"
	c.Body = body
	return b.Send(ctx, c, "token")
}

// TestEarlyResponseEndsWhole guards against a part of a response that is taken for a whole one because the backend server
// resets the connection while the request is still written; each case is a race, so it is repeated.
func TestEarlyResponseEndsWhole(t *testing.T) {
	const (
		repetitions = 20
		uploadBytes = 16 << 20 // more than the sockets on the way hold
	)
	body := bytes.Repeat([]byte("x"), uploadBytes)
	for name, early := range rawserver.EarlyResponses() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range repetitions {
				response, refusal := sendRaw(t, early, body)
				switch {
				case refusal != nil:
					// The client of net/http gives up on a response if the request can't be written.
					is.True(early.Broken || early.End == rawserver.Reset || early.End == rawserver.HalfCloseAndReset)
					is.Equal(refusal.Run, chivegauge.MayHaveRun)
				case early.Broken:
					t.Fatalf("taken for a whole response of status %d with body %q", response.Status, response.Body)
				default:
					is.Equal(string(response.Body), early.Body)
				}
			}
		})
	}
}
