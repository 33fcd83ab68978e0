package storer_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge/internal/base/storer"
	"github.com/chivegauge/chivegauge/internal/standin/rawserver"
	"github.com/matryer/is"
)

// TestBrokenResponses guards against a response that breaks the rules of HTTP and is taken for an object.
func TestBrokenResponses(t *testing.T) {
	for name, res := range rawserver.Responses() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, err := rawserver.Start(func(*http.Request) rawserver.Response { return res.WithFields("Version: 7\r\n") })
			is.NoErr(err)
			defer server.Close()
			o, err := storer.New("http://"+server.Address, 2*time.Second, 0).Get(t.Context(), "key")
			if res.Broken || !res.OK() {
				is.True(err != nil)
				return
			}
			is.NoErr(err)
			is.Equal(string(o.Value), res.Body)
		})
	}
}
