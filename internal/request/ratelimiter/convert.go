package ratelimiter

import (
	"time"

	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
	"github.com/chivegauge/chivegauge/internal/policy/lessor"
)

func encodeLeaseRequests(list []lessor.LeaseRequest) *messenger.DrawRequest {
	r := &messenger.DrawRequest{}
	for _, lr := range list {
		r.Items = append(r.Items, &messenger.DrawItem{
			Workspace: lr.Workspace,
			Slot:      uint32(lr.Slot),
			Lease:     lr.Lease,
			Consumed:  lr.Consumed,
			Returned:  lr.Returned,
			Want:      lr.Requested,
		})
	}
	return r
}

func decodeLeaseRequest(item *messenger.DrawItem) lessor.LeaseRequest {
	return lessor.LeaseRequest{
		Workspace: item.GetWorkspace(),
		Slot:      int(item.GetSlot()),
		Lease:     item.GetLease(),
		Consumed:  item.GetConsumed(),
		Returned:  item.GetReturned(),
		Requested: item.GetWant(),
	}
}

func encodeGrant(g lessor.Grant) *messenger.GrantItem {
	return &messenger.GrantItem{
		Kept:         g.Owned,
		Lease:        g.Lease,
		Granted:      g.Granted,
		RetryAfterMs: uint32(g.RetryAfter.Milliseconds()),
	}
}

func decodeGrant(item *messenger.GrantItem) lessor.Grant {
	return lessor.Grant{
		Owned:      item.GetKept(),
		Lease:      item.GetLease(),
		Granted:    item.GetGranted(),
		RetryAfter: time.Duration(item.GetRetryAfterMs()) * time.Millisecond,
	}
}
