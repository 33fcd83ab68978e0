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
	"github.com/chivegauge/chivegauge/internal/request/gatekeeper"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
)

// Members lists the members of a service.
type Members interface {
	Service(name string) []chivegauge.Member
	Self() chivegauge.Member
}

// Remote carries an attempt to another node.
type Remote interface {
	Hop(ctx context.Context, m chivegauge.Member, c chivegauge.Call) (chivegauge.Answer, picker.Load)
}

// Local runs an attempt on the backend server beside this node.
type Local interface {
	Execute(ctx context.Context, c chivegauge.Call) chivegauge.Answer
	Load() picker.Load
}

// Dispatcher sends requests to services.
type Dispatcher interface {
	// Dispatch returns the answer to the call, after as many attempts as its tokens allow.
	Dispatch(ctx context.Context, c chivegauge.Call) chivegauge.Answer
	// Admits returns a refusal if a service that the call's route reaches would refuse it.
	Admits(c chivegauge.Call) *chivegauge.Refusal
	// Attempts returns the number of first and of extra attempts since the start.
	Attempts() (first, extra uint64)
}

type dispatcher struct {
	members Members
	remote  Remote
	local   Local
	now     gatekeeper.Clock
	rule    Rule

	sequence atomic.Uint64
	first    atomic.Uint64
	extra    atomic.Uint64

	mu     sync.Mutex
	picker picker.Picker
	budget budgeter.Budgeter
	book   admitter.Book
}

// Option changes a dispatcher when it is made.
type Option func(*dispatcher)

// WithRule sets the rule of further attempts.
func WithRule(r Rule) Option {
	return func(d *dispatcher) {
		d.rule = r
	}
}

// WithPicker sets the choice of the backend server.
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

// WithBook makes the dispatcher refuse early by the levels heard from services.
func WithBook(b admitter.Book) Option {
	return func(d *dispatcher) {
		d.book = b
	}
}

const (
	defaultRatio   = 0.1
	defaultReserve = 10
	movesPerCall   = 1
)

// New returns a dispatcher among the members.
func New(now gatekeeper.Clock, m Members, r Remote, l Local, opts ...Option) Dispatcher {
	d := &dispatcher{
		members: m,
		remote:  r,
		local:   l,
		now:     now,
		rule:    TokenRule{},
		picker:  picker.NewRoundRobin(),
		budget:  budgeter.New(defaultRatio, defaultReserve),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Attempts returns the number of first and of extra attempts.
func (d *dispatcher) Attempts() (uint64, uint64) {
	return d.first.Load(), d.extra.Load()
}

// Admits returns a refusal if a service that the route reaches would refuse the call.
func (d *dispatcher) Admits(c chivegauge.Call) *chivegauge.Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.book == nil || admitter.Ticket(c.Root) >= d.book.Level(d.now(), c.Route, admitter.ClassOf(c)) {
		return nil
	}
	return chivegauge.Refuse(chivegauge.CodeOverloaded, "a service that the route reaches is overloaded")
}

// Dispatch sends the call until an answer stands or no further attempt is allowed.
func (d *dispatcher) Dispatch(ctx context.Context, c chivegauge.Call) chivegauge.Answer {
	account := lender.NewAccount(c.Tokens)
	var tried []string
	last := chivegauge.RefusalAnswer("", chivegauge.Refuse(chivegauge.CodeNoBackend, "no backend server serves "+c.Service), 0)
	ran := false
	moves := movesPerCall
	for n := 0; ; n++ {
		m, ok := d.pick(c.Service, tried, last.Refusal)
		if !ok {
			break
		}
		tried = append(tried, m.Address)
		d.count(c.Service, n)
		last = d.attempt(ctx, m, c, account)
		ran = ran || mayHaveRun(last)
		if died(last) {
			c = c.WithSuspect()
		}
		if !d.rule.Again(n, c, last) || !d.timeLeft(ctx, c) || !d.pay(c, account, last, &moves) {
			break
		}
	}
	last = honest(last, ran)
	d.learn(c, last.Levels)
	return last.WithTokens(account.Left())
}

func mayHaveRun(a chivegauge.Answer) bool {
	return a.Refusal == nil || a.Refusal.Run != chivegauge.NotRun
}

func died(a chivegauge.Answer) bool {
	return a.Refusal != nil && a.Refusal.Code == chivegauge.CodeBackendDied
}

// honest keeps a refusal from saying "not run" when an earlier attempt may have run.
func honest(a chivegauge.Answer, ran bool) chivegauge.Answer {
	if a.Refusal == nil || !ran || a.Refusal.Run != chivegauge.NotRun {
		return a
	}
	refusal := *a.Refusal
	refusal.Run = chivegauge.MayHaveRun
	a.Refusal = &refusal
	return a
}

func (d *dispatcher) timeLeft(ctx context.Context, c chivegauge.Call) bool {
	return ctx.Err() == nil && c.Budget(d.now()) > 0
}

// pay takes one of the destination's retry budget and a token of the tree. An attempt that did
// not run has no calls below it, so one such move a call costs no token: moves add up, they never multiply.
func (d *dispatcher) pay(c chivegauge.Call, account *lender.Account, last chivegauge.Answer, moves *int) bool {
	if !d.rule.Paid() {
		return true
	}
	free := last.Refusal.Run == chivegauge.NotRun && *moves > 0
	if !free && account.Left() == 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.budget.Retry(c.Service) {
		return false
	}
	if free {
		*moves--
		return true
	}
	return account.Spend()
}

func (d *dispatcher) count(service string, n int) {
	if n > 0 {
		d.extra.Add(1)
		return
	}
	d.first.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.First(service)
}

// pick returns the member that the last refusal names, or else the picker's choice;
// members tried before are tried again when there is no other.
func (d *dispatcher) pick(service string, tried []string, last *chivegauge.Refusal) (chivegauge.Member, bool) {
	members := d.members.Service(service)
	if last.Elsewhere != "" {
		members = only(members, last.Elsewhere)
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

func only(members []chivegauge.Member, address string) []chivegauge.Member {
	for _, m := range members {
		if m.Address == address {
			return []chivegauge.Member{m}
		}
	}
	return nil
}

func (d *dispatcher) attempt(ctx context.Context, m chivegauge.Member, c chivegauge.Call, account *lender.Account) chivegauge.Answer {
	self := d.members.Self()
	id := tracker.Attempt{
		Sender:   tracker.Sender(self.Address, self.Incarnation),
		Sequence: d.sequence.Add(1),
	}
	loan := account.LendAttempt()
	c = c.WithAttempt(id.String(), loan)
	answer, load := d.carry(ctx, self, m, c)
	if answer.Refusal != nil && (answer.Refusal.Code == chivegauge.CodeOutcomeUnknown || died(answer)) {
		account.Lose(loan)
	} else {
		account.Return(loan, answer.Tokens)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.End(d.now(), m.Address, outcome(answer), load)
	return answer
}

func (d *dispatcher) carry(ctx context.Context, self, m chivegauge.Member, c chivegauge.Call) (chivegauge.Answer, picker.Load) {
	if m.Address == self.Address {
		return d.local.Execute(ctx, c), d.local.Load()
	}
	return d.remote.Hop(ctx, m, c)
}

func outcome(a chivegauge.Answer) picker.Outcome {
	switch {
	case a.Refusal == nil:
		return picker.Succeeded
	case a.Refusal.Code == chivegauge.CodeUnreachable:
		return picker.Unreached
	case a.Refusal.Code == chivegauge.CodeNoBackend:
		return picker.Failed
	case a.Refusal.Code == chivegauge.CodeOutcomeUnknown || died(a):
		return picker.Failed
	default:
		return picker.Refused
	}
}

func (d *dispatcher) learn(c chivegauge.Call, levels []chivegauge.ServiceLevel) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.book != nil && len(levels) > 0 {
		d.book.Learn(d.now(), c.Route, admitter.ClassOf(c), levels)
	}
}
