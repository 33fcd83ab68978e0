package clusterlimiter

import (
	"context"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/locallimiter"
	"github.com/go-faster/errors"
)

const (
	// localShare is the share of a rate that is split evenly among all nodes and spent without a request to the owner.
	localShare = 0.1

	// ownerSelfShares limits the tokens that an owner grants to its own callers, in even shares of the whole rate. An
	// owner that is partitioned from all other nodes serves only its own callers, while an acting owner grants tokens
	// to the rest.
	ownerSelfShares = 2.5

	// requestTimeout bounds a token request; it allows for a new connection between two availability zones.
	requestTimeout = 300 * time.Millisecond

	// waitMax is the longest time that a request is queued for a token.
	waitMax = 40 * time.Millisecond

	// backoffInitial and backoffMax bound the time for which a node that didn't respond is skipped; it doubles each time.
	backoffInitial = time.Second
	backoffMax     = 16 * time.Second

	// triesMax is the number of nodes that are tried for one token request.
	triesMax = 2

	// relayTimeout bounds a token request that is relayed for a node which itself waits for requestTimeout; each
	// further relay has half the timeout of the one before.
	relayTimeout = requestTimeout / 2

	// relaysMax is the number of times that a token request is relayed.
	relaysMax = 2

	// probeInterval is the shortest time between two checks by an acting owner whether the preferred owner is reachable
	// again; until then both may grant tokens.
	probeInterval = 200 * time.Millisecond
)

// ErrNotServing is returned by a node that can't grant tokens yet.
var ErrNotServing = errors.New("the node does not hand out tokens")

// TokenRequest is a request for tokens of a workspace from the node that owns its bucket.
type TokenRequest struct {
	Workspace string

	// Count is the number of tokens requested; with 0 the request only checks whether the node is reachable.
	Count int `json:"Want"`

	// Ahead is the number of tokens that the node would use within aheadTime after the request.
	Ahead int `json:",omitempty"`

	// Relays is the number of nodes that relayed the request because they were mistaken for the owner.
	Relays int `json:",omitempty"`
}

// Grant is the response to a token request; Wait is the time until the next token is available.
type Grant struct {
	Granted int
	Wait    time.Duration

	// Ahead is the number of tokens that may be used until aheadTime after the request was sent.
	Ahead int `json:",omitempty"`
}

// Members is the list of the nodes that are alive.
type Members interface {
	Self() chivegauge.Member
	Alive() []chivegauge.Member
}

// TokenClient sends token requests to other nodes.
type TokenClient interface {
	RequestTokens(ctx context.Context, m chivegauge.Member, tr TokenRequest) (Grant, error)
}

// ClusterLimiter limits the request rates of workspaces, and grants tokens to other nodes from the buckets that this
// node owns.
type ClusterLimiter interface {
	// Configure sets the workspaces and their rates.
	Configure(list []chivegauge.Workspace)
	// Resize sets the number of nodes; it is called whenever the list of nodes that are alive changes.
	Resize(nodes int)
	// Acquire spends a token for a request, or returns the time until the next token is available.
	Acquire(ctx context.Context, workspace string) (ok bool, wait time.Duration)
	// Grant grants tokens to another node, or relays its request to the owner.
	Grant(ctx context.Context, tr TokenRequest) Grant
	// MarkReachable marks a node as reachable after a message from it arrived.
	MarkReachable(address string)
}

type clusterLimiter struct {
	now     func() time.Time
	members Members
	client  TokenClient
	group   sync.WaitGroup

	mu          sync.Mutex
	workspaces  []chivegauge.Workspace
	nodes       int
	local       locallimiter.LocalLimiter
	owned       locallimiter.LocalLimiter
	selfGrants  locallimiter.LocalLimiter
	queues      map[string]*queue
	unreachable map[string]backoff
	owns        map[string]bool
	owners      map[string]currentOwner
	lastProbe   time.Time
}

// queue holds the requests of one workspace that wait for tokens; no request is queued before emptyUntil.
type queue struct {
	waiting    []waiter
	requesting bool
	emptyUntil time.Time
	reserve    reserve
	demand     demand
}

// waiter is a request that has waited for a token since queuedAt.
type waiter struct {
	queuedAt time.Time
	done     chan result
}

type result struct {
	ok   bool
	wait time.Duration
}

// New returns a cluster limiter; initial is how full the buckets for the node's own callers are at the start, from 0 to
// 1.
func New(now func() time.Time, m Members, c TokenClient, initial float64) ClusterLimiter {
	return &clusterLimiter{
		now:         now,
		members:     m,
		client:      c,
		nodes:       1,
		local:       locallimiter.New(initial),
		owned:       locallimiter.New(0),
		selfGrants:  locallimiter.New(initial),
		queues:      map[string]*queue{},
		unreachable: map[string]backoff{},
		owns:        map[string]bool{},
		owners:      map[string]currentOwner{},
	}
}

// Configure sets the workspaces and their rates.
func (l *clusterLimiter) Configure(list []chivegauge.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workspaces = list
	l.configureBuckets()
	l.updateOwnership()
}

// Resize sets the number of nodes.
func (l *clusterLimiter) Resize(nodes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if nodes != l.nodes {
		l.nodes = max(1, nodes)
		l.configureBuckets()
	}
	l.updateOwnership()
}

// updateOwnership determines which workspaces' buckets this node owns; l.mu is held.
func (l *clusterLimiter) updateOwnership() {
	clear(l.owners)
	self := l.members.Self().Address
	for _, w := range l.workspaces {
		l.setOwnership(w.Name, l.owner(w.Name).Address == self)
	}
}

// setOwnership records whether this node owns the bucket of the workspace. A new owner starts with an empty bucket,
// because the previous owner may have granted the burst already; l.mu is held.
func (l *clusterLimiter) setOwnership(workspace string, owns bool) {
	if owns && !l.owns[workspace] {
		l.owned.Empty(l.now(), workspace)
	}
	l.owns[workspace] = owns
}

func (l *clusterLimiter) configureBuckets() {
	now := l.now()
	even := 1 / float64(l.nodes)
	l.local.Configure(now, l.workspaces, localShare*even)
	l.owned.Configure(now, l.workspaces, 1-localShare)
	l.selfGrants.Configure(now, l.workspaces, min(1, ownerSelfShares*even))
}

// Acquire spends a token of the node's local share, or waits for one from the owner.
func (l *clusterLimiter) Acquire(ctx context.Context, workspace string) (bool, time.Duration) {
	ch, r := l.enqueue(ctx, workspace)
	if ch == nil {
		return r.ok, r.wait
	}
	select {
	case r = <-ch:
	case <-ctx.Done():
	}
	return r.ok, r.wait
}

// enqueue decides immediately and returns a nil channel, or queues the request and makes sure that tokens are
// requested.
func (l *clusterLimiter) enqueue(ctx context.Context, workspace string) (chan result, result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if taken, _ := l.local.Acquire(now, workspace, 1); taken > 0 {
		return nil, result{
			ok: true,
		}
	}
	q := l.queues[workspace]
	if q == nil {
		q = &queue{}
		l.queues[workspace] = q
	}
	q.demand = q.demand.withRequest(now)
	if rest, ok := q.reserve.take(now); ok {
		q.reserve = rest
		return nil, result{
			ok: true,
		}
	}
	if now.Before(q.emptyUntil) {
		return nil, result{
			wait: q.emptyUntil.Sub(now),
		}
	}
	ch := make(chan result, 1)
	q.waiting = append(q.waiting, waiter{
		queuedAt: now,
		done:     ch,
	})
	if !q.requesting {
		q.requesting = true
		l.group.Go(func() { l.serveQueue(context.WithoutCancel(ctx), workspace, q) })
	}
	return ch, result{}
}

// serveQueue requests tokens until the queue is empty.
func (l *clusterLimiter) serveQueue(ctx context.Context, workspace string, q *queue) {
	for {
		l.mu.Lock()
		count := len(q.waiting)
		if count == 0 {
			q.requesting = false
			l.mu.Unlock()
			return
		}
		sent := l.now()
		ahead := q.demand.ahead(sent)
		l.mu.Unlock()
		g := l.requestTokens(ctx, TokenRequest{
			Workspace: workspace,
			Count:     count,
			Ahead:     ahead,
		})
		if l.distribute(q, g, sent) {
			time.Sleep(g.Wait)
		}
	}
}

// distribute gives the granted tokens to the requests that were queued first, refuses those that would wait longer than
// waitMax, and reports whether requests remain in the queue. It keeps the tokens that were granted ahead, in response to a
// token request that was sent at the given time.
func (l *clusterLimiter) distribute(q *queue, g Grant, sent time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	q.reserve = reserve{
		tokens: g.Ahead,
		until:  sent.Add(aheadTime),
	}
	n := min(g.Granted, len(q.waiting))
	for _, w := range q.waiting[:n] {
		w.done <- result{
			ok: true,
		}
	}
	left := q.waiting[n:]
	q.waiting = nil
	for _, w := range left {
		if now.Add(g.Wait).Sub(w.queuedAt) <= waitMax {
			q.waiting = append(q.waiting, w)
			continue
		}
		q.emptyUntil = now.Add(min(g.Wait, waitMax))
		w.done <- result{
			wait: g.Wait,
		}
	}
	return len(q.waiting) > 0
}

// requestTokens requests tokens from the owner of the workspace's bucket, or from the next node if it doesn't respond.
func (l *clusterLimiter) requestTokens(ctx context.Context, tr TokenRequest) Grant {
	for range triesMax {
		g, self, err := l.requestFromOwner(ctx, tr, requestTimeout)
		if self {
			return l.grantSelf(tr)
		}
		if err == nil {
			return g
		}
	}
	return Grant{
		Wait: backoffInitial,
	}
}

// requestFromOwner requests tokens from the owner of the workspace's bucket, or reports that this node is the owner. An
// owner that doesn't respond within the timeout is skipped until its backoff ends.
func (l *clusterLimiter) requestFromOwner(ctx context.Context, tr TokenRequest, timeout time.Duration) (g Grant, self bool, err error) {
	m := l.ownerOf(tr.Workspace)
	if m.Address == l.members.Self().Address {
		return Grant{}, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if g, err = l.client.RequestTokens(ctx, m, tr); err != nil {
		l.markUnreachable(m.Address)
	}
	return g, false, err
}
