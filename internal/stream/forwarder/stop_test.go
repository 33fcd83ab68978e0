package forwarder_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/matryer/is"
)

// TestStopRefusesWhatWouldNotEnd checks which requests are sent while the node stops, and with which deadline.
func TestStopRefusesWhatWouldNotEnd(t *testing.T) {
	tests := map[string]struct {
		left   time.Duration // until the end of the node
		budget string        // of the caller, in milliseconds
		known  bool          // a request on the route was answered before
		sends  int
		want   time.Duration
	}{
		"ends by its deadline":           {left: 2 * time.Second, budget: "1000", sends: 1, want: time.Second},
		"route not known":                {left: 500 * time.Millisecond, budget: "1000"},
		"route known for short requests": {left: 500 * time.Millisecond, budget: "1000", known: true, sends: 1, want: 500 * time.Millisecond},
		"after the end":                  {left: -time.Millisecond, budget: "1000", known: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newFakeParts(respond(http.StatusOK))
			f := p.forwarder(0)
			if tt.known {
				f.Handle(context.Background(), request("/read/1", "k1"))
				p.calls = nil
			}
			r := request("/read/1", "k1")
			r.Header.Set(chivegauge.HeaderBudgetMs, tt.budget)
			f.BeginStop(r.Arrived.Add(tt.left))
			response := f.Handle(context.Background(), r)
			is.Equal(len(p.calls), tt.sends)
			if tt.sends == 0 {
				is.Equal(response.Status, http.StatusServiceUnavailable)
				is.True(response.Header.Get("Retry-After") != "")
				return
			}
			is.Equal(p.calls[0].Deadline.Sub(r.Arrived), tt.want)
		})
	}
}
