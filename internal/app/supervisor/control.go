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

// control answers the control calls of other nodes by the parts that they concern.
type control struct {
	heartbeater.Heartbeater
	executor executor.Executor
	shares   ratelimiter.LeaseLimiter
	slotter  reconciler.Reconciler
	dedup    deduplicator.Deduplicator
	isolator isolator.Isolator
}

// Draw gives rate tokens from the slots kept here.
func (c *control) Draw(_ context.Context, r *messenger.DrawRequest) (*messenger.DrawResponse, error) {
	return c.shares.Draw(r), nil
}

// HandSlot takes over a rate slot with its loans.
func (c *control) HandSlot(_ context.Context, r *messenger.HandSlotRequest) (*messenger.HandSlotResponse, error) {
	if r.GetSlot() >= chivegauge.SlotCount {
		return nil, twirp.InvalidArgumentError("Slot", "is not a slot")
	}
	c.slotter.Receive(toHandover(r))
	return &messenger.HandSlotResponse{}, nil
}

// Cancel ends an attempt that its sender no longer waits for.
func (c *control) Cancel(_ context.Context, r *messenger.CancelRequest) (*messenger.CancelResponse, error) {
	attempt, err := tracker.ParseAttempt(r.GetAttemptID())
	if err != nil {
		return nil, twirp.InvalidArgumentError("AttemptID", err.Error())
	}
	c.executor.Cancel(attempt)
	return &messenger.CancelResponse{}, nil
}

// Recall says what is remembered of an idempotency key.
func (c *control) Recall(_ context.Context, r *messenger.RecallRequest) (*messenger.RecallResponse, error) {
	known, err := c.dedup.Yield(r.GetKey())
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &messenger.RecallResponse{
		Known: known,
	}, nil
}

// Remember takes over what another node remembers.
func (c *control) Remember(_ context.Context, r *messenger.RememberRequest) (*messenger.RememberResponse, error) {
	records := make([]keytracker.Record, 0, len(r.GetRecords()))
	for _, rec := range r.GetRecords() {
		records = append(records, toRecord(rec))
	}
	c.dedup.AddRecords(records)
	return &messenger.RememberResponse{}, nil
}

// Blame takes in news of a request that ended with its backend server's death.
func (c *control) Blame(_ context.Context, r *messenger.BlameRequest) (*messenger.BlameResponse, error) {
	c.isolator.Apply(isolator.RunReport{
		Fingerprint: r.GetFingerprint(),
		Crashed:     r.GetDied(),
		Trial:       r.GetTrial(),
	})
	return &messenger.BlameResponse{}, nil
}

// canceller tells peers of attempts that are no longer waited for.
type canceller struct {
	dialer dialer.Dialer
}

// Cancel tells the member; a lost message only lets the attempt run to its deadline.
func (c *canceller) Cancel(ctx context.Context, m chivegauge.Member, attemptID string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	_, _ = c.dialer.Control(m.Address).Cancel(ctx, &messenger.CancelRequest{
		AttemptID: attemptID,
	})
}

// teller sends peers the news of requests that backend servers died of.
type teller struct {
	dialer dialer.Dialer
}

// Notify tells the member, or returns an error if it did not answer.
func (t *teller) Notify(ctx context.Context, m chivegauge.Member, n isolator.RunReport) error {
	_, err := t.dialer.Control(m.Address).Blame(ctx, &messenger.BlameRequest{
		Fingerprint: n.Fingerprint,
		Died:        n.Crashed,
		Trial:       n.Trial,
	})
	return err
}
