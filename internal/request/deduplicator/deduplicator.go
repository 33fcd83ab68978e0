package deduplicator

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/policy/rememberer"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
	"github.com/go-faster/errors"
)

const (
	keysMax     = 200000
	answerBytes = 16 << 20
	recallTime  = time.Second

	// forwardsMax is the number of times that a call is forwarded towards the owner of its key. Where nodes do not agree on
	// the owner, as when one is leaving, each further time comes after twice the pause, 0.6 s in all, in which a member
	// that leaves has told all nodes.
	forwardsMax  = 6
	forwardPause = 10 * time.Millisecond
)

// ErrForgetful is returned by a node that may have forgotten the key that it is asked for.
var ErrForgetful = errors.New("an earlier process on this address may have known the key")

// Members is the membership that owners are chosen from.
type Members interface {
	Self() chivegauge.Member
	Service(name string) []chivegauge.Member
	Met(m chivegauge.Member) (time.Time, bool)
}

// Dispatcher sends requests to services.
type Dispatcher interface {
	Dispatch(ctx context.Context, c chivegauge.Call) chivegauge.Answer
}

// Remote carries a call to its owner.
type Remote interface {
	Hop(ctx context.Context, m chivegauge.Member, c chivegauge.Call) (chivegauge.Answer, picker.Load)
}

// Recaller asks another node to yield a key.
type Recaller interface {
	Recall(ctx context.Context, m chivegauge.Member, key string) (known bool, err error)
}

// Deduplicator sends requests to the owners of their idempotency keys.
type Deduplicator interface {
	// Dispatch returns the answer to the call; one with an idempotency key goes through the key's owner.
	Dispatch(ctx context.Context, c chivegauge.Call) chivegauge.Answer
	// Own answers a call whose key this node owns.
	Own(ctx context.Context, c chivegauge.Call) chivegauge.Answer
	// Yield lets another node run a key and reports whether it is known here, or returns ErrForgetful.
	Yield(key string) (bool, error)
	// Remembers takes over records of another node.
	Remembers(records []rememberer.Record)
	// Records returns the records to hand over, by the address of their next owner, "" for none.
	Records() map[string][]rememberer.Record
	// Forgetful says until when keys of an earlier process on this address may be unknown.
	Forgetful(until time.Time)
	// Remains returns for how long the node must stay, because it may not know keys that it would hand over.
	Remains() time.Duration
	// Sweep forgets old keys.
	Sweep(now time.Time)
}

type deduplicator struct {
	now      func() time.Time
	members  Members
	next     Dispatcher
	remote   Remote
	recaller Recaller
	gone     func(address string) bool
	rest     Rest

	retention time.Duration

	mu        sync.Mutex
	keys      rememberer.Rememberer
	waiting   map[string]chan struct{}
	forgetful time.Time
	sequence  uint64
}

// Rest waits for the time, or until the context ends.
type Rest func(ctx context.Context, d time.Duration)

// New returns a deduplicator in front of a dispatcher; gone reports whether an operator
// declared an address gone, retention is how long a key is remembered.
func New(now func() time.Time, rest Rest, m Members, next Dispatcher, r Remote, x Recaller, gone func(address string) bool, retention time.Duration) Deduplicator {
	return &deduplicator{
		retention: retention,
		now:       now,
		members:   m,
		next:      next,
		remote:    r,
		recaller:  x,
		gone:      gone,
		rest:      rest,
		keys:      rememberer.New(retention, keysMax, answerBytes),
		waiting:   map[string]chan struct{}{},
	}
}

// Forgetful says until when keys of an earlier process may be unknown.
func (d *deduplicator) Forgetful(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetful = until
}

// Remains returns for how long the node may not know keys that it would hand over.
func (d *deduplicator) Remains() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(0, d.forgetful.Sub(d.now()))
}

// Key returns the name under which a call is remembered.
func Key(c chivegauge.Call) string {
	return c.Service + "|" + c.Workspace + "|" + c.Route + "|" + c.IdempotencyKey
}

func fingerprint(c chivegauge.Call) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(c.Method + " " + c.Target + "\n")
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

// Dispatch sends a call with an idempotency key to the key's owner, any other call on.
func (d *deduplicator) Dispatch(ctx context.Context, c chivegauge.Call) chivegauge.Answer {
	if c.Idempotent || c.IdempotencyKey == "" {
		return d.next.Dispatch(ctx, c)
	}
	ranking, _ := d.ranking(c.Service, Key(c))
	if len(ranking) == 0 {
		return d.next.Dispatch(ctx, c)
	}
	return d.toOwner(ctx, ranking[0], c)
}

func (d *deduplicator) toOwner(ctx context.Context, owner chivegauge.Member, c chivegauge.Call) chivegauge.Answer {
	if owner.Address == d.members.Self().Address {
		return d.Own(ctx, c)
	}
	if owner.State == chivegauge.Dead {
		return uncertain(c, "the node that remembers the idempotency key is away")
	}
	if c.Forwards >= forwardsMax {
		return uncertain(c, "the nodes do not agree on which of them remembers the idempotency key")
	}
	id := c.AttemptID
	c = c.WithForwards(c.Forwards+1).WithAttempt(d.attempt(), c.Tokens)
	answer, _ := d.remote.Hop(ctx, owner, c)
	if answer.Refusal != nil && answer.Refusal.Code == chivegauge.CodeUnreachable {
		return uncertain(c, "the node that remembers the idempotency key can't be reached")
	}
	answer.AttemptID = id
	return answer
}

// attempt returns the ID of a hop to an owner, apart from those of the dispatcher.
func (d *deduplicator) attempt() string {
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

func uncertain(c chivegauge.Call, message string) chivegauge.Answer {
	return chivegauge.RefusalAnswer(c.AttemptID, chivegauge.Unknown(chivegauge.CodeOutcomeUnknown, message), c.Tokens)
}

// Own answers a call whose key this node owns: from memory, by joining its run, or by running it.
func (d *deduplicator) Own(ctx context.Context, c chivegauge.Call) chivegauge.Answer {
	key := Key(c)
	if a, ok := d.remembered(ctx, c, key); ok {
		return a
	}
	ranking, elsewhere := d.ranking(c.Service, key)
	if elsewhere && c.Forwards > 0 {
		d.rest(ctx, forwardPause<<(c.Forwards-1))
		ranking, elsewhere = d.ranking(c.Service, key)
	}
	if elsewhere {
		return d.toOwner(ctx, ranking[0], c)
	}
	if d.isForgetful() || d.yielded(key) {
		return uncertain(c, "this node does not know what became of the idempotency key")
	}
	if a, ok := d.askElders(ctx, c, key, ranking); ok {
		return a
	}
	return d.run(ctx, c, key)
}

// ranking returns the nodes that may own the key, the owner first, and whether that is another node.
func (d *deduplicator) ranking(service, key string) ([]chivegauge.Member, bool) {
	list := rememberer.Ranking(d.members.Service(service), key, d.gone)
	return list, len(list) > 0 && list[0].Address != d.members.Self().Address
}

func (d *deduplicator) isForgetful() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now().Before(d.forgetful)
}

// yielded reports whether another node was allowed to run the key.
func (d *deduplicator) yielded(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keys.Look(d.now(), key, 0).Verdict == rememberer.Moved
}

// remembered answers from memory, or waits for the run of the key.
func (d *deduplicator) remembered(ctx context.Context, c chivegauge.Call, key string) (chivegauge.Answer, bool) {
	for {
		d.mu.Lock()
		rec := d.keys.Look(d.now(), key, fingerprint(c))
		done := d.waiting[key]
		d.mu.Unlock()
		if rec.Verdict != rememberer.Running {
			return answerOf(c, rec)
		}
		select {
		case <-done:
		case <-ctx.Done():
			return uncertain(c, "the request of this idempotency key still runs"), true
		}
	}
}

func answerOf(c chivegauge.Call, rec rememberer.Record) (chivegauge.Answer, bool) {
	switch rec.Verdict {
	case rememberer.Fresh, rememberer.Moved:
		return chivegauge.Answer{}, false
	case rememberer.Answered:
		a := rec.Answer
		a.AttemptID = c.AttemptID
		return a.WithTokens(c.Tokens), true
	case rememberer.Mismatched:
		refusal := chivegauge.Refuse(chivegauge.CodeKeyReused, "the idempotency key came before with another request")
		return chivegauge.RefusalAnswer(c.AttemptID, refusal, c.Tokens), true
	default:
		return uncertain(c, "the request of this idempotency key may have run; its answer is not known"), true
	}
}

// askElders asks the nodes that may have owned the key before, and forwards the call to one that knows it.
func (d *deduplicator) askElders(ctx context.Context, c chivegauge.Call, key string, ranking []chivegauge.Member) (chivegauge.Answer, bool) {
	askCtx, cancel := context.WithTimeout(ctx, recallTime)
	defer cancel()
	for _, m := range rememberer.Elders(d.now(), d.retention, ranking, d.members.Self().Address, d.members.Met) {
		if m.State == chivegauge.Dead {
			return uncertain(c, "a node that may remember the idempotency key is away"), true
		}
		known, err := d.recaller.Recall(askCtx, m, key)
		if err != nil {
			return uncertain(c, "a node that may remember the idempotency key does not answer"), true
		}
		if known {
			return d.toOwner(ctx, m, c), true
		}
	}
	return chivegauge.Answer{}, false
}

// run dispatches the call if it is the first of its key.
func (d *deduplicator) run(ctx context.Context, c chivegauge.Call, key string) chivegauge.Answer {
	d.mu.Lock()
	rec := d.keys.Begin(d.now(), key, fingerprint(c))
	done := make(chan struct{})
	if rec.Verdict == rememberer.Fresh {
		d.waiting[key] = done
	}
	d.mu.Unlock()
	switch rec.Verdict {
	case rememberer.Fresh:
	case rememberer.Full:
		refusal := chivegauge.Refuse(chivegauge.CodeBusy, "no further idempotency key can be remembered now")
		return chivegauge.RefusalAnswer(c.AttemptID, refusal, c.Tokens)
	default:
		return d.Own(ctx, c)
	}
	answer := d.next.Dispatch(context.WithoutCancel(ctx), c.WithForwards(0))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys.Finish(d.now(), key, answer)
	delete(d.waiting, key)
	close(done)
	answer.AttemptID = c.AttemptID
	return answer
}

// Yield lets another node run a key, unless an earlier process here may have run it.
func (d *deduplicator) Yield(key string) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	known := d.keys.Yield(now, key)
	if !known && now.Before(d.forgetful) {
		return false, ErrForgetful
	}
	return known, nil
}

// Remembers takes over records of another node.
func (d *deduplicator) Remembers(records []rememberer.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, rec := range records {
		d.keys.Take(d.now(), rec)
	}
}

// Records returns the records to hand over, by the address of their next owner.
func (d *deduplicator) Records() map[string][]rememberer.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	self := d.members.Self()
	others := func(address string) bool { return address == self.Address || d.gone(address) }
	byOwner := map[string][]rememberer.Record{}
	for _, rec := range d.keys.Records() {
		ranking := rememberer.Ranking(d.members.Service(self.Service), rec.Key, others)
		owner := ""
		if len(ranking) > 0 {
			owner = ranking[0].Address
		}
		byOwner[owner] = append(byOwner[owner], rec)
	}
	return byOwner
}

// Sweep forgets old keys.
func (d *deduplicator) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys.Sweep(now)
}
