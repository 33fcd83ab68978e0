package assembler_test

import (
	"testing"

	"github.com/chivegauge/chivegauge/internal/standin/rawserver"
)

// TestBrokenResponsesReachNoCaller guards against a response that breaks the rules of HTTP and is passed on.
func TestBrokenResponsesReachNoCaller(t *testing.T) {
	forEachResponse(t, rawserver.Responses(), func(t *testing.T, res rawserver.Response, send func(body string) (int, string, error)) {
		status, body, err := send("")
		checkResponse(t, res, status, body, err)
	})
}
