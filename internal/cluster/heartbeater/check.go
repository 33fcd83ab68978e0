package heartbeater

import (
	"context"
	"math/rand/v2"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
)

func (h *heartbeater) round(ctx context.Context, n int) {
	h.mu.Lock()
	h.table.Expire(h.now())
	target, ok := h.table.Target(rand.IntN)
	dead, deadOK := h.table.DeadTarget(rand.IntN)
	h.mu.Unlock()
	if ok {
		h.start(func() { h.probeMember(ctx, target) })
	}
	if deadOK && (n%deadProbeRounds == 0 || !ok) {
		h.start(func() { _ = h.exchange(ctx, dead.Address) })
	}
}

// start runs f in the background; f is dropped if exchangesMax calls are in flight.
func (h *heartbeater) start(f func()) {
	select {
	case h.inFlight <- struct{}{}:
	default:
		return
	}
	h.group.Go(func() {
		defer func() { <-h.inFlight }()
		f()
	})
}

// probeMember exchanges a heartbeat with the member, then probes it through other members, and marks it suspect if both
// fail.
func (h *heartbeater) probeMember(ctx context.Context, m chivegauge.Member) {
	if h.exchange(ctx, m.Address) == nil || h.probeIndirectly(ctx, m) || ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Suspect(h.now(), m.Address)
}

func (h *heartbeater) probeIndirectly(ctx context.Context, m chivegauge.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, indirectTimeoutFactor*h.cfg.Timeout)
	defer cancel()
	for range indirectProbes {
		h.mu.Lock()
		helper, ok := h.table.Target(rand.IntN)
		h.mu.Unlock()
		if !ok || helper.Address == m.Address {
			continue
		}
		res, err := h.dialer.Control(helper.Address).Probe(ctx, &messenger.ProbeRequest{
			Address: m.Address,
		})
		if err == nil && res.GetReached() {
			return true
		}
	}
	return false
}
