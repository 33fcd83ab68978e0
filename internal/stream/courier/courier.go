package courier

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/stream/carrier"
	"github.com/chivegauge/chivegauge/internal/stream/connector"
	"github.com/go-faster/errors"
)

// Config configures the connections to other nodes; its Address field is ignored.
type Config = connector.Config

// Courier sends requests to other nodes.
type Courier interface {
	// Carry sends the request to the member once, and returns the load of the member and the response of its backend server,
	// or a refusal that says whether the request may have run.
	Carry(ctx context.Context, m chivegauge.Member, c chivegauge.Call, r *carrier.Request) (*carrier.Answer, picker.Load)
}

type courier struct {
	peers *connector.Pool
}

// New returns a client side that has no connections yet.
func New(cfg Config) Courier {
	return &courier{
		peers: connector.NewPool(cfg),
	}
}

// Carry sends the request to the member once.
func (c *courier) Carry(ctx context.Context, m chivegauge.Member, call chivegauge.Call, r *carrier.Request) (*carrier.Answer, picker.Load) {
	out := *r
	out.Header = encodeCall(time.Now(), call, r.Header)
	p := c.peers.At(m.Address)
	a, err := p.Exchange(ctx, &out)
	if err == nil {
		return a, decodeAnswer(a)
	}
	failed := &connector.Error{}
	if errors.As(err, &failed) && !failed.Sent {
		return carrier.Refusal(chivegauge.Refuse(chivegauge.CodeUnreachable, "the node can't be reached: "+err.Error())), picker.Load{}
	}
	if ctx.Err() != nil && call.Budget(time.Now()) > 0 {
		return carrier.Refusal(chivegauge.Unknown(chivegauge.CodeCancelled, "the caller left while the other node had the request")), picker.Load{}
	}
	if ctx.Err() != nil {
		return carrier.Refusal(chivegauge.Unknown(chivegauge.CodeDeadline, "no answer in time")), picker.Load{}
	}
	p.Drop()
	return carrier.Refusal(chivegauge.Unknown(chivegauge.CodeOutcomeUnknown, "the node broke off: "+err.Error())), picker.Load{}
}
