package deduplicator

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/keytracker"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
	"github.com/go-faster/errors"
)

const (
	keysMax          = 200000
	responseBytesMax = 16 << 20
	recallTimeout    = time.Second

	// forwardsMax is the maximum number of times that a call is forwarded to the owner of its key. While nodes disagree on
	// the owner, for example when one is leaving, each further forward is delayed: by forwardBackoff at first, then by
	// twice the previous delay. The delays add up to 0.6 s, in which a leaving member has notified all nodes.
	forwardsMax    = 6
	forwardBackoff = 10 * time.Millisecond
)

// ErrIncomplete is returned by a node that may have lost the record of the requested key in a restart.
var ErrIncomplete = errors.New("an earlier process on this address may have known the key")

// Members is the membership that the owners of keys are selected from.
type Members interface {
	Self() chivegauge.Member
	Service(name string) []chivegauge.Member
	KnownSince(m chivegauge.Member) (time.Time, bool)
}

// Dispatcher sends requests to services.
type Dispatcher interface {
	Dispatch(ctx context.Context, c chivegauge.Call) chivegauge.Response
}

// Remote sends a call to the owner of its key.
type Remote interface {
	Send(ctx context.Context, m chivegauge.Member, c chivegauge.Call) (chivegauge.Response, picker.Load)
}

// Recaller queries whether another node has a record of a key; a node that has none yields the key to this node.
type Recaller interface {
	Recall(ctx context.Context, m chivegauge.Member, key string) (known bool, err error)
}

// Deduplicator forwards requests to the owners of their idempotency keys, which run each key at most once.
type Deduplicator interface {
	// Dispatch returns the response to the call; a call with an idempotency key is forwarded to the owner of the key.
	Dispatch(ctx context.Context, c chivegauge.Call) chivegauge.Response
	// DispatchOwned returns the response to a call whose key this node owns.
	DispatchOwned(ctx context.Context, c chivegauge.Call) chivegauge.Response
	// Yield lets another node run a key unless this node has a record of it, and reports whether it has one; it returns
	// ErrIncomplete if it has none but its records may be incomplete.
	Yield(key string) (bool, error)
	// AddRecords adds records that another node hands over.
	AddRecords(records []keytracker.Record)
	// Records returns the records to hand over, by the address of their next owner; the address is empty if there is none.
	Records() map[string][]keytracker.Record
	// SetIncompleteUntil sets the time until which the records may lack keys that an earlier process at this address ran.
	SetIncompleteUntil(until time.Time)
	// HandoverDelay returns how long the node must keep running before a handover, because its records may be incomplete.
	HandoverDelay() time.Duration
	// Sweep deletes keys older than the retention.
	Sweep(now time.Time)
}

// deduplicator keeps the records of keys; done holds a channel per running key that is closed when its run ends.
type deduplicator struct {
	now        func() time.Time
	members    Members
	dispatcher Dispatcher
	remote     Remote
	recaller   Recaller
	gone       func(address string) bool
	sleep      Sleep

	retention time.Duration

	mu              sync.Mutex
	keys            keytracker.Tracker
	done            map[string]chan struct{}
	incompleteUntil time.Time
	sequence        uint64
}

// Sleep sleeps for the duration, or until the context ends.
type Sleep func(ctx context.Context, d time.Duration)

// New returns a deduplicator that dispatches calls through next. gone reports whether an operator declared an address
// gone, and retention is how long the record of a key is kept.
func New(now func() time.Time, sleep Sleep, m Members, next Dispatcher, r Remote, x Recaller, gone func(address string) bool, retention time.Duration) Deduplicator {
	return &deduplicator{
		retention:  retention,
		now:        now,
		members:    m,
		dispatcher: next,
		remote:     r,
		recaller:   x,
		gone:       gone,
		sleep:      sleep,
		keys:       keytracker.New(retention, keysMax, responseBytesMax),
		done:       map[string]chan struct{}{},
	}
}

// SetIncompleteUntil sets the time until which the records may lack keys of an earlier process.
func (d *deduplicator) SetIncompleteUntil(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incompleteUntil = until
}

// HandoverDelay returns for how long the records may be incomplete.
func (d *deduplicator) HandoverDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(0, d.incompleteUntil.Sub(d.now()))
}

// Key returns the key of the record of a call: its service, workspace, route and idempotency key.
func Key(c chivegauge.Call) string {
	return c.Service + "|" + c.Workspace + "|" + c.Route + "|" + c.IdempotencyKey
}

// fingerprint returns a hash of the method, target and body, which detects another request with the same idempotency
// key.
func fingerprint(c chivegauge.Call) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(c.Method + " " + c.Target + "\n")
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

// Dispatch forwards a non-idempotent call with an idempotency key to the owner of the key, and passes any other call to
// the dispatcher.
func (d *deduplicator) Dispatch(ctx context.Context, c chivegauge.Call) chivegauge.Response {
	if c.Idempotent || c.IdempotencyKey == "" {
		return d.dispatcher.Dispatch(ctx, c)
	}
	ranking, _ := d.ranking(c.Service, Key(c))
	if len(ranking) == 0 {
		return d.dispatcher.Dispatch(ctx, c)
	}
	return d.forwardToOwner(ctx, ranking[0], c)
}

// forwardToOwner returns the response of the owner of the key, or a refusal that says that the outcome is unknown.
func (d *deduplicator) forwardToOwner(ctx context.Context, owner chivegauge.Member, c chivegauge.Call) chivegauge.Response {
	if owner.Address == d.members.Self().Address {
		return d.DispatchOwned(ctx, c)
	}
	if owner.State == chivegauge.Dead {
		return outcomeUnknown(c, "the node that remembers the idempotency key is away")
	}
	if c.Forwards >= forwardsMax {
		return outcomeUnknown(c, "the nodes do not agree on which of them remembers the idempotency key")
	}
	id := c.AttemptID
	c = c.WithForwards(c.Forwards+1).WithAttempt(d.nextAttemptID(), c.Tokens)
	response, _ := d.remote.Send(ctx, owner, c)
	if response.Refusal != nil && response.Refusal.Code == chivegauge.CodeUnreachable {
		return outcomeUnknown(c, "the node that remembers the idempotency key can't be reached")
	}
	response.AttemptID = id
	return response
}

// nextAttemptID returns a new attempt ID for a call that is forwarded to an owner. The "!" in its sender keeps it
// distinct from the attempt IDs of the dispatcher.
func (d *deduplicator) nextAttemptID() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	self := d.members.Self()
	id := tracker.Attempt{
		Sender:   tracker.Sender(self.Address, self.Process()) + "!",
		Sequence: d.sequence,
	}
	return id.String()
}

// outcomeUnknown returns a refusal that says that the call may have run.
func outcomeUnknown(c chivegauge.Call, message string) chivegauge.Response {
	return chivegauge.RefusalResponse(c.AttemptID, chivegauge.RefuseMayHaveRun(chivegauge.CodeOutcomeUnknown, message), c.Tokens)
}

// DispatchOwned returns the response to a call whose key this node owns: from the record of the key, from its running
// request, or from a new run.
func (d *deduplicator) DispatchOwned(ctx context.Context, c chivegauge.Call) chivegauge.Response {
	key := Key(c)
	if response, ok := d.recordedResponse(ctx, c, key); ok {
		return response
	}
	ranking, remoteOwner := d.ranking(c.Service, key)
	if remoteOwner && c.Forwards > 0 {
		d.sleep(ctx, forwardBackoff<<(c.Forwards-1))
		ranking, remoteOwner = d.ranking(c.Service, key)
	}
	if remoteOwner {
		return d.forwardToOwner(ctx, ranking[0], c)
	}
	if d.incomplete() || d.moved(key) {
		return outcomeUnknown(c, "this node does not know what became of the idempotency key")
	}
	if response, ok := d.recallFromPreviousOwners(ctx, c, key, ranking); ok {
		return response
	}
	return d.dispatchFirst(ctx, c, key)
}

// ranking returns the nodes that may own the key, the owner first, and whether the owner is another node.
func (d *deduplicator) ranking(service, key string) ([]chivegauge.Member, bool) {
	list := keytracker.RankOwners(d.members.Service(service), key, d.gone)
	return list, len(list) > 0 && list[0].Address != d.members.Self().Address
}

// incomplete reports whether the records may lack keys of an earlier process.
func (d *deduplicator) incomplete() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now().Before(d.incompleteUntil)
}

// moved reports whether another node was allowed to run the key.
func (d *deduplicator) moved(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keys.Lookup(d.now(), key, 0).State == keytracker.Moved
}

// recordedResponse returns the recorded response of the key, and waits for it if the request is running, or returns
// false if the key has not run here.
func (d *deduplicator) recordedResponse(ctx context.Context, c chivegauge.Call, key string) (chivegauge.Response, bool) {
	for {
		d.mu.Lock()
		rec := d.keys.Lookup(d.now(), key, fingerprint(c))
		done := d.done[key]
		d.mu.Unlock()
		if rec.State != keytracker.Running {
			return responseFromRecord(c, rec)
		}
		select {
		case <-done:
		case <-ctx.Done():
			return outcomeUnknown(c, "the request of this idempotency key still runs"), true
		}
	}
}

// responseFromRecord returns the response to a call whose key has the record, or false if the key has not run here.
func responseFromRecord(c chivegauge.Call, rec keytracker.Record) (chivegauge.Response, bool) {
	switch rec.State {
	case keytracker.Unseen, keytracker.Moved:
		return chivegauge.Response{}, false
	case keytracker.Answered:
		response := rec.Response
		response.AttemptID = c.AttemptID
		return response.WithTokens(c.Tokens), true
	case keytracker.Mismatched:
		refusal := chivegauge.Refuse(chivegauge.CodeKeyReused, "the idempotency key came before with another request")
		return chivegauge.RefusalResponse(c.AttemptID, refusal, c.Tokens), true
	default:
		return outcomeUnknown(c, "the request of this idempotency key may have run; its answer is not known"), true
	}
}

// recallFromPreviousOwners recalls the key from the nodes that may have owned it before, and forwards the call to the
// first that has a record of it, or returns false if none has.
func (d *deduplicator) recallFromPreviousOwners(ctx context.Context, c chivegauge.Call, key string, ranking []chivegauge.Member) (chivegauge.Response, bool) {
	recallCtx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	for _, m := range keytracker.PreviousOwners(d.now(), d.retention, ranking, d.members.Self().Address, d.members.KnownSince) {
		if m.State == chivegauge.Dead {
			return outcomeUnknown(c, "a node that may remember the idempotency key is away"), true
		}
		known, err := d.recaller.Recall(recallCtx, m, key)
		if err != nil {
			return outcomeUnknown(c, "a node that may remember the idempotency key does not answer"), true
		}
		if known {
			return d.forwardToOwner(ctx, m, c), true
		}
	}
	return chivegauge.Response{}, false
}

// dispatchFirst dispatches the call if it is the first of its key, and records the response.
func (d *deduplicator) dispatchFirst(ctx context.Context, c chivegauge.Call, key string) chivegauge.Response {
	d.mu.Lock()
	rec := d.keys.Begin(d.now(), key, fingerprint(c))
	done := make(chan struct{})
	if rec.State == keytracker.Unseen {
		d.done[key] = done
	}
	d.mu.Unlock()
	switch rec.State {
	case keytracker.Unseen:
	case keytracker.Full:
		refusal := chivegauge.Refuse(chivegauge.CodeBusy, "no further idempotency key can be remembered now")
		return chivegauge.RefusalResponse(c.AttemptID, refusal, c.Tokens)
	default:
		return d.DispatchOwned(ctx, c)
	}
	response := d.dispatcher.Dispatch(context.WithoutCancel(ctx), c.WithForwards(0))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys.Finish(d.now(), key, response)
	delete(d.done, key)
	close(done)
	response.AttemptID = c.AttemptID
	return response
}

// Yield lets another node run a key, unless this node has a record of it or an earlier process here may have run it.
func (d *deduplicator) Yield(key string) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	known := d.keys.MarkMoved(now, key)
	if !known && now.Before(d.incompleteUntil) {
		return false, ErrIncomplete
	}
	return known, nil
}

// AddRecords adds records that another node hands over.
func (d *deduplicator) AddRecords(records []keytracker.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, rec := range records {
		d.keys.Import(d.now(), rec)
	}
}

// Records returns the records to hand over, by the address of their next owner.
func (d *deduplicator) Records() map[string][]keytracker.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	self := d.members.Self()
	others := func(address string) bool { return address == self.Address || d.gone(address) }
	byOwner := map[string][]keytracker.Record{}
	for _, rec := range d.keys.Records() {
		ranking := keytracker.RankOwners(d.members.Service(self.Service), rec.Key, others)
		owner := ""
		if len(ranking) > 0 {
			owner = ranking[0].Address
		}
		byOwner[owner] = append(byOwner[owner], rec)
	}
	return byOwner
}

// Sweep deletes keys older than the retention.
func (d *deduplicator) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys.Sweep(now)
}
