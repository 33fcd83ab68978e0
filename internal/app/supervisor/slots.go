package supervisor

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge/internal/cluster/dialer"
	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
	"github.com/chivegauge/chivegauge/internal/cluster/reconciler"
	"github.com/chivegauge/chivegauge/internal/policy/lessor"
)

// handoverSender hands rate slots over to other nodes.
type handoverSender struct {
	dialer dialer.Dialer
}

// SendHandover sends the state of a slot to its next owner.
func (s *handoverSender) SendHandover(ctx context.Context, address string, h reconciler.Handover) error {
	req := &messenger.HandSlotRequest{
		Slot:     uint32(h.Slot),
		Revision: h.Revision,
	}
	for _, b := range h.Buckets {
		req.Buckets = append(req.Buckets, fromBucket(b))
	}
	_, err := s.dialer.Control(address).HandSlot(ctx, req)
	return err
}

func fromBucket(b lessor.BucketState) *messenger.Bucket {
	out := &messenger.Bucket{
		Workspace: b.Workspace,
		Level:     b.Level,
	}
	for _, l := range b.Leases {
		out.Leases = append(out.Leases, &messenger.Lease{
			Lease:      l.Lease,
			Granted:    l.Granted,
			Consumed:   l.Consumed,
			Returned:   l.Returned,
			LeftMicros: l.Remaining.Microseconds(),
		})
	}
	return out
}

func toHandover(r *messenger.HandSlotRequest) reconciler.Handover {
	h := reconciler.Handover{
		Slot:     int(r.GetSlot()),
		Revision: r.GetRevision(),
	}
	for _, b := range r.GetBuckets() {
		state := lessor.BucketState{
			Workspace: b.GetWorkspace(),
			Level:     b.GetLevel(),
		}
		for _, l := range b.GetLeases() {
			state.Leases = append(state.Leases, lessor.LeaseState{
				Lease:     l.GetLease(),
				Granted:   l.GetGranted(),
				Consumed:  l.GetConsumed(),
				Returned:  l.GetReturned(),
				Remaining: time.Duration(l.GetLeftMicros())*time.Microsecond + time.Millisecond,
			})
		}
		h.Buckets = append(h.Buckets, state)
	}
	return h
}
