package rater

import (
	"time"

	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
	"github.com/chivegauge/chivegauge/internal/policy/keeper"
)

func encodeLeaseRequests(list []keeper.Draw) *messenger.DrawRequest {
	r := &messenger.DrawRequest{}
	for _, d := range list {
		r.Items = append(r.Items, &messenger.DrawItem{
			Workspace: d.Workspace,
			Slot:      uint32(d.Slot),
			Lease:     d.Lease,
			Consumed:  d.Consumed,
			Returned:  d.Returned,
			Want:      d.Want,
		})
	}
	return r
}

func decodeLeaseRequest(item *messenger.DrawItem) keeper.Draw {
	return keeper.Draw{
		Workspace: item.GetWorkspace(),
		Slot:      int(item.GetSlot()),
		Lease:     item.GetLease(),
		Consumed:  item.GetConsumed(),
		Returned:  item.GetReturned(),
		Want:      item.GetWant(),
	}
}

func encodeGrant(g keeper.Grant) *messenger.GrantItem {
	return &messenger.GrantItem{
		Kept:         g.Kept,
		Lease:        g.Lease,
		Granted:      g.Granted,
		RetryAfterMs: uint32(g.RetryAfter.Milliseconds()),
	}
}

func decodeGrant(item *messenger.GrantItem) keeper.Grant {
	return keeper.Grant{
		Kept:       item.GetKept(),
		Lease:      item.GetLease(),
		Granted:    item.GetGranted(),
		RetryAfter: time.Duration(item.GetRetryAfterMs()) * time.Millisecond,
	}
}
