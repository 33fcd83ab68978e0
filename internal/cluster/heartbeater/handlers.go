package heartbeater

import (
	"context"

	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
)

// Heartbeat handles the heartbeat of another node.
func (h *heartbeater) Heartbeat(_ context.Context, r *messenger.HeartbeatRequest) (*messenger.HeartbeatResponse, error) {
	h.mergeHeartbeat(r.GetSender().GetAddress(), r.GetSender(), r.GetNews(), r.GetVersions(), false)
	versions := fromVersions(h.docs.Versions())
	h.mu.Lock()
	defer h.mu.Unlock()
	updates := h.table.PendingUpdates()
	if r.GetWantAll() {
		updates = h.table.Members()
	}
	load := h.load()
	return &messenger.HeartbeatResponse{
		Running:    uint32(load.Running),
		Limit:      uint32(load.Limit),
		Responder:  fromMember(h.table.Self()),
		News:       fromMembers(updates),
		Versions:   versions,
		Violations: asserter.Total(),
	}, nil
}

// Probe exchanges a heartbeat with a third member on behalf of another node.
func (h *heartbeater) Probe(ctx context.Context, r *messenger.ProbeRequest) (*messenger.ProbeResponse, error) {
	reached := h.exchange(ctx, r.GetAddress()) == nil
	return &messenger.ProbeResponse{
		Reached: reached,
	}, nil
}

// Fetch returns the documents of which the other node has an older version.
func (h *heartbeater) Fetch(_ context.Context, r *messenger.FetchRequest) (*messenger.FetchResponse, error) {
	res := &messenger.FetchResponse{}
	for _, d := range h.docs.Newer(toVersions(r.GetVersions())) {
		res.Documents = append(res.Documents, &messenger.Document{
			Document: d.Name,
			Version:  d.Version,
			Value:    d.Value,
		})
	}
	return res, nil
}
