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

	// stopMargin is the last part of the stop time, reserved for withdrawing the record and ending the process; it is at
	// most stopMarginFraction of it.
	stopMargin         = 1200 * time.Millisecond
	stopMarginFraction = 1.0 / 7

	// responseTime is the time before the end within which the last responses reach their callers.
	responseTime = 200 * time.Millisecond

	// abortTimeout is the time for the responses to requests that were cancelled at the end.
	abortTimeout = 100 * time.Millisecond

	// withdrawTimeout is the timeout for the withdrawal of the record.
	withdrawTimeout = 300 * time.Millisecond
)

// stop serves until callers use other nodes, notifies the other nodes shortly before that, and waits for the requests
// that still run. Requests that are not expected to end in time are refused, and those that don't are cancelled at the end.
func (n *node) stop(ctx context.Context, callerListener net.Listener) {
	began := time.Now()
	stopTime := n.bounds.Load().StopTime
	end := began.Add(stopTime - min(stopMargin, scale(stopTime, stopMarginFraction)))
	close(n.stopping)
	n.log.Info().Int("Running", n.inFlight()).Msg("node stopping")
	n.forwarder.BeginStop(end.Add(-responseTime))
	n.executor.BeginStop(end.Add(-responseTime))
	n.callerAcceptor.Drain()
	delay := min(drainDelay, stopTime/2)
	time.Sleep(delay - min(drainNotice, delay/2))
	n.group.Go(func() { n.publishDraining(ctx) })
	time.Sleep(time.Until(began.Add(delay)))
	n.executor.Stop()
	// The requests that still run on the backend server may make nested calls, over new connections.
	awaitUntil(end, n.backendIdle)
	_ = callerListener.Close()
	n.callerAcceptor.Finish()
	awaitUntil(end, n.idle)
	if running := n.inFlight(); running > 0 {
		n.log.Warn().Int("Running", running).Msg("requests cancelled at the end of the stop time")
		n.callerAcceptor.Abort()
		awaitUntil(end.Add(abortTimeout), n.idle)
	}
	n.withdraw(ctx)
	n.log.Info().Int("Running", n.inFlight()).Dur("TookMs", time.Since(began)).Msg("node stopped")
}

// awaitUntil returns once the condition is met, at the latest at the deadline.
func awaitUntil(deadline time.Time, met func() bool) {
	for !met() && time.Now().Before(deadline) {
		time.Sleep(drainPollPeriod)
	}
}

func (n *node) backendIdle() bool {
	load := n.executor.Load()
	return load.Running+load.Waiting == 0
}

// idle closes the idle connections of callers, and reports whether no request is in flight.
func (n *node) idle() bool {
	n.callerAcceptor.CloseIdle()
	return n.inFlight() == 0
}

// inFlight returns the number of requests of callers and other nodes.
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

// withdraw removes the record of the node if its backend server has left: until that has ended, the record tells the next
// process of the node of the departure. It returns in time also if an earlier write of the record still waits for the store.
func (n *node) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	if r, ok := n.executor.LastReport(); !ok || !r.Leaving || !n.executor.Ended(ctx) {
		return
	}
	done := make(chan struct{})
	n.group.Go(func() {
		defer close(done)
		if err := n.members.Withdraw(ctx); err != nil {
			n.log.Warn().Err(err).Msg("record not withdrawn")
		}
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
