package transporter_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/chivegauge/chivegauge/internal/stream/transporter"
	"github.com/matryer/is"
)

// noWitness ignores nodes that break off.
type noWitness struct{}

func (noWitness) RecordInterrupted(time.Time, string, uint64)          {}
func (noWitness) RecordAbandoned(time.Time, time.Time, string, uint64) {}
func (noWitness) RecordResponse(time.Time, string)                     {}

// TestNoResponse checks which refusal is returned if the context ends before the other node has responded.
func TestNoResponse(t *testing.T) {
	tests := map[string]struct {
		deadline time.Duration
		cancel   time.Duration
		code     chivegauge.Code
	}{
		"the caller left":     {deadline: time.Minute, cancel: 20 * time.Millisecond, code: chivegauge.CodeCancelled},
		"the deadline passed": {deadline: 10 * time.Millisecond, cancel: 30 * time.Millisecond, code: chivegauge.CodeDeadline},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { is.NoErr(unresponsive.Close()) }()
			ctx, cancel := context.WithTimeout(context.Background(), tt.cancel)
			defer cancel()
			c := transporter.New(transporter.Config{
				DialTimeout: time.Second,
			}, noWitness{})
			response, _ := c.Send(ctx, chivegauge.Member{
				Address: unresponsive.Addr().String(),
			}, chivegauge.Call{
				RequestID: "1",
				Deadline:  time.Now().Add(tt.deadline),
			}, &streamer.Request{
				Method: http.MethodGet,
				Target: "/",
				Header: http.Header{},
			})
			is.Equal(response.Refusal.Code, tt.code)
			is.Equal(response.Refusal.Run, chivegauge.MayHaveRun)
		})
	}
}
