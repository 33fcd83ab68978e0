package supervisor

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/timekeeper"
	"github.com/chivegauge/chivegauge/internal/cluster/dialer"
	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
	"github.com/chivegauge/chivegauge/internal/policy/keytracker"
	"github.com/go-faster/errors"
)

const (
	// forever is how long the key records count as incomplete while it is not known how the earlier process ended.
	forever          = 100 * 365 * 24 * time.Hour
	handoverTimeout  = 5 * time.Second
	handoverMaxBytes = 512 << 10
	handoverMaxKeys  = 500
)

// recaller asks other nodes to yield idempotency keys.
type recaller struct {
	dialer dialer.Dialer
}

// Recall asks the member to yield the key, and returns whether the member has a record of it.
func (r *recaller) Recall(ctx context.Context, m chivegauge.Member, key string) (bool, error) {
	res, err := r.dialer.Control(m.Address).Recall(ctx, &messenger.RecallRequest{
		Key: key,
	})
	if err != nil {
		return false, err
	}
	return res.GetKnown(), nil
}

// onPredecessorExit marks the key records as incomplete for the retention time if an earlier process ended without
// handing its keys over.
func (p *parts) onPredecessorExit(unclean bool) {
	until := timekeeper.Now()
	if unclean {
		until = until.Add(p.keyRetention)
	}
	p.dedup.SetIncompleteUntil(until)
}

// handOverKeys sends the key records of this node to their next owners.
func (p *parts) handOverKeys(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for address, records := range p.dedup.Records() {
		if address == "" {
			return errors.Errorf("no member is left to own %d idempotency keys", len(records))
		}
		for len(records) > 0 {
			n := batch(records)
			req := &messenger.RememberRequest{}
			for _, rec := range records[:n] {
				req.Records = append(req.Records, fromRecord(rec))
			}
			if _, err := p.dialer.Control(address).Remember(ctx, req); err != nil {
				return err
			}
			records = records[n:]
		}
	}
	return nil
}

// batch returns the number of records that fit into one message, at least one.
func batch(records []keytracker.Record) int {
	bytes := 0
	for n, rec := range records {
		bytes += len(rec.Response.Body)
		if n > 0 && (bytes > handoverMaxBytes || n == handoverMaxKeys) {
			return n
		}
	}
	return len(records)
}

func fromRecord(rec keytracker.Record) *messenger.KeyRecord {
	r := &messenger.KeyRecord{
		Key:         rec.Key,
		Fingerprint: rec.Fingerprint,
		Verdict:     int32(rec.State),
		Status:      int32(rec.Response.Status),
		Body:        rec.Response.Body,
	}
	for _, f := range rec.Response.Header {
		r.Header = append(r.Header, &messenger.Field{
			Name:  f.Name,
			Value: f.Value,
		})
	}
	return r
}

func toRecord(r *messenger.KeyRecord) keytracker.Record {
	rec := keytracker.Record{
		Key:         r.GetKey(),
		Fingerprint: r.GetFingerprint(),
		State:       keytracker.State(r.GetVerdict()),
		Response: chivegauge.Response{
			Status: int(r.GetStatus()),
			Body:   r.GetBody(),
		},
	}
	for _, f := range r.GetHeader() {
		rec.Response.Header = append(rec.Response.Header, chivegauge.HeaderField{
			Name:  f.GetName(),
			Value: f.GetValue(),
		})
	}
	return rec
}
