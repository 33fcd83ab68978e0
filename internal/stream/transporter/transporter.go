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

// Witness keeps the requests that were interrupted at other nodes: their backend servers may have crashed, and the nodes
// with them.
type Witness interface {
	RecordInterrupted(now time.Time, address string, fingerprint uint64)
	RecordAbandoned(now, until time.Time, address string, fingerprint uint64)
	RecordResponse(sent time.Time, address string)
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
	sent := time.Now()
	out := *r
	out.Header = encodeCall(sent, call, r.Header)
	p := s.peers.Get(m.Address)
	response, err := p.Exchange(ctx, &out)
	if err == nil {
		load := decodeResponse(response)
		s.witnessResponse(sent, m, call, r, response)
		return response, load
	}
	failed := &connector.Error{}
	if errors.As(err, &failed) && !failed.Sent {
		return streamer.RefusalResponse(chivegauge.Refuse(chivegauge.CodeUnreachable, "the node can't be reached: "+err.Error())), picker.Load{}
	}
	if ctx.Err() != nil {
		s.witnessAbandoned(time.Now(), m, call, r)
	}
	if ctx.Err() != nil && call.Budget(time.Now()) > 0 {
		return streamer.RefusalResponse(chivegauge.RefuseMayHaveRun(chivegauge.CodeCancelled, "cancelled while the other node had the request: "+context.Cause(ctx).Error())), picker.Load{}
	}
	if ctx.Err() != nil {
		return streamer.RefusalResponse(chivegauge.RefuseMayHaveRun(chivegauge.CodeDeadline, "no answer in time")), picker.Load{}
	}
	p.CloseIdle()
	s.witness.RecordInterrupted(time.Now(), m.Address, r.Fingerprint(call.Workspace, call.Route))
	return streamer.RefusalResponse(chivegauge.RefuseMayHaveRun(chivegauge.CodeOutcomeUnknown, "the node broke off: "+err.Error())), picker.Load{}
}

// witnessAbandoned records that this node left a request that the member, or its backend server, may run up to its deadline.
func (s *sender) witnessAbandoned(now time.Time, m chivegauge.Member, call chivegauge.Call, r *streamer.Request) {
	until := now
	if call.Deadline.After(until) {
		until = call.Deadline
	}
	s.witness.RecordAbandoned(now, until, m.Address, r.Fingerprint(call.Workspace, call.Route))
}

// witnessResponse records what the response says about the backend server beside the member.
func (s *sender) witnessResponse(sent time.Time, m chivegauge.Member, call chivegauge.Call, r *streamer.Request, response *streamer.Response) {
	switch {
	case response.Refusal == nil:
		s.witness.RecordResponse(sent, m.Address)
	case response.Refusal.Code == chivegauge.CodeOutcomeUnknown:
		s.witness.RecordInterrupted(time.Now(), m.Address, r.Fingerprint(call.Workspace, call.Route))
	}
}
