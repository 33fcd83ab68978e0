package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/stream/carrier"
)

// attempts is what is known of the attempts of one request.
type attempts struct {
	tried    []string
	moves    int
	arrivals int
	ran      bool
	last     *carrier.Answer
}

// forward sends the request until an answer stands or no further attempt is allowed, and returns the members tried.
func (f *forwarder) forward(ctx context.Context, c chivegauge.Call, limit int, r *carrier.Request) (*carrier.Answer, []string) {
	if refusal := f.prepare(ctx, c, r); refusal != nil {
		return carrier.Refusal(refusal), nil
	}
	t := &attempts{}
	for {
		m, ok := f.pick(c.Service, t.tried)
		if !ok {
			break
		}
		if t.last != nil {
			t.last.Release()
		}
		t.tried = append(t.tried, m.Address)
		t.take(f.send(ctx, m, c, r))
		if !f.again(ctx, c, r, t, limit) {
			break
		}
	}
	return t.conclude(c), t.tried
}

// prepare holds a small body, lets only repeatable requests run ahead of others on their connection, and refuses those
// under which backend servers died.
func (f *forwarder) prepare(ctx context.Context, c chivegauge.Call, r *carrier.Request) *chivegauge.Refusal {
	if !c.Idempotent && r.Turn != nil {
		select {
		case <-r.Turn:
		case <-ctx.Done():
			return chivegauge.Refuse(chivegauge.CodeCancelled, "the caller left")
		}
	}
	if err := r.Hold(f.HoldMax); err != nil {
		return chivegauge.Refuse(chivegauge.CodeBadRequest, "the body did not arrive: "+err.Error())
	}
	if !f.Suspects.Empty() && f.Suspects.Refuses(time.Now(), r.Fingerprint(c.Workspace, c.Route)) {
		return chivegauge.Refuse(chivegauge.CodeQuarantined, "backend servers died while they ran this request")
	}
	return nil
}

// take takes in the answer to one attempt.
func (t *attempts) take(a *carrier.Answer) {
	t.last = a
	switch r := a.Refusal; {
	case r == nil:
		t.arrivals++
		t.ran = true
	case r.Run != chivegauge.NotRun:
		t.arrivals++
		t.ran = true
	case r.Arrived:
		t.arrivals++
	default:
		t.moves++
	}
}

// again reports whether the request is sent once more.
func (f *forwarder) again(ctx context.Context, c chivegauge.Call, r *carrier.Request, t *attempts, limit int) bool {
	if ctx.Err() != nil || c.Budget(time.Now()) <= 0 || !r.Whole() {
		return false
	}
	refusal := t.last.Refusal
	switch {
	case refusal == nil && (t.last.Status < http.StatusInternalServerError || t.last.Status == http.StatusGatewayTimeout):
		return false
	case refusal != nil && final[refusal.Code]:
		return false
	case refusal != nil && refusal.Run == chivegauge.NotRun && !refusal.Arrived:
		return t.moves <= movesMax && (refusal.Code != chivegauge.CodeBusy || time.Since(r.Arrived) < f.MoveTime)
	case t.arrivals >= limit:
		return false
	case refusal != nil && refusal.Run == chivegauge.NotRun:
		return f.paid(c.Service, t.ran)
	default:
		return c.Idempotent && f.paid(c.Service, true)
	}
}

// final are the refusals that no other node would lift.
var final = map[chivegauge.Code]bool{
	chivegauge.CodeBadRequest:  true,
	chivegauge.CodeCancelled:   true,
	chivegauge.CodeDeadline:    true,
	chivegauge.CodeQuarantined: true,
}

// conclude returns the last answer; after an attempt that may have run, no refusal says that none did.
func (t *attempts) conclude(c chivegauge.Call) *carrier.Answer {
	if t.last == nil {
		refusal := chivegauge.Refuse(chivegauge.CodeNoBackend, "no backend server serves "+c.Service)
		return carrier.Refusal(refusal.WithRetryAfter(millis(retryAfter)))
	}
	r := t.last.Refusal
	if r == nil || r.Run != chivegauge.NotRun {
		return t.last
	}
	if t.ran {
		return carrier.Refusal(chivegauge.Unknown(chivegauge.CodeOutcomeUnknown, "an earlier attempt may have run: "+r.Message))
	}
	if r.RetryAfterMs == 0 {
		r = r.WithRetryAfter(millis(retryAfter))
	}
	return carrier.Refusal(r)
}
