package executor_test

import (
	"testing"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/standin/rawserver"
	"github.com/matryer/is"
)

// TestBrokenResponses guards against a response that breaks the rules of HTTP and is taken for a valid one.
func TestBrokenResponses(t *testing.T) {
	for name, res := range rawserver.Responses() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response, refusal := sendRaw(t, res, nil)
			if !res.Broken {
				is.Equal(refusal, nil)
				is.Equal(string(response.Body), res.Body)
				return
			}
			if refusal == nil {
				t.Fatalf("taken for a response of status %d with body %q", response.Status, response.Body)
			}
			is.Equal(refusal.Run, chivegauge.MayHaveRun)
		})
	}
}
