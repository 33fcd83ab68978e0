package holder

import (
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/keeper"
)

const (
	demandTime     = 250 * time.Millisecond
	stockTime      = 250 * time.Millisecond
	refillPart     = 0.5
	stockBurstPart = 0.25
	idleTime       = 200 * time.Millisecond
	reportPart     = 0.25
	dryTime        = 20 * time.Millisecond
	missingTime    = 500 * time.Millisecond
	movedTime      = 30 * time.Millisecond
	whole          = 1.0
	tiny           = 1e-9
	drawsAtOnce    = 3
)

// Holder spends lent tokens; it is not safe for concurrent use.
type Holder interface {
	// Configure sets the workspaces.
	Configure(workspaces []chivegauge.Workspace)
	// Arrive counts an arriving request of the workspace.
	Arrive(now time.Time, workspace string)
	// Take spends one token of the workspace and reports whether there was one.
	Take(now time.Time, workspace string) bool
	// Draws returns the draws to send now for the workspace; urgent ones are for a request that waits.
	Draws(now time.Time, workspace string, urgent bool) []keeper.Draw
	// Granted takes in the answer to a draw that was sent at the time sent.
	Granted(now, sent time.Time, d keeper.Draw, g keeper.Grant)
	// Failed takes in that a draw got no answer.
	Failed(now time.Time, d keeper.Draw)
	// Dry returns how long it will take until some slot may have tokens, 0 for now.
	Dry(now time.Time, workspace string) time.Duration
	// Idle returns the draws that give back tokens which are not needed.
	Idle(now time.Time) []keeper.Draw
}

// loan is what one slot's keeper lent.
type loan struct {
	lease    uint64
	tokens   float64
	consumed float64
	returned float64
	reported float64
	ends     time.Time
	dry      time.Time
	asking   bool
}

type account struct {
	slots  []int
	burst  float64
	rate   float64
	loans  map[int]*loan
	demand float64
	asked  time.Time
	next   int
}

type holder struct {
	accounts map[string]*account
	prefer   func(slot int) bool
}

// New returns a holder without tokens; prefer names the slots to ask first.
func New(prefer func(slot int) bool) Holder {
	return &holder{
		accounts: map[string]*account{},
		prefer:   prefer,
	}
}

// Configure sets the workspaces; the tokens of those that stay are kept.
func (h *holder) Configure(workspaces []chivegauge.Workspace) {
	accounts := map[string]*account{}
	for _, w := range workspaces {
		a := h.accounts[w.Name]
		if a == nil {
			a = &account{
				loans: map[int]*loan{},
			}
		}
		a.slots = chivegauge.SlotsOf(w)
		a.burst = w.Burst
		a.rate = w.RatePerSecond
		accounts[w.Name] = a
	}
	h.accounts = accounts
}

func (a *account) loan(slot int) *loan {
	l := a.loans[slot]
	if l == nil {
		l = &loan{}
		a.loans[slot] = l
	}
	return l
}

// usable returns the tokens of the loan that may be spent at now.
func (l *loan) usable(now time.Time) float64 {
	if !now.Before(l.ends) {
		return 0
	}
	return l.tokens
}

func (a *account) stock(now time.Time) float64 {
	sum := 0.0
	for _, l := range a.loans {
		sum += l.usable(now)
	}
	return sum
}

// Take spends one token, put together from several loans if need be.
func (h *holder) Take(now time.Time, workspace string) bool {
	a := h.accounts[workspace]
	if a == nil {
		return false
	}
	if a.stock(now) < whole-tiny {
		return false
	}
	need := whole
	for _, slot := range a.slots {
		l := a.loan(slot)
		part := min(need, l.usable(now))
		l.tokens -= part
		l.consumed += part
		need -= part
		if need <= tiny {
			break
		}
	}
	return true
}

// Arrive counts an arriving request.
func (h *holder) Arrive(now time.Time, workspace string) {
	if a := h.accounts[workspace]; a != nil {
		a.observe(now, whole)
	}
}

// observe moves the estimate of the demand, in requests a second.
func (a *account) observe(now time.Time, arrived float64) {
	elapsed := now.Sub(a.asked)
	keep := 0.0
	if elapsed < demandTime {
		keep = 1 - float64(elapsed)/float64(demandTime)
	}
	a.demand = a.demand*keep + arrived/demandTime.Seconds()
	a.asked = now
}

// unreported returns the tokens spent that the keeper still counts as lent.
func (l *loan) unreported() float64 {
	return l.consumed - l.reported
}

// reset begins a new lease, whatever the old one still held.
func (l *loan) reset(lease uint64) {
	l.lease = lease
	l.tokens = 0
	l.consumed = 0
	l.returned = 0
	l.reported = 0
}

// Granted adds the tokens lent; they may be spent until their time, counted from the sending of the draw, is over.
func (h *holder) Granted(now, sent time.Time, d keeper.Draw, g keeper.Grant) {
	a := h.accounts[d.Workspace]
	if a == nil {
		return
	}
	l := a.loan(d.Slot)
	l.asking = false
	if !g.Kept {
		l.dry = now.Add(movedTime)
		return
	}
	if g.Lease != 0 {
		if g.Lease == l.lease {
			l.reported = max(l.reported, d.Consumed)
		} else {
			l.reset(g.Lease)
		}
		l.tokens += g.Granted
		l.ends = sent.Add(keeper.Lifetime)
	}
	if g.Granted < d.Want-tiny {
		l.dry = now.Add(max(dryTime, g.RetryAfter))
	}
}

// Failed leaves the slot alone for a while; what its keeper may have lent is lost until the loan ends.
func (h *holder) Failed(now time.Time, d keeper.Draw) {
	a := h.accounts[d.Workspace]
	if a == nil {
		return
	}
	l := a.loan(d.Slot)
	l.asking = false
	l.dry = now.Add(missingTime)
}

// Dry returns how long it takes until some slot may be asked again.
func (h *holder) Dry(now time.Time, workspace string) time.Duration {
	a := h.accounts[workspace]
	if a == nil {
		return 0
	}
	wait := missingTime
	for _, slot := range a.slots {
		l := a.loan(slot)
		if l.asking {
			return 0
		}
		wait = min(wait, l.dry.Sub(now))
	}
	return max(0, wait)
}
