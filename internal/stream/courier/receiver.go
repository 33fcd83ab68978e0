package courier

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/stream/carrier"
)

// Executor runs requests on the backend server beside the node.
type Executor interface {
	Run(ctx context.Context, c chivegauge.Call, r *carrier.Request) *carrier.Answer
	Load() picker.Load
}

// Receiver answers the requests that other nodes carry here.
type Receiver struct {
	names    chivegauge.HeaderNames
	executor Executor
	hold     int64
}

// NewReceiver returns a receiver; hold is the largest body that is read before it is sent on, in bytes.
func NewReceiver(names chivegauge.HeaderNames, x Executor, hold int64) *Receiver {
	return &Receiver{
		names:    names,
		executor: x,
		hold:     hold,
	}
}

// Handle runs the request on the backend server beside the node.
func (v *Receiver) Handle(ctx context.Context, r *carrier.Request) *carrier.Answer {
	id := r.Header.Get(v.names.Attempt)
	a := v.run(ctx, id, r)
	encodeAnswer(a, v.executor.Load())
	if a.Refusal != nil {
		a.Header.Set(v.names.Attempt, id)
	}
	return a
}

func (v *Receiver) run(ctx context.Context, id string, r *carrier.Request) *carrier.Answer {
	c, err := decodeCall(time.Now(), id, r.Header)
	if err == nil {
		err = r.Hold(v.hold)
	}
	if err != nil {
		return carrier.Refusal(chivegauge.Refuse(chivegauge.CodeBadRequest, err.Error()))
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(c.Budget(time.Now())+lateSlack, cancel)
	a := v.executor.Run(ctx, c, r)
	timer.Stop()
	a.OnRelease(cancel)
	return a
}

// lateSlack is how long after its deadline a run is given up, so that the backend server can answer by itself first.
const lateSlack = 60 * time.Millisecond
