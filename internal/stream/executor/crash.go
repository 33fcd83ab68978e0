package executor

import (
	"context"
	"io"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/go-faster/errors"
)

const (
	// interruptedMax bounds the interrupted requests that are kept until it is known whether the backend server crashed;
	// it is above the number of slots.
	interruptedMax = 1024

	// interruptedRetention is how long interrupted requests are kept for that; if the backend server crashed and its
	// closed port went unnoticed, the next process reports within this time.
	interruptedRetention = 10 * time.Second

	// probeTimeout bounds one connection of a probe.
	probeTimeout = 400 * time.Millisecond
)

// probeDelays are the times before each connection of a probe; the first allows for a process that is still exiting.
var probeDelays = []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond}

// evidence is what showed that the backend server crashed.
type evidence string

const (
	portClosed    evidence = "port closed"
	otherProcess  evidence = "report of another process"
	otherInstance evidence = "response of another backend server"
)

// checkQuarantine returns a refusal if backend servers crashed while they ran the request, unless it is on trial.
func (e *executor) checkQuarantine(now time.Time, c chivegauge.Call, r *streamer.Request) *chivegauge.Refusal {
	if c.Trial || e.CrashTracker.Empty() || !e.CrashTracker.Quarantined(now, r.Fingerprint(c.Workspace, c.Route)) {
		return nil
	}
	return chivegauge.Refuse(chivegauge.CodeQuarantined, "backend servers died while they ran this request")
}

// interrupted holds the requests that were interrupted since the backend server last responded, and those for which a
// crash of its current process was counted already.
type interrupted struct {
	fingerprints []uint64
	last         time.Time
	counted      map[uint64]bool
}

// withoutRequests returns the state without interrupted requests.
func (i interrupted) withoutRequests() interrupted {
	return interrupted{
		counted: i.counted,
	}
}

// uncounted returns each interrupted request once, without those for which the crash was counted already.
func (i interrupted) uncounted() []uint64 {
	list := make([]uint64, 0, len(i.fingerprints))
	for _, f := range i.fingerprints {
		if !i.counted[f] && !slices.Contains(list, f) {
			list = append(list, f)
		}
	}
	return list
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
	if !e.probing {
		e.probing = true
		e.group.Go(e.probe)
	}
}

// probe connects to the backend server after an interruption, and records a crash if the port is closed: other requests
// may avoid a backend server that fails, so that none of them would notice.
func (e *executor) probe() {
	defer e.endProbe()
	for _, delay := range probeDelays {
		time.Sleep(delay)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		err := e.Backend.Connect(ctx)
		cancel()
		if err == nil {
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			e.recordUnreachable(time.Now(), err)
			return
		}
	}
}

func (e *executor) endProbe() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.probing = false
}

// recordUnreachable starts the backoff after a failed connection, and records a crash if the port is closed.
func (e *executor) recordUnreachable(now time.Time, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unreachableUntil = now.Add(connectBackoff)
	if errors.Is(err, syscall.ECONNREFUSED) {
		e.recordCrash(now, portClosed)
	}
}

// recordCrash counts a crash of the backend server against the interrupted requests, if the last one was interrupted
// within interruptedRetention; e.mu is held.
func (e *executor) recordCrash(now time.Time, by evidence) {
	requests := e.interrupted.uncounted()
	if len(requests) == 0 {
		return
	}
	age := now.Sub(e.interrupted.last)
	counted := age < interruptedRetention
	if counted {
		e.CrashTracker.RecordCrash(now, e.report.process(), requests)
		if e.interrupted.counted == nil {
			e.interrupted.counted = map[uint64]bool{}
		}
		for _, f := range requests {
			e.interrupted.counted[f] = true
		}
	}
	e.StateLog.Warn().Str("Instance", e.report.Instance).Int64("Born", e.report.StartedAtMs).Str("Evidence", string(by)).
		Int("Requests", len(requests)).Dur("AgeMs", age).Bool("Counted", counted).Msg("backend server crashed")
	e.interrupted = e.interrupted.withoutRequests()
}

// recordResponse clears the interrupted requests if the response shows that the backend server hasn't crashed: it was
// running when the request was sent, unless another backend server responded in its place. Once the body has been read
// to its end, the request itself has completed; if its body breaks off, it was interrupted.
func (e *executor) recordResponse(sent time.Time, response *streamer.Response, c chivegauge.Call, r *streamer.Request) {
	switch {
	case response.Status >= http.StatusInternalServerError || e.notRun(response):
	case response.Buffered():
		e.recordCompletion(c, r)
	default:
		response.Body = &watchedBody{
			ReadCloser: response.Body,
			onEnd:      func() { e.recordCompletion(c, r) },
			onError:    func() { e.recordInterrupted(time.Now(), c, r) },
		}
	}
	replaced := response.Status == http.StatusMisdirectedRequest
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case replaced:
		e.recordCrash(time.Now(), otherInstance)
	case sent.After(e.interrupted.last):
		e.interrupted = e.interrupted.withoutRequests()
	}
}

// recordCompletion clears a request that the backend server ran to its end without an error: an error response may have
// been sent instead of running it.
func (e *executor) recordCompletion(c chivegauge.Call, r *streamer.Request) {
	if !e.CrashTracker.Empty() {
		e.CrashTracker.Clear(time.Now(), r.Fingerprint(c.Workspace, c.Route))
	}
}

// watchedBody calls a function when the body has been read to its end or breaks off.
type watchedBody struct {
	io.ReadCloser
	onEnd   func()
	onError func()
}

// Read reads from the body.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.onEnd()
	case !errors.Is(err, os.ErrDeadlineExceeded):
		b.onError()
	}
	return n, err
}
