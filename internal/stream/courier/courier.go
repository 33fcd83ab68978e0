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

// Config is how connections to other nodes are made and kept; the address is filled in.
type Config = connector.Config

// Courier carries requests to other nodes.
type Courier interface {
	// Carry returns the answer of the member's backend server or a refusal that says what is known, and its load.
	Carry(ctx context.Context, m chivegauge.Member, c chivegauge.Call, r *carrier.Request) (*carrier.Answer, picker.Load)
}

type courier struct {
	peers *connector.Pool
}

// New returns a courier without connections.
func New(cfg Config) Courier {
	return &courier{
		peers: connector.NewPool(cfg),
	}
}

// Carry sends the request once.
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
