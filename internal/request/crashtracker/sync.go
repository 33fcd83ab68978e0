package crashtracker

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chivegauge/chivegauge"
)

const (
	// batchDelay is the time between two broadcasts, sendTimeout bounds the sending of one report.
	batchDelay  = 100 * time.Millisecond
	sendTimeout = 400 * time.Millisecond

	// syncInterval is the time between two reports of refused requests, each to one random node; with n nodes that refuse
	// a request, one that doesn't receives about n reports in that time. A report has at most syncMax requests.
	syncInterval = 500 * time.Millisecond
	syncMax      = 32

	// publishMax is the maximum number of refused requests of which those that this node admits to trials are published.
	publishMax = 256
)

// Serve broadcasts a pending report at once, since the node may be killed next, and further ones in batches. It reports
// the refused requests to one other node after the other, until the context ends.
func (t *crashTracker) Serve(ctx context.Context) error {
	defer t.group.Wait()
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			refused := t.refused(now)
			t.syncRandom(ctx, now, refused)
			t.publish(ctx, refused)
			continue
		case <-t.wake:
		}
		t.broadcast(ctx, t.takePending(time.Now()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(batchDelay):
		}
	}
}

// takePending returns the report of the pending requests.
func (t *crashTracker) takePending(now time.Time) CrashReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := CrashReport{
		SentAtMs: now.UnixMilli(),
		Requests: make(Requests, len(t.pending)),
	}
	for f := range t.pending {
		if rec, ok := t.records[f]; ok {
			r.Requests[f] = rec.request()
		}
	}
	t.pending = map[uint64]bool{}
	return r
}

// broadcast sends the report to each other node; one that misses it is told by syncRandom if the request is refused.
func (t *crashTracker) broadcast(ctx context.Context, r CrashReport) {
	r.From = t.members.Self().Address
	for _, m := range t.otherNodes() {
		t.group.Go(func() { t.send(ctx, m, r) })
	}
}

func (t *crashTracker) otherNodes() []chivegauge.Member {
	self := t.members.Self().Address
	others := []chivegauge.Member{}
	for _, m := range t.members.Alive() {
		if m.Address != self {
			others = append(others, m)
		}
	}
	return others
}

// syncRandom reports refused requests to a random node, which may have been restarted or out of reach.
func (t *crashTracker) syncRandom(ctx context.Context, now time.Time, refused Requests) {
	others := t.otherNodes()
	if len(refused) == 0 || len(others) == 0 {
		return
	}
	r := CrashReport{
		From:     t.members.Self().Address,
		SentAtMs: now.UnixMilli(),
		Requests: Requests{},
	}
	for f, q := range refused {
		if len(r.Requests) == syncMax {
			break
		}
		r.Requests[f] = q
	}
	m := others[rand.IntN(len(others))]
	t.group.Go(func() { t.send(ctx, m, r) })
}

// publish publishes those of the refused requests whose trials this node admits, if they have changed; if there are more
// than publishMax refused requests, it considers those with the lowest fingerprints.
func (t *crashTracker) publish(ctx context.Context, refused Requests) {
	own := Requests{}
	lowest := slices.Sorted(maps.Keys(refused))
	for _, f := range lowest[:min(publishMax, len(lowest))] {
		if t.admitsTrial(f) {
			own[f] = refused[f]
		}
	}
	if maps.EqualFunc(own, t.published, Request.Equal) {
		return
	}
	t.published = own
	t.group.Go(func() { t.store.PublishRefused(ctx, own) })
}

// refused returns the refused requests, and removes the records that no longer count.
func (t *crashTracker) refused(now time.Time) Requests {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	refused := Requests{}
	for f, r := range t.records {
		if r.counters.Sum() >= crashesMax {
			refused[f] = r.request()
		}
	}
	return refused
}

func (t *crashTracker) send(ctx context.Context, m chivegauge.Member, r CrashReport) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := t.notifier.NotifyCrashes(ctx, m, r); err != nil {
		t.log.Debug().Err(err).Str("Member", m.Address).Msg("node not told of deaths of backend servers")
	}
}
