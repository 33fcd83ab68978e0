package forwarder

import (
	"time"

	"github.com/chivegauge/chivegauge"
)

// BeginStop refuses further requests that are not expected to end before the end.
func (f *forwarder) BeginStop(end time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finisher.Stop(end)
}

// admitBeforeStop returns the call with a deadline before the end of the node, or a refusal if it is not expected to end
// in time.
func (f *forwarder) admitBeforeStop(now time.Time, c chivegauge.Call) (chivegauge.Call, *chivegauge.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	deadline, ok := f.finisher.Admit(now, c.Route, c.Deadline)
	if !ok {
		return c, chivegauge.Refuse(chivegauge.CodeDraining, "the node stops before the request would have ended").WithRetryAfter(wholeMillis(refusalRetryAfter))
	}
	c.Deadline = deadline
	return c, nil
}

// observeTime records how long a request on the route took.
func (f *forwarder) observeTime(route string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finisher.Observe(route, took)
}
