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
		h.start(func() { h.check(ctx, target) })
	}
	if deadOK && (n%deadEvery == 0 || !ok) {
		h.start(func() { _ = h.exchange(ctx, dead.Address) })
	}
}

// start runs f in the group unless too many exchanges are under way.
func (h *heartbeater) start(f func()) {
	select {
	case h.slots <- struct{}{}:
	default:
		return
	}
	h.group.Go(func() {
		defer func() { <-h.slots }()
		f()
	})
}

// check exchanges heartbeats with the member, then through helpers, and suspects it if both fail.
func (h *heartbeater) check(ctx context.Context, m chivegauge.Member) {
	if h.exchange(ctx, m.Address) == nil || h.reachedByHelper(ctx, m) || ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Suspect(h.now(), m.Address)
}

func (h *heartbeater) reachedByHelper(ctx context.Context, m chivegauge.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, helperTimeScale*h.cfg.Timeout)
	defer cancel()
	for range helpers {
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
