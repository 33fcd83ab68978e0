package dialer_test

import (
	"net/http"
	"testing"

	"github.com/chivegauge/chivegauge/internal/cluster/dialer"
	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
	"github.com/chivegauge/chivegauge/internal/standin/rawserver"
	"github.com/matryer/is"
)

// unknownField is a message of five bytes with one field, which the receiver doesn't know.
const unknownField = "\x7a\x03abc"

// TestBrokenResponses guards against a response that breaks the rules of HTTP and is taken for the message of a node.
func TestBrokenResponses(t *testing.T) {
	for name, res := range rawserver.Responses() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, err := rawserver.Start(func(*http.Request) rawserver.Response {
				return res.WithFields("Content-Type: application/protobuf\r\n").WithBody(unknownField)
			})
			is.NoErr(err)
			defer server.Close()
			_, err = dialer.New(nil).Control(server.Address).Fetch(t.Context(), &messenger.FetchRequest{})
			is.Equal(err != nil, res.Broken || !res.OK())
		})
	}
}
