package lessee

import (
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/lessor"
)

const (
	// demandWindow is the time over which arrivals are averaged to estimate the demand.
	demandWindow = 250 * time.Millisecond

	// The target is the demand of targetWindow, at most burstFraction of the burst; tokens are requested when fewer than
	// refillFraction of the target are available.
	targetWindow   = 250 * time.Millisecond
	burstFraction  = 0.25
	refillFraction = 0.5

	// idleTimeout is the time without arrivals after which a workspace's tokens are returned.
	idleTimeout = 200 * time.Millisecond

	// reportFraction is the fraction of a slot's burst that may be spent without a report to the owner of the slot.
	reportFraction = 0.25

	// No further request is sent to a slot for at least partialGrantPause after it granted less than requested, for
	// failurePause after a failed request, and for movedPause after a node responded that it does not own the slot.
	partialGrantPause = 20 * time.Millisecond
	failurePause      = 500 * time.Millisecond
	movedPause        = 30 * time.Millisecond

	// oneToken is the cost of a request, epsilon the allowed rounding error, both in tokens.
	oneToken = 1.0
	epsilon  = 1e-9

	// requestsMax is the maximum number of slots from which tokens are requested at once.
	requestsMax = 3
)

// Lessee spends leased tokens; it is not safe for concurrent use.
type Lessee interface {
	// Configure sets the workspaces.
	Configure(workspaces []chivegauge.Workspace)
	// CountArrival counts an arriving request of the workspace.
	CountArrival(now time.Time, workspace string)
	// Acquire spends one token of the workspace and reports whether one was available.
	Acquire(now time.Time, workspace string) bool
	// LeaseRequests returns the lease requests to send now for the workspace; urgent requests tokens for a waiting
	// request, even if enough are available.
	LeaseRequests(now time.Time, workspace string, urgent bool) []lessor.LeaseRequest
	// HandleGrant applies the response to a lease request that was sent at the time sent.
	HandleGrant(now, sent time.Time, req lessor.LeaseRequest, g lessor.Grant)
	// HandleFailure records that a lease request got no response.
	HandleFailure(now time.Time, req lessor.LeaseRequest)
	// RetryDelay returns the time until tokens may be requested from a slot again, 0 if a response is pending or a request
	// may be sent now.
	RetryDelay(now time.Time, workspace string) time.Duration
	// ReturnIdle returns lease requests that return unneeded tokens and report those spent.
	ReturnIdle(now time.Time) []lessor.LeaseRequest
}

// lease is the lease from the owner of one slot: the tokens left in it, and the totals spent, returned and reported to
// the owner since it began.
type lease struct {
	id       uint64
	tokens   float64
	consumed float64
	returned float64
	reported float64
	expires  time.Time
	retryAt  time.Time
	pending  bool
}

// account is the state of one workspace; rate is in tokens per second, demand in requests per second.
type account struct {
	slots       []int
	burst       float64
	rate        float64
	leases      map[int]*lease
	demand      float64
	lastArrival time.Time
	nextSlot    int
}

type lessee struct {
	accounts map[string]*account
	isLocal  func(slot int) bool
}

// New returns a lessee without tokens; isLocal reports whether this node owns a slot; tokens are requested from such
// slots first.
func New(isLocal func(slot int) bool) Lessee {
	return &lessee{
		accounts: map[string]*account{},
		isLocal:  isLocal,
	}
}

// Configure sets the workspaces; a workspace that was configured before keeps its tokens.
func (ls *lessee) Configure(workspaces []chivegauge.Workspace) {
	accounts := map[string]*account{}
	for _, w := range workspaces {
		a := ls.accounts[w.Name]
		if a == nil {
			a = &account{
				leases: map[int]*lease{},
			}
		}
		a.slots = chivegauge.SlotsOf(w)
		a.burst = w.Burst
		a.rate = w.RatePerSecond
		accounts[w.Name] = a
	}
	ls.accounts = accounts
}

func (a *account) lease(slot int) *lease {
	l := a.leases[slot]
	if l == nil {
		l = &lease{}
		a.leases[slot] = l
	}
	return l
}

// usable returns the tokens of the lease that may be spent at now.
func (l *lease) usable(now time.Time) float64 {
	if !now.Before(l.expires) {
		return 0
	}
	return l.tokens
}

func (a *account) available(now time.Time) float64 {
	sum := 0.0
	for _, l := range a.leases {
		sum += l.usable(now)
	}
	return sum
}

// Acquire spends one token, combined from several leases if necessary.
func (ls *lessee) Acquire(now time.Time, workspace string) bool {
	a := ls.accounts[workspace]
	if a == nil {
		return false
	}
	if a.available(now) < oneToken-epsilon {
		return false
	}
	missing := oneToken
	for _, slot := range a.slots {
		l := a.lease(slot)
		spent := min(missing, l.usable(now))
		l.tokens -= spent
		l.consumed += spent
		missing -= spent
		if missing <= epsilon {
			break
		}
	}
	return true
}

// CountArrival counts an arriving request.
func (ls *lessee) CountArrival(now time.Time, workspace string) {
	if a := ls.accounts[workspace]; a != nil {
		a.observe(now, oneToken)
	}
}

// observe updates the estimate of the demand, in requests per second.
func (a *account) observe(now time.Time, arrived float64) {
	elapsed := now.Sub(a.lastArrival)
	decay := 0.0
	if elapsed < demandWindow {
		decay = 1 - float64(elapsed)/float64(demandWindow)
	}
	a.demand = a.demand*decay + arrived/demandWindow.Seconds()
	a.lastArrival = now
}

// unreported returns the tokens spent that the owner of the slot still counts as leased.
func (l *lease) unreported() float64 {
	return l.consumed - l.reported
}

// reset begins a new lease and discards the tokens left in the old one.
func (l *lease) reset(id uint64) {
	l.id = id
	l.tokens = 0
	l.consumed = 0
	l.returned = 0
	l.reported = 0
}

// HandleGrant adds the leased tokens; their lifetime counts from when the request was sent.
func (ls *lessee) HandleGrant(now, sent time.Time, req lessor.LeaseRequest, g lessor.Grant) {
	a := ls.accounts[req.Workspace]
	if a == nil {
		return
	}
	l := a.lease(req.Slot)
	l.pending = false
	if !g.Owned {
		l.retryAt = now.Add(movedPause)
		return
	}
	if g.Lease != 0 {
		if g.Lease == l.id {
			l.reported = max(l.reported, req.Consumed)
		} else {
			l.reset(g.Lease)
		}
		l.tokens += g.Granted
		l.expires = sent.Add(lessor.LeaseLifetime)
	}
	if g.Granted < req.Requested-epsilon {
		l.retryAt = now.Add(max(partialGrantPause, g.RetryAfter))
	}
}

// HandleFailure delays the next request to the slot; tokens that its owner may have leased can't be used until the
// lease expires.
func (ls *lessee) HandleFailure(now time.Time, req lessor.LeaseRequest) {
	a := ls.accounts[req.Workspace]
	if a == nil {
		return
	}
	l := a.lease(req.Slot)
	l.pending = false
	l.retryAt = now.Add(failurePause)
}

// RetryDelay returns the time until tokens may be requested from a slot again, at most failurePause.
func (ls *lessee) RetryDelay(now time.Time, workspace string) time.Duration {
	a := ls.accounts[workspace]
	if a == nil {
		return 0
	}
	wait := failurePause
	for _, slot := range a.slots {
		l := a.lease(slot)
		if l.pending {
			return 0
		}
		wait = min(wait, l.retryAt.Sub(now))
	}
	return max(0, wait)
}
