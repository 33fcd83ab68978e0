package executor_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/matryer/is"
)

// TestStopRefusesWhatWouldNotEnd checks which requests of other nodes are sent to the backend server while the node stops.
func TestStopRefusesWhatWouldNotEnd(t *testing.T) {
	tests := map[string]struct {
		left  time.Duration // until the end of the node
		known bool          // a request on the route was answered before
		sent  int
	}{
		"ends by its deadline":           {left: 2 * time.Minute, sent: 1},
		"route not known":                {left: time.Second},
		"route known for short requests": {left: time.Second, known: true, sent: 1},
		"after the end":                  {left: -time.Millisecond, known: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &backend{
				respond: status(http.StatusOK, http.Header{}),
			}
			e := newExecutor(b)
			e.ApplyReport(time.Now(), report("i-1", 100, 1))
			if tt.known {
				e.Run(context.Background(), call(), request())
				b.sent = nil
			}
			e.BeginStop(time.Now().Add(tt.left))
			response := e.Run(context.Background(), call(), request())
			is.Equal(len(b.sent), tt.sent)
			if tt.sent == 0 {
				is.Equal(response.Refusal.Code, chivegauge.CodeDraining)
				is.Equal(response.Refusal.Run, chivegauge.NotRun)
			}
		})
	}
}
