package heartbeater

import (
	"context"
	"math/rand/v2"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
	"github.com/chivegauge/chivegauge/internal/cluster/replicator"
)

// exchange sends one heartbeat and applies the response.
func (h *heartbeater) exchange(ctx context.Context, address string) error {
	return h.exchangeWith(ctx, address, false)
}

// exchangeWith sends one heartbeat and applies the response; full requests the peer's full table.
func (h *heartbeater) exchangeWith(ctx context.Context, address string, full bool) error {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Timeout)
	defer cancel()
	req := h.request(full)
	res, err := h.dialer.Control(address).Heartbeat(ctx, req)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.synced = true
	h.mu.Unlock()
	h.mergeHeartbeat(address, res.GetResponder(), res.GetNews(), res.GetVersions(), req.GetWantAll())
	return nil
}

// request builds a heartbeat; it reads the versions before it locks h.mu, since the lock of the documents is never
// acquired while h.mu is held.
func (h *heartbeater) request(full bool) *messenger.HeartbeatRequest {
	versions := fromVersions(h.docs.Versions())
	h.mu.Lock()
	defer h.mu.Unlock()
	return &messenger.HeartbeatRequest{
		Sender:   fromMember(h.table.Self()),
		News:     fromMembers(h.table.PendingUpdates()),
		Versions: versions,
		WantAll:  full || !h.synced,
	}
}

// mergeHeartbeat applies membership updates and fetches documents of which the peer has a newer version.
// An update to Left is only applied from a full table, so that a node that receives a departure also receives every
// member that was known to the departed one; otherwise the full table is requested.
func (h *heartbeater) mergeHeartbeat(address string, peer *messenger.Member, updates []*messenger.Member, versions []*messenger.Version, full bool) {
	departure := false
	for _, m := range append(updates, peer) {
		member := toMember(m)
		if member.State == chivegauge.Left && !full {
			departure = departure || h.overridesKnown(member)
			continue
		}
		h.Merge(member)
	}
	h.recordContact(toMember(peer))
	if departure {
		h.start(func() { _ = h.exchangeWith(context.Background(), address, true) })
	}
	if h.docs.Behind(toVersions(versions)) {
		h.start(func() { h.fetch(address) })
	}
}

func (h *heartbeater) fetch(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	res, err := h.dialer.Control(address).Fetch(ctx, &messenger.FetchRequest{
		Versions: fromVersions(h.docs.Versions()),
	})
	if err != nil {
		return
	}
	for _, d := range res.GetDocuments() {
		_ = h.Publish(replicator.Document{
			Name:    d.GetDocument(),
			Version: d.GetVersion(),
			Value:   d.GetValue(),
		})
	}
}

// push sends heartbeats to the given number of members concurrently.
func (h *heartbeater) push(fanout int) {
	for range fanout {
		h.mu.Lock()
		m, ok := h.table.Target(rand.IntN)
		h.mu.Unlock()
		if ok {
			h.start(func() { _ = h.exchange(context.Background(), m.Address) })
		}
	}
}
