package executor

import (
	"net/http"
	"time"

	"github.com/chivegauge/chivegauge"
)

// leavingValue is the value of the header that marks the responses of a leaving backend server.
const leavingValue = "1"

// Publisher publishes the state of the backend server to the other nodes without blocking.
type Publisher interface {
	PublishReport(r Report)
}

// applyAnnouncements applies what a process of the backend server announces about itself in the header of a response:
// the requests per second that it takes, and that it is leaving. A limit that can't be parsed leaves the last one
// unchanged.
func (e *executor) applyAnnouncements(now time.Time, h http.Header, from Report) {
	text := h.Get(e.Names.RateLimit)
	if r, ok := chivegauge.ParseRateLimit(text); ok {
		e.applyRate(r, from)
	} else {
		e.Log.Warn().Str("Instance", from.Instance).Str("Limit", text).Msg("limit of a backend server not understood")
	}
	if h.Get(e.Names.Leaving) == leavingValue && e.MarkLeaving(now, from.Instance, from.StartedAtMs) {
		report, _ := e.LastReport()
		e.Publisher.PublishReport(report)
	}
}

// applyRate limits the rate at which requests are admitted, if the process that announced it still runs.
func (e *executor) applyRate(r chivegauge.RateLimit, from Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r == e.rate || !e.report.SameProcess(from) {
		return
	}
	if r.Limited != e.rate.Limited {
		e.StateLog.Info().Str("Instance", from.Instance).Bool("Limited", r.Limited).Float64("PerSecond", r.PerSecond).Msg("limit of a backend server changed")
	}
	e.setRate(r)
}

// setRate sets or removes the limit; e.mu is held.
func (e *executor) setRate(r chivegauge.RateLimit) {
	e.rate = r
	if !r.Limited {
		e.Limiter.RemoveRate()
		return
	}
	e.Limiter.SetRate(r.PerSecond)
}
