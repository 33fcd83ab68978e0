package executor

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// leavingValue is the value of the header that marks the responses of a leaving backend server.
const leavingValue = "1"

// Publisher publishes the state of the backend server to the other nodes without blocking.
type Publisher interface {
	PublishReport(r Report)
}

// announcedRate is the limit that the backend server announced last, in requests per second.
type announcedRate struct {
	limited   bool
	perSecond float64
}

// parseRate parses the value of the header with the limit; without a value there is no limit.
func parseRate(text string) (announcedRate, bool) {
	if text == "" {
		return announcedRate{}, true
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || perSecond < 0 || math.IsInf(perSecond, 0) || math.IsNaN(perSecond) {
		return announcedRate{}, false
	}
	return announcedRate{
		limited:   true,
		perSecond: perSecond,
	}, true
}

// applyAnnouncements applies what a process of the backend server announces about itself in the header of a response:
// the requests per second that it takes, and that it is leaving. A limit that can't be parsed leaves the last one
// unchanged.
func (e *executor) applyAnnouncements(now time.Time, h http.Header, from Report) {
	text := h.Get(e.Names.RateLimit)
	if r, ok := parseRate(text); ok {
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
func (e *executor) applyRate(r announcedRate, from Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r == e.rate || !e.report.SameProcess(from) {
		return
	}
	if r.limited != e.rate.limited {
		e.StateLog.Info().Str("Instance", from.Instance).Bool("Limited", r.limited).Float64("PerSecond", r.perSecond).Msg("limit of a backend server changed")
	}
	e.setRate(r)
}

// setRate sets or removes the limit; e.mu is held.
func (e *executor) setRate(r announcedRate) {
	e.rate = r
	if !r.limited {
		e.Limiter.RemoveRate()
		return
	}
	e.Limiter.SetRate(r.perSecond)
}
