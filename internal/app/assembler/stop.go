package assembler

import (
	"context"
	"net"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
)

const (
	// drainPollPeriod is the period at which a stopping node checks whether all requests have ended.
	drainPollPeriod = 50 * time.Millisecond

	// drainDelay is how long a stopping node accepts new connections: callers check its readiness once a second and use
	// another node after two failed checks.
	drainDelay = 2500 * time.Millisecond

	// drainNotice is the last part of drainDelay, after the other nodes were notified: they stop sending requests to this
	// node, and those already sent still run.
	drainNotice = 800 * time.Millisecond

	// stopMargin is the last part of the stop time, reserved for withdrawing the record and ending the process.
	stopMargin = 1200 * time.Millisecond

	// withdrawTimeout is the timeout for the withdrawal of the record.
	withdrawTimeout = 300 * time.Millisecond
)

// stop serves until callers use other nodes, notifies the other nodes shortly before that, and waits for the requests
// that still run.
func (n *node) stop(ctx context.Context, callerListener net.Listener) {
	began := time.Now()
	close(n.stopping)
	n.log.Info().Int("Running", n.inFlight()).Msg("node stopping")
	n.callerAcceptor.Drain()
	stopTime := n.bounds.Load().StopTime
	delay := min(drainDelay, stopTime/2)
	time.Sleep(delay - min(drainNotice, delay/2))
	n.publishDraining(ctx)
	time.Sleep(time.Until(began.Add(delay)))
	_ = callerListener.Close()
	n.executor.Stop()
	deadline := began.Add(stopTime - stopMargin)
	for n.callerAcceptor.CloseIdle(); n.inFlight() > 0 && time.Now().Before(deadline); n.callerAcceptor.CloseIdle() {
		time.Sleep(drainPollPeriod)
	}
	n.withdraw(ctx)
	n.log.Info().Int("Running", n.inFlight()).Dur("TookMs", time.Since(began)).Msg("node stopped")
}

func (n *node) inFlight() int {
	return n.callerAcceptor.InFlight() + n.peerAcceptor.InFlight()
}

// publishDraining notifies the other nodes that this node is draining, without waiting for the store, then writes the
// state to the store.
func (n *node) publishDraining(ctx context.Context) {
	drain := func(rec registrar.Record) registrar.Record { return rec.WithState(chivegauge.Draining) }
	if err := n.members.Update(ctx, drain); err != nil {
		n.log.Warn().Err(err).Msg("record not written while stopping")
	}
}

// withdraw removes the record of the node if its backend server is leaving.
func (n *node) withdraw(ctx context.Context) {
	r, ok := n.executor.LastReport()
	if !ok || !r.Leaving {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	if err := n.members.Withdraw(ctx); err != nil {
		n.log.Warn().Err(err).Msg("record not withdrawn")
	}
}
