package dialer_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/chivegauge/chivegauge/internal/cluster/dialer"
	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
	"github.com/matryer/is"
)

// TestEndlessResponse guards against a node, or whoever has its address now, that fills the memory of another one with a
// response without end.
func TestEndlessResponse(t *testing.T) {
	const sentMax = 64 << 20 // well above what is read and what the sockets buffer
	for name, status := range map[string]int{"response": http.StatusOK, "error": http.StatusInternalServerError} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := 0
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/protobuf")
				w.WriteHeader(status)
				fill := []byte(strings.Repeat("x", 1<<16))
				for err := error(nil); err == nil && sent < sentMax; {
					n := 0
					n, err = w.Write(fill)
					sent += n
				}
			}))
			control := dialer.New(nil).Control(strings.TrimPrefix(s.URL, "http://"))
			_, err := control.Fetch(t.Context(), &messenger.FetchRequest{})
			is.True(err != nil)
			s.Close()
			is.True(sent < sentMax)
		})
	}
}
