package supervisor

import (
	"context"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/dialer"
	"github.com/chivegauge/chivegauge/internal/cluster/heartbeater"
	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
	"github.com/chivegauge/chivegauge/internal/cluster/reconciler"
	"github.com/chivegauge/chivegauge/internal/policy/keytracker"
	"github.com/chivegauge/chivegauge/internal/request/deduplicator"
	"github.com/chivegauge/chivegauge/internal/request/executor"
	"github.com/chivegauge/chivegauge/internal/request/isolator"
	"github.com/chivegauge/chivegauge/internal/request/ratelimiter"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
	"github.com/twitchtv/twirp"
)

// control handles the control calls of other nodes.
type control struct {
	heartbeater.Heartbeater
	executor     executor.Executor
	leaseLimiter ratelimiter.LeaseLimiter
	reconciler   reconciler.Reconciler
	dedup        deduplicator.Deduplicator
	isolator     isolator.Isolator
}

// Draw leases rate tokens from the slots that this node owns.
func (c *control) Draw(_ context.Context, r *messenger.DrawRequest) (*messenger.DrawResponse, error) {
	return c.leaseLimiter.GrantLeases(r), nil
}

// HandSlot takes over the ownership of a rate slot with its leases.
func (c *control) HandSlot(_ context.Context, r *messenger.HandSlotRequest) (*messenger.HandSlotResponse, error) {
	if r.GetSlot() >= chivegauge.SlotCount {
		return nil, twirp.InvalidArgumentError("Slot", "is not a slot")
	}
	c.reconciler.Receive(toHandover(r))
	return &messenger.HandSlotResponse{}, nil
}

// Cancel cancels an attempt whose sender no longer waits for it.
func (c *control) Cancel(_ context.Context, r *messenger.CancelRequest) (*messenger.CancelResponse, error) {
	attempt, err := tracker.ParseAttempt(r.GetAttemptID())
	if err != nil {
		return nil, twirp.InvalidArgumentError("AttemptID", err.Error())
	}
	c.executor.Cancel(attempt)
	return &messenger.CancelResponse{}, nil
}

// Recall yields an idempotency key to another node, and returns whether this node has a record of it.
func (c *control) Recall(_ context.Context, r *messenger.RecallRequest) (*messenger.RecallResponse, error) {
	known, err := c.dedup.Yield(r.GetKey())
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &messenger.RecallResponse{
		Known: known,
	}, nil
}

// Remember adds the idempotency key records that another node hands over.
func (c *control) Remember(_ context.Context, r *messenger.RememberRequest) (*messenger.RememberResponse, error) {
	records := make([]keytracker.Record, 0, len(r.GetRecords()))
	for _, rec := range r.GetRecords() {
		records = append(records, toRecord(rec))
	}
	c.dedup.AddRecords(records)
	return &messenger.RememberResponse{}, nil
}

// Blame applies a report from another node about one run of a request, and whether it crashed the backend server.
func (c *control) Blame(_ context.Context, r *messenger.BlameRequest) (*messenger.BlameResponse, error) {
	c.isolator.Apply(isolator.RunReport{
		Fingerprint: r.GetFingerprint(),
		Crashed:     r.GetDied(),
		Trial:       r.GetTrial(),
	})
	return &messenger.BlameResponse{}, nil
}

// canceller cancels attempts at other nodes.
type canceller struct {
	dialer dialer.Dialer
}

// Cancel asks the member to cancel the attempt; if the message is lost, the attempt runs until its deadline.
func (c *canceller) Cancel(ctx context.Context, m chivegauge.Member, attemptID string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	_, _ = c.dialer.Control(m.Address).Cancel(ctx, &messenger.CancelRequest{
		AttemptID: attemptID,
	})
}

// crashNotifier sends reports to other nodes about whether a request crashed the backend server that ran it.
type crashNotifier struct {
	dialer dialer.Dialer
}

// Notify sends the report to the member, or returns an error if there was no response.
func (n *crashNotifier) Notify(ctx context.Context, m chivegauge.Member, r isolator.RunReport) error {
	_, err := n.dialer.Control(m.Address).Blame(ctx, &messenger.BlameRequest{
		Fingerprint: r.Fingerprint,
		Died:        r.Crashed,
		Trial:       r.Trial,
	})
	return err
}
