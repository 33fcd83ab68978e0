package supervisor

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/app/stager"
	"github.com/chivegauge/chivegauge/internal/base/timekeeper"
)

// backendPollPeriod is the period at which a node checks whether its backend server accepts connections again.
const backendPollPeriod = 50 * time.Millisecond

// monitorBackend marks the node as draining while its backend server accepts no connections.
func (v *supervisor) monitorBackend(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-v.parts.executor.Down():
		}
		if v.parts.executor.Up() || v.stage.Stage() != stager.Ready {
			continue
		}
		v.log.Warn().Msg("backend server down")
		v.parts.fleet.SetState(chivegauge.Draining)
		for !v.parts.executor.Up() && ctx.Err() == nil {
			timekeeper.Sleep(ctx, backendPollPeriod)
		}
		v.parts.executor.ColdStart()
		if v.stage.Stage() == stager.Ready {
			v.parts.fleet.SetState(chivegauge.Alive)
			v.log.Info().Msg("backend server up")
		}
	}
}
