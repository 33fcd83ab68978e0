package transporter

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
)

// Executor runs requests on the backend server beside the node and reports its load.
type Executor interface {
	Run(ctx context.Context, c chivegauge.Call, r *streamer.Request) *streamer.Response
	Load() picker.Load
}

// Receiver handles the requests that other nodes send to this one.
type Receiver struct {
	names         chivegauge.HeaderNames
	executor      Executor
	bodyBufferMax int64
}

// NewReceiver returns a receiver; bodyBufferMax is the size in bytes up to which a request body is read into memory
// before the request runs.
func NewReceiver(names chivegauge.HeaderNames, x Executor, bodyBufferMax int64) *Receiver {
	return &Receiver{
		names:         names,
		executor:      x,
		bodyBufferMax: bodyBufferMax,
	}
}

// Handle runs the request on the backend server beside the node and returns its response with the load added.
func (v *Receiver) Handle(ctx context.Context, r *streamer.Request) *streamer.Response {
	id := r.Header.Get(v.names.Attempt)
	response := v.run(ctx, id, r)
	encodeResponse(response, v.executor.Load())
	if response.Refusal != nil {
		response.Header.Set(v.names.Attempt, id)
	}
	return response
}

func (v *Receiver) run(ctx context.Context, id string, r *streamer.Request) *streamer.Response {
	c, err := decodeCall(time.Now(), id, r.Header)
	if err == nil {
		err = r.Buffer(v.bodyBufferMax)
	}
	if err != nil {
		return streamer.RefusalResponse(chivegauge.Refuse(chivegauge.CodeBadRequest, err.Error()))
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(c.Budget(time.Now())+deadlineGrace, cancel)
	response := v.executor.Run(ctx, c, r)
	timer.Stop()
	response.OnRelease(cancel)
	return response
}

// deadlineGrace is the time after its deadline at which a request is cancelled, so that the backend server can respond
// to the deadline itself first.
const deadlineGrace = 60 * time.Millisecond
