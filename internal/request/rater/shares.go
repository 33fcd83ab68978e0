package rater

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
	"github.com/chivegauge/chivegauge/internal/policy/holder"
	"github.com/chivegauge/chivegauge/internal/policy/keeper"
)

const (
	waitMax     = 100 * time.Millisecond
	waitStep    = 10 * time.Millisecond
	drawTimeout = 300 * time.Millisecond
	sweepPeriod = 100 * time.Millisecond
	drawsMax    = 64
)

// Directory says who keeps a slot.
type Directory interface {
	Holder(slot int) chivegauge.SlotHolder
}

// Shares is a rater whose tokens are lent by the keepers of slots; it keeps slots itself.
type Shares interface {
	Rater
	// Configure sets the workspaces.
	Configure(c chivegauge.Configuration)
	// Open, Close and Keeps handle the slots kept here.
	Open(slot int, fresh bool)
	Close(slot int)
	Keeps(slot int) bool
	// Export and Import hand a slot over from one node to another.
	Export(slot int) ([]keeper.BucketState, bool)
	Import(slot int, states []keeper.BucketState)
	// Kept returns the number of slots kept here.
	Kept() int
	// Draw answers the draws of another node.
	Draw(r *messenger.DrawRequest) *messenger.DrawResponse
	// Serve gives back idle tokens until the context ends.
	Serve(ctx context.Context) error
	// Follow sets the directory of keepers, before the first request.
	Follow(d Directory)
}

type shares struct {
	now     func() time.Time
	self    string
	control func(address string) messenger.Control

	mu      sync.Mutex
	keeper  keeper.Keeper
	holder  holder.Holder
	keepers Directory
	news    map[string]chan struct{}

	group sync.WaitGroup
	slots chan struct{}
}

// NewShares returns shares of the node at the address self, which reaches others by control and keeps slots in k.
func NewShares(now func() time.Time, self string, control func(address string) messenger.Control, k keeper.Keeper) Shares {
	s := &shares{
		now:     now,
		self:    self,
		control: control,
		keeper:  k,
		news:    map[string]chan struct{}{},
		slots:   make(chan struct{}, drawsMax),
	}
	s.holder = holder.New(s.keeper.Keeps)
	return s
}

// Follow sets the directory of keepers.
func (s *shares) Follow(d Directory) {
	s.keepers = d
}

// Configure sets the workspaces.
func (s *shares) Configure(c chivegauge.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.Configure(s.now(), c.Workspaces)
	s.holder.Configure(c.Workspaces)
}

// Open begins to keep a slot.
func (s *shares) Open(slot int, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.Open(s.now(), slot, fresh)
}

// Close stops keeping a slot.
func (s *shares) Close(slot int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.Close(slot)
}

// Export stops keeping a slot and returns its buckets.
func (s *shares) Export(slot int) ([]keeper.BucketState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.Export(s.now(), slot)
}

// Import opens a slot with the buckets of its earlier keeper.
func (s *shares) Import(slot int, states []keeper.BucketState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.Import(s.now(), slot, states)
}

// Keeps reports whether a slot is kept here.
func (s *shares) Keeps(slot int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.Keeps(slot)
}

// Kept returns the number of slots kept here.
func (s *shares) Kept() int {
	n := 0
	for slot := range chivegauge.SlotCount {
		if s.Keeps(slot) {
			n++
		}
	}
	return n
}

// Take spends a token held here, and waits for one to be lent only if there is none.
func (s *shares) Take(ctx context.Context, workspace string) *chivegauge.Refusal {
	s.mu.Lock()
	s.holder.Arrive(s.now(), workspace)
	if s.holder.Take(s.now(), workspace) {
		draws := s.holder.Draws(s.now(), workspace, false)
		s.mu.Unlock()
		s.send(draws)
		return nil
	}
	s.mu.Unlock()
	return s.takeDry(ctx, workspace)
}

// takeDry asks keepers for tokens in a few rounds, while the time allows it.
func (s *shares) takeDry(ctx context.Context, workspace string) *chivegauge.Refusal {
	deadline := s.now().Add(waitMax)
	for s.now().Before(deadline) {
		s.mu.Lock()
		if s.holder.Take(s.now(), workspace) {
			s.mu.Unlock()
			return nil
		}
		draws := s.holder.Draws(s.now(), workspace, true)
		wait := s.holder.Dry(s.now(), workspace)
		news := s.awaited(workspace)
		s.mu.Unlock()
		s.send(draws)
		if len(draws) == 0 && s.now().Add(wait).After(deadline) {
			break
		}
		if !s.await(ctx, news, deadline, wait) {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder.Take(s.now(), workspace) {
		return nil
	}
	wait := max(waitStep, s.holder.Dry(s.now(), workspace))
	refusal := chivegauge.Refuse(chivegauge.CodeRateExceeded, "the workspace is above its rate and burst")
	return refusal.WithRetryAfter(int(wait.Milliseconds()))
}

// awaited returns a channel that is closed when an answer for the workspace comes in; s.mu is held.
func (s *shares) awaited(workspace string) chan struct{} {
	ch := s.news[workspace]
	if ch == nil {
		ch = make(chan struct{})
		s.news[workspace] = ch
	}
	return ch
}

// await returns whether there was news, or the dry time passed, before the deadline.
func (s *shares) await(ctx context.Context, news chan struct{}, deadline time.Time, dry time.Duration) bool {
	left := deadline.Sub(s.now())
	if left <= 0 {
		return false
	}
	if dry <= 0 {
		dry = left
	}
	timer := time.NewTimer(min(left, dry))
	defer timer.Stop()
	select {
	case <-news:
		return true
	case <-timer.C:
		return s.now().Before(deadline)
	case <-ctx.Done():
		return false
	}
}

// Draw answers the draws of another node.
func (s *shares) Draw(r *messenger.DrawRequest) *messenger.DrawResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := &messenger.DrawResponse{}
	for _, item := range r.GetItems() {
		g := s.keeper.Draw(s.now(), decodeDraw(item), rand.Uint64)
		res.Items = append(res.Items, encodeGrant(g))
	}
	return res
}

// Serve gives back idle tokens and ends old loans.
func (s *shares) Serve(ctx context.Context) error {
	defer s.group.Wait()
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		s.mu.Lock()
		draws := s.holder.Idle(s.now())
		s.keeper.Sweep(s.now())
		s.mu.Unlock()
		s.send(draws)
	}
}
