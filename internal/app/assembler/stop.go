package assembler

import (
	"context"
	"net"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
)

const (
	// stopPoll is how often a stopping node looks whether all requests have ended.
	stopPoll = 50 * time.Millisecond

	// stopQuiet is how long a stopping node takes new connections: callers ask once a second whether it is ready
	// and go elsewhere after two refusals.
	stopQuiet = 2500 * time.Millisecond

	// stopSettle is the end of that time, in which other nodes send no more work here and what they sent runs.
	stopSettle = 800 * time.Millisecond

	// stopMargin is the end of the time to stop, in which the record is withdrawn and the process ends.
	stopMargin = 1200 * time.Millisecond

	// withdrawTime bounds the withdrawal of the record.
	withdrawTime = 300 * time.Millisecond
)

// stop serves on until callers have gone elsewhere, tells the other nodes shortly before, and waits for what runs.
func (n *node) stop(ctx context.Context, callers net.Listener) {
	began := time.Now()
	close(n.stopping)
	n.log.Info().Int("Running", n.running()).Msg("node stopping")
	n.callers.Drain()
	stopTime := n.bounds.Load().StopTime
	quiet := min(stopQuiet, stopTime/2)
	time.Sleep(quiet - min(stopSettle, quiet/2))
	n.tellStopping(ctx)
	time.Sleep(time.Until(began.Add(quiet)))
	_ = callers.Close()
	n.guardian.Stop()
	end := began.Add(stopTime - stopMargin)
	for n.callers.CloseIdle(); n.running() > 0 && time.Now().Before(end); n.callers.CloseIdle() {
		time.Sleep(stopPoll)
	}
	n.withdraw(ctx)
	n.log.Info().Int("Running", n.running()).Dur("TookMs", time.Since(began)).Msg("node stopped")
}

func (n *node) running() int {
	return n.callers.InFlight() + n.peers.InFlight()
}

// tellStopping tells the other nodes without waiting longer for the store than for them.
func (n *node) tellStopping(ctx context.Context) {
	drain := func(rec registrar.Record) registrar.Record { return rec.WithState(chivegauge.Draining) }
	if err := n.members.Update(ctx, drain); err != nil {
		n.log.Warn().Err(err).Msg("record not written while stopping")
	}
}

// withdraw removes the record of a node whose backend server has left for good.
func (n *node) withdraw(ctx context.Context) {
	r, ok := n.guardian.LastReport()
	if !ok || !r.Leaving {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, withdrawTime)
	defer cancel()
	if err := n.members.Withdraw(ctx); err != nil {
		n.log.Warn().Err(err).Msg("record not withdrawn")
	}
}
