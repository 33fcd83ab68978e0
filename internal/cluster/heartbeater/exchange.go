package heartbeater

import (
	"context"
	"math/rand/v2"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
	"github.com/chivegauge/chivegauge/internal/cluster/replicator"
)

// exchange sends one heartbeat and takes in what comes back.
func (h *heartbeater) exchange(ctx context.Context, address string) error {
	return h.exchangeWith(ctx, address, false)
}

// exchangeWith sends one heartbeat; whole asks for the peer's whole table.
func (h *heartbeater) exchangeWith(ctx context.Context, address string, whole bool) error {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Timeout)
	defer cancel()
	req := h.request(whole)
	res, err := h.dialer.Control(address).Heartbeat(ctx, req)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.whole = true
	h.mu.Unlock()
	h.take(address, res.GetResponder(), res.GetNews(), res.GetVersions(), req.GetWantAll())
	return nil
}

// request builds a heartbeat; the documents' lock is never taken under h.mu.
func (h *heartbeater) request(whole bool) *messenger.HeartbeatRequest {
	versions := fromVersions(h.docs.Versions())
	h.mu.Lock()
	defer h.mu.Unlock()
	return &messenger.HeartbeatRequest{
		Sender:   fromMember(h.table.Self()),
		News:     fromMembers(h.table.News()),
		Versions: versions,
		WantAll:  whole || !h.whole,
	}
}

// take applies news and fetches documents that the peer holds in a newer version.
// That a member left is only believed from a whole table, so that who hears of it
// also knows every member that the leaving one knew.
func (h *heartbeater) take(address string, peer *messenger.Member, news []*messenger.Member, versions []*messenger.Version, whole bool) {
	left := false
	for _, m := range append(news, peer) {
		member := toMember(m)
		if member.State == chivegauge.Left && !whole {
			left = left || h.isNews(member)
			continue
		}
		h.Learn(member)
	}
	h.meet(toMember(peer))
	if left {
		h.start(func() { _ = h.exchangeWith(context.Background(), address, true) })
	}
	if h.docs.Lacks(toVersions(versions)) {
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
		_ = h.Offer(replicator.Document{
			Name:    d.GetDocument(),
			Version: d.GetVersion(),
			Value:   d.GetValue(),
		})
	}
}

// push sends heartbeats to a number of members at once.
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
