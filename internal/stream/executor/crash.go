package executor

import (
	"context"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/go-faster/errors"
)

const (
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

// recordInterrupted keeps a request whose connection closed before the response, because the backend server may have
// crashed.
func (e *executor) recordInterrupted(now time.Time, c chivegauge.Call, r *streamer.Request) {
	f := r.Fingerprint(c.Workspace, c.Route)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.interrupted.add(now, f, mayRun{
		until: now,
	})
	if !e.probing {
		e.probing = true
		e.group.Go(e.probe)
	}
}

// recordAbandoned keeps a request that the node left while the backend server ran it: the caller disconnected, or the
// deadline passed. The backend server may run it up to its deadline, and crash.
func (e *executor) recordAbandoned(now time.Time, c chivegauge.Call, r *streamer.Request) {
	f := r.Fingerprint(c.Workspace, c.Route)
	until := now
	if c.Deadline.After(until) {
		until = c.Deadline
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.interrupted.add(now, f, mayRun{
		until:     until,
		abandoned: true,
	})
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

// Ended reports whether the backend server accepts no connections any more.
func (e *executor) Ended(ctx context.Context) bool {
	return errors.Is(e.Backend.Connect(ctx), syscall.ECONNREFUSED)
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

// recordCrash counts a crash of the backend server against the requests that it may have been running; e.mu is held.
func (e *executor) recordCrash(now time.Time, by evidence) {
	requests, expired := e.interrupted.takeUncounted(now, e.report.Leaving)
	if len(requests)+expired == 0 {
		return
	}
	if len(requests) > 0 {
		e.CrashTracker.RecordCrash(now, e.report.Process(), requests)
	}
	e.StateLog.Warn().Str("Instance", e.report.Instance).Int64("Born", e.report.StartedAtMs).Str("Evidence", string(by)).
		Int("Requests", len(requests)+expired).Int("Expired", expired).Bool("Counted", len(requests) > 0).Msg("backend server crashed")
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
			onLeft:     func() { e.recordAbandoned(time.Now(), c, r) },
		}
	}
	replaced := response.Status == http.StatusMisdirectedRequest
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case replaced:
		e.recordCrash(time.Now(), otherInstance)
	default:
		e.interrupted.removeEnded(sent)
	}
}

// recordCompletion clears a request that the backend server ran to its end without an error: an error response may have
// been sent instead of running it.
func (e *executor) recordCompletion(c chivegauge.Call, r *streamer.Request) {
	if !e.CrashTracker.Empty() {
		e.CrashTracker.Clear(time.Now(), r.Fingerprint(c.Workspace, c.Route))
	}
}

// watchedBody calls one of its functions when the body has been read to its end, breaks off, or is left before its end.
type watchedBody struct {
	io.ReadCloser
	onEnd   func()
	onError func()
	onLeft  func()
	ended   bool
}

// Read reads from the body.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil || b.ended:
	case errors.Is(err, io.EOF):
		b.end(b.onEnd)
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.end(b.onLeft)
	default:
		b.end(b.onError)
	}
	return n, err
}

// Close closes the body.
func (b *watchedBody) Close() error {
	if !b.ended {
		b.end(b.onLeft)
	}
	return b.ReadCloser.Close()
}

func (b *watchedBody) end(f func()) {
	b.ended = true
	f()
}
