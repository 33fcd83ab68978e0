package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/crashtracker"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
)

// attempts is the state of the attempts of one request.
type attempts struct {
	tried              []string
	transparentRetries int
	arrivals           int
	mayHaveRun         bool
	lastResponse       *streamer.Response
}

// forward sends the request until a response is final or no further attempt is allowed, and returns that response and
// the addresses of the members tried.
func (f *forwarder) forward(ctx context.Context, c chivegauge.Call, attemptsMax int, r *streamer.Request) (*streamer.Response, []string) {
	if refusal := f.prepare(ctx, c, r); refusal != nil {
		return streamer.RefusalResponse(refusal), nil
	}
	c, refusal := f.admitSuspect(c, r)
	if refusal != nil {
		return streamer.RefusalResponse(refusal), nil
	}
	t := &attempts{}
	for {
		m, ok := f.pick(c.Service, t.tried)
		if !ok {
			break
		}
		if t.lastResponse != nil {
			t.lastResponse.Release()
		}
		t.tried = append(t.tried, m.Address)
		t.record(f.send(ctx, m, c, r))
		if !f.shouldRetry(ctx, c, r, t, attemptsMax) {
			break
		}
	}
	return t.result(c), t.tried
}

// admitSuspect returns a refusal if backend servers have crashed while they ran the request; if it is due for a trial, it
// returns the call on trial.
func (f *forwarder) admitSuspect(c chivegauge.Call, r *streamer.Request) (chivegauge.Call, *chivegauge.Refusal) {
	if f.CrashTracker.Empty() {
		return c, nil
	}
	switch f.CrashTracker.Admit(time.Now(), r.Fingerprint(c.Workspace, c.Route)) {
	case crashtracker.Quarantined:
		return c, chivegauge.Refuse(chivegauge.CodeQuarantined, "backend servers died while they ran this request")
	case crashtracker.Trial:
		return c.WithTrial(), nil
	default:
		return c, nil
	}
}

// prepare reads a small body into memory. A request that isn't idempotent waits until the responses to all earlier
// requests on its connection have been written or discarded.
func (f *forwarder) prepare(ctx context.Context, c chivegauge.Call, r *streamer.Request) *chivegauge.Refusal {
	if !c.Idempotent && r.EarlierDone != nil {
		select {
		case <-r.EarlierDone:
		case <-ctx.Done():
			return chivegauge.Refuse(chivegauge.CodeCancelled, "the caller left")
		}
	}
	if err := r.Buffer(f.BodyBufferMax); err != nil {
		return chivegauge.Refuse(chivegauge.CodeBadRequest, "the body did not arrive: "+err.Error())
	}
	return nil
}

// record updates the state with the response to one attempt.
func (t *attempts) record(response *streamer.Response) {
	t.lastResponse = response
	switch r := response.Refusal; {
	case r == nil:
		t.arrivals++
		t.mayHaveRun = true
	case r.Run != chivegauge.NotRun:
		t.arrivals++
		t.mayHaveRun = true
	case r.ReachedBackend:
		t.arrivals++
	default:
		t.transparentRetries++
	}
}

// shouldRetry reports whether the request is sent again. A transparent retry is not counted against the attempts of the
// route or the retry budget; each other one takes a retry out of the budget.
func (f *forwarder) shouldRetry(ctx context.Context, c chivegauge.Call, r *streamer.Request, t *attempts, attemptsMax int) bool {
	if ctx.Err() != nil || c.Budget(time.Now()) <= 0 || !r.Buffered() {
		return false
	}
	refusal := t.lastResponse.Refusal
	switch {
	case refusal == nil && (t.lastResponse.Status < http.StatusInternalServerError || t.lastResponse.Status == http.StatusGatewayTimeout):
		return false
	case refusal != nil && finalCodes[refusal.Code]:
		return false
	case refusal != nil && refusal.Run == chivegauge.NotRun && !refusal.ReachedBackend:
		return t.transparentRetries <= transparentRetriesMax && (refusal.Code != chivegauge.CodeBusy || time.Since(r.Arrived) < f.TransparentRetryTime)
	case t.arrivals >= attemptsMax:
		return false
	case refusal != nil && refusal.Run == chivegauge.NotRun:
		return f.chargeRetry(c.Service, t.mayHaveRun)
	default:
		return c.Idempotent && !c.Trial && f.chargeRetry(c.Service, true)
	}
}

// finalCodes are the codes of refusals that an attempt at another node can't change.
var finalCodes = map[chivegauge.Code]bool{
	chivegauge.CodeBadRequest:  true,
	chivegauge.CodeCancelled:   true,
	chivegauge.CodeDeadline:    true,
	chivegauge.CodeQuarantined: true,
}

// result returns the last response, or a refusal if there is none; if an earlier attempt may have run, a refusal that
// says "not run" is replaced by one that says that the outcome is unknown.
func (t *attempts) result(c chivegauge.Call) *streamer.Response {
	if t.lastResponse == nil {
		refusal := chivegauge.Refuse(chivegauge.CodeNoBackend, "no backend server serves "+c.Service)
		return streamer.RefusalResponse(refusal.WithRetryAfter(wholeMillis(refusalRetryAfter)))
	}
	r := t.lastResponse.Refusal
	if r == nil || r.Run != chivegauge.NotRun {
		return t.lastResponse
	}
	if t.mayHaveRun {
		return streamer.RefusalResponse(chivegauge.RefuseMayHaveRun(chivegauge.CodeOutcomeUnknown, "an earlier attempt may have run: "+r.Message))
	}
	if r.RetryAfterMs == 0 {
		r = r.WithRetryAfter(wholeMillis(refusalRetryAfter))
	}
	return streamer.RefusalResponse(r)
}
