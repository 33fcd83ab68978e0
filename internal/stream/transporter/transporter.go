package transporter

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/stream/connector"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/go-faster/errors"
)

// Config configures the connections to other nodes; its Address field is ignored.
type Config = connector.Config

// Transporter sends requests to other nodes.
type Transporter interface {
	// Send sends the request to the member once, and returns the load of the member and the response of its backend
	// server, or a refusal that says whether the request may have run.
	Send(ctx context.Context, m chivegauge.Member, c chivegauge.Call, r *streamer.Request) (*streamer.Response, picker.Load)
}

// Witness keeps the requests that were at a node which broke off: its backend server may have crashed with it.
type Witness interface {
	RecordInterrupted(now time.Time, address string, fingerprint uint64)
}

type sender struct {
	peers   *connector.Pool
	witness Witness
}

// New returns a transporter that has no connections yet.
func New(cfg Config, w Witness) Transporter {
	return &sender{
		peers:   connector.NewPool(cfg),
		witness: w,
	}
}

// Send sends the request to the member once.
func (s *sender) Send(ctx context.Context, m chivegauge.Member, call chivegauge.Call, r *streamer.Request) (*streamer.Response, picker.Load) {
	out := *r
	out.Header = encodeCall(time.Now(), call, r.Header)
	p := s.peers.Get(m.Address)
	response, err := p.Exchange(ctx, &out)
	if err == nil {
		return response, decodeResponse(response)
	}
	failed := &connector.Error{}
	if errors.As(err, &failed) && !failed.Sent {
		return streamer.RefusalResponse(chivegauge.Refuse(chivegauge.CodeUnreachable, "the node can't be reached: "+err.Error())), picker.Load{}
	}
	if ctx.Err() != nil && call.Budget(time.Now()) > 0 {
		return streamer.RefusalResponse(chivegauge.RefuseMayHaveRun(chivegauge.CodeCancelled, "the caller left while the other node had the request")), picker.Load{}
	}
	if ctx.Err() != nil {
		return streamer.RefusalResponse(chivegauge.RefuseMayHaveRun(chivegauge.CodeDeadline, "no answer in time")), picker.Load{}
	}
	p.CloseIdle()
	s.witness.RecordInterrupted(time.Now(), m.Address, r.Fingerprint(call.Workspace, call.Route))
	return streamer.RefusalResponse(chivegauge.RefuseMayHaveRun(chivegauge.CodeOutcomeUnknown, "the node broke off: "+err.Error())), picker.Load{}
}
