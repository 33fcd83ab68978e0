package executor

import (
	"net/http"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
)

const (
	// interruptedMax bounds the interrupted requests that are kept until it is known whether the backend server crashed;
	// it is above the number of slots.
	interruptedMax = 1024

	// interruptedRetention is how long interrupted requests are kept for that; if the backend server crashed, another
	// request finds its port closed within this time.
	interruptedRetention = 2 * time.Second
)

// evidence is what showed that the backend server crashed.
type evidence string

const (
	portClosed    evidence = "port closed"
	otherProcess  evidence = "report of another process"
	otherInstance evidence = "response of another backend server"
)

// interrupted holds the requests that were interrupted since the backend server last responded.
type interrupted struct {
	fingerprints []uint64
	last         time.Time
}

// recordInterrupted keeps a request whose connection closed before the response, because the backend server may have
// crashed.
func (e *executor) recordInterrupted(now time.Time, c chivegauge.Call, r *streamer.Request) {
	f := r.Fingerprint(c.Workspace, c.Route)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.interrupted.fingerprints) < interruptedMax {
		e.interrupted.fingerprints = append(e.interrupted.fingerprints, f)
	}
	e.interrupted.last = now
}

// recordCrash counts a crash of the backend server against the interrupted requests, if the last one was interrupted
// within interruptedRetention; e.mu is held.
func (e *executor) recordCrash(now time.Time, by evidence) {
	if len(e.interrupted.fingerprints) == 0 {
		return
	}
	age := now.Sub(e.interrupted.last)
	counted := age < interruptedRetention
	if counted {
		e.CrashTracker.RecordCrash(now, e.interrupted.fingerprints)
	}
	e.Log.Warn().Str("Instance", e.report.Instance).Int64("Born", e.report.StartedAtMs).Str("Evidence", string(by)).
		Int("Requests", len(e.interrupted.fingerprints)).Dur("AgeMs", age).Bool("Counted", counted).Msg("backend server crashed")
	e.interrupted = interrupted{}
}

// recordResponse clears the request, and the interrupted requests if the response shows that the backend server hasn't
// crashed: it was running when the request was sent, unless another backend server responded in its place.
func (e *executor) recordResponse(sent time.Time, response *streamer.Response, c chivegauge.Call, r *streamer.Request) {
	replaced := response.Status == http.StatusMisdirectedRequest
	if !replaced && !e.CrashTracker.Empty() {
		e.CrashTracker.Clear(time.Now(), r.Fingerprint(c.Workspace, c.Route))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case replaced:
		e.recordCrash(time.Now(), otherInstance)
	case sent.After(e.interrupted.last):
		e.interrupted = interrupted{}
	}
}
