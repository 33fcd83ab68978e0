package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/admitter"
	"github.com/chivegauge/chivegauge/internal/policy/budgeter"
	"github.com/chivegauge/chivegauge/internal/policy/lender"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/request/concurrencylimiter"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
)

// Members lists the members of a service.
type Members interface {
	Service(name string) []chivegauge.Member
	Self() chivegauge.Member
}

// Remote sends an attempt to another node.
type Remote interface {
	Send(ctx context.Context, m chivegauge.Member, c chivegauge.Call) (chivegauge.Response, picker.Load)
}

// Local runs an attempt on the backend server beside this node.
type Local interface {
	Execute(ctx context.Context, c chivegauge.Call) chivegauge.Response
	Load() picker.Load
}

// Dispatcher sends requests to services.
type Dispatcher interface {
	// Dispatch sends the call and returns the response; failed attempts are retried within the retry tokens of the call.
	Dispatch(ctx context.Context, c chivegauge.Call) chivegauge.Response
	// CheckAdmission returns a refusal if the call is below the admission level of a service that its route reaches, or
	// nil.
	CheckAdmission(c chivegauge.Call) *chivegauge.Refusal
	// Attempts returns the number of first attempts and of retries since the start.
	Attempts() (first, retries uint64)
}

type dispatcher struct {
	members     Members
	remote      Remote
	local       Local
	now         concurrencylimiter.Clock
	retryPolicy RetryPolicy

	sequence      atomic.Uint64
	firstAttempts atomic.Uint64
	retries       atomic.Uint64

	mu         sync.Mutex
	picker     picker.Picker
	budget     budgeter.Budgeter
	levelTable admitter.LevelTable
}

// Option configures a dispatcher.
type Option func(*dispatcher)

// WithRetryPolicy sets the retry policy.
func WithRetryPolicy(r RetryPolicy) Option {
	return func(d *dispatcher) {
		d.retryPolicy = r
	}
}

// WithPicker sets the picker of backend servers.
func WithPicker(p picker.Picker) Option {
	return func(d *dispatcher) {
		d.picker = p
	}
}

// WithBudget sets the retry budget of each destination.
func WithBudget(b budgeter.Budgeter) Option {
	return func(d *dispatcher) {
		d.budget = b
	}
}

// WithLevelTable refuses calls early, by the admission levels that responses of the services carried.
func WithLevelTable(b admitter.LevelTable) Option {
	return func(d *dispatcher) {
		d.levelTable = b
	}
}

const (
	defaultRetryRatio         = 0.1
	defaultRetryReserve       = 10
	transparentRetriesPerCall = 1
)

// New returns a dispatcher that sends calls to the members.
func New(now concurrencylimiter.Clock, m Members, r Remote, l Local, opts ...Option) Dispatcher {
	d := &dispatcher{
		members:     m,
		remote:      r,
		local:       l,
		now:         now,
		retryPolicy: TokenRetryPolicy{},
		picker:      picker.NewRoundRobin(),
		budget:      budgeter.New(defaultRetryRatio, defaultRetryReserve),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Attempts returns the number of first attempts and of retries.
func (d *dispatcher) Attempts() (uint64, uint64) {
	return d.firstAttempts.Load(), d.retries.Load()
}

// CheckAdmission returns a refusal if the call is below the admission level of a service that its route reaches.
func (d *dispatcher) CheckAdmission(c chivegauge.Call) *chivegauge.Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.levelTable == nil || admitter.ShedRank(c.Root) >= d.levelTable.Level(d.now(), c.Route, admitter.ClassOf(c)) {
		return nil
	}
	return chivegauge.Refuse(chivegauge.CodeOverloaded, "a service that the route reaches is overloaded")
}

// Dispatch sends the call and retries it until it succeeds or no further retry is allowed.
func (d *dispatcher) Dispatch(ctx context.Context, c chivegauge.Call) chivegauge.Response {
	account := lender.NewAccount(c.Tokens)
	var tried []string
	last := chivegauge.RefusalResponse("", chivegauge.Refuse(chivegauge.CodeNoBackend, "no backend server serves "+c.Service), 0)
	mayHaveRunBefore := false
	transparentRetries := transparentRetriesPerCall
	for n := 0; ; n++ {
		m, ok := d.pick(c.Service, tried, last.Refusal)
		if !ok {
			break
		}
		tried = append(tried, m.Address)
		d.countAttempt(c.Service, n)
		last = d.sendAttempt(ctx, m, c, account)
		mayHaveRunBefore = mayHaveRunBefore || mayHaveRun(last)
		if backendCrashed(last) {
			c = c.WithSuspect()
		}
		if !d.retryPolicy.ShouldRetry(n, c, last) || !d.timeLeft(ctx, c) || !d.chargeRetry(c, account, last, &transparentRetries) {
			break
		}
	}
	last = withEarlierRun(last, mayHaveRunBefore)
	d.recordLevels(c, last.Levels)
	return last.WithTokens(account.Left())
}

// mayHaveRun reports whether the backend server may have run the call.
func mayHaveRun(response chivegauge.Response) bool {
	return response.Refusal == nil || response.Refusal.Run != chivegauge.NotRun
}

// backendCrashed reports whether the backend server crashed during the attempt.
func backendCrashed(response chivegauge.Response) bool {
	return response.Refusal != nil && response.Refusal.Code == chivegauge.CodeBackendCrashed
}

// withEarlierRun changes a refusal from NotRun to MayHaveRun if an earlier attempt may have run.
func withEarlierRun(response chivegauge.Response, mayHaveRunBefore bool) chivegauge.Response {
	if response.Refusal == nil || !mayHaveRunBefore || response.Refusal.Run != chivegauge.NotRun {
		return response
	}
	refusal := *response.Refusal
	refusal.Run = chivegauge.MayHaveRun
	response.Refusal = &refusal
	return response
}

// timeLeft reports whether the context and the deadline of the call allow another attempt.
func (d *dispatcher) timeLeft(ctx context.Context, c chivegauge.Call) bool {
	return ctx.Err() == nil && c.Budget(d.now()) > 0
}

// chargeRetry charges a retry to the retry budget of the destination and takes a retry token of the call, and reports
// whether both were available. An attempt that did not run made no nested calls, so one retry of it per call, a
// transparent retry, takes no token but is charged to the retry budget: transparent retries add up over the call tree
// but don't multiply. Nothing is charged under a retry policy whose ChargesBudget returns false.
func (d *dispatcher) chargeRetry(c chivegauge.Call, account *lender.Account, last chivegauge.Response, transparentRetries *int) bool {
	if !d.retryPolicy.ChargesBudget() {
		return true
	}
	transparent := last.Refusal.Run == chivegauge.NotRun && *transparentRetries > 0
	if !transparent && account.Left() == 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.budget.TryRetry(c.Service) {
		return false
	}
	if transparent {
		*transparentRetries--
		return true
	}
	return account.Spend()
}

// countAttempt counts attempt n of a call to the service, counted from 0.
func (d *dispatcher) countAttempt(service string, n int) {
	if n > 0 {
		d.retries.Add(1)
		return
	}
	d.firstAttempts.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.CountFirst(service)
}

// pick returns the member that the last refusal names, or else a member chosen by the picker. Members already tried are
// chosen again only if there is no other.
func (d *dispatcher) pick(service string, tried []string, last *chivegauge.Refusal) (chivegauge.Member, bool) {
	members := d.members.Service(service)
	if last.RedirectAddress != "" {
		members = withAddress(members, last.RedirectAddress)
		tried = nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.picker.Pick(d.now(), members, tried, rand.IntN)
	if !ok && len(tried) > 0 {
		m, ok = d.picker.Pick(d.now(), members, nil, rand.IntN)
	}
	if ok {
		d.picker.Begin(m.Address)
	}
	return m, ok
}

// withAddress returns the member with the address alone, or none.
func withAddress(members []chivegauge.Member, address string) []chivegauge.Member {
	for _, m := range members {
		if m.Address == address {
			return []chivegauge.Member{m}
		}
	}
	return nil
}

// sendAttempt lends retry tokens to an attempt, sends it and records its outcome.
func (d *dispatcher) sendAttempt(ctx context.Context, m chivegauge.Member, c chivegauge.Call, account *lender.Account) chivegauge.Response {
	self := d.members.Self()
	id := tracker.Attempt{
		Sender:   tracker.Sender(self.Address, self.Incarnation),
		Sequence: d.sequence.Add(1),
	}
	loan := account.LendAttempt()
	c = c.WithAttempt(id.String(), loan)
	response, load := d.transmit(ctx, self, m, c)
	if response.Refusal != nil && (response.Refusal.Code == chivegauge.CodeOutcomeUnknown || backendCrashed(response)) {
		account.Lose(loan)
	} else {
		account.Return(loan, response.Tokens)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.End(d.now(), m.Address, outcomeOf(response), load)
	return response
}

// transmit runs the call at this node or sends it to another one.
func (d *dispatcher) transmit(ctx context.Context, self, m chivegauge.Member, c chivegauge.Call) (chivegauge.Response, picker.Load) {
	if m.Address == self.Address {
		return d.local.Execute(ctx, c), d.local.Load()
	}
	return d.remote.Send(ctx, m, c)
}

// outcomeOf returns the outcome of an attempt for the picker.
func outcomeOf(response chivegauge.Response) picker.Outcome {
	switch {
	case response.Refusal == nil:
		return picker.Succeeded
	case response.Refusal.Code == chivegauge.CodeUnreachable:
		return picker.Unreached
	case response.Refusal.Code == chivegauge.CodeNoBackend:
		return picker.Failed
	case response.Refusal.Code == chivegauge.CodeOutcomeUnknown || backendCrashed(response):
		return picker.Failed
	default:
		return picker.Refused
	}
}

// recordLevels records the admission levels that a response carried.
func (d *dispatcher) recordLevels(c chivegauge.Call, levels []chivegauge.ServiceLevel) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.levelTable != nil && len(levels) > 0 {
		d.levelTable.Update(d.now(), c.Route, admitter.ClassOf(c), levels)
	}
}
