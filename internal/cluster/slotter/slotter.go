package slotter

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/storer"
	"github.com/chivegauge/chivegauge/internal/cluster/replicator"
	"github.com/chivegauge/chivegauge/internal/policy/allocator"
	"github.com/chivegauge/chivegauge/internal/policy/keeper"
	"github.com/go-faster/errors"
)

// DocumentName is the key of the slots document in the store.
const DocumentName = "slots"

const (
	period     = time.Second
	retryMax   = 15 * time.Second
	settleTime = 500 * time.Millisecond

	handOverTries = 5
	handTime      = time.Second
)

// Fleet is the membership and where a written document is told.
type Fleet interface {
	Self() chivegauge.Member
	Members() []chivegauge.Member
	Offer(d replicator.Document) error
}

// Slots is where slots are kept.
type Slots interface {
	Open(slot int, fresh bool)
	Close(slot int)
	Keeps(slot int) bool
	Export(slot int) ([]keeper.BucketState, bool)
	Import(slot int, states []keeper.BucketState)
}

// Teller sends the state of a slot to its next keeper.
type Teller interface {
	HandSlot(ctx context.Context, address string, h Handover) error
}

// Handover is the state of a slot for the keeper that is named in a revision of the document.
type Handover struct {
	Slot     int
	Revision uint64
	Buckets  []keeper.BucketState
}

// Slotter keeps the node's slots as the document says.
type Slotter interface {
	// Accept takes a newer document into force, or returns an error.
	Accept(d replicator.Document) error
	// Known reports whether a document is in force.
	Known() bool
	// Listen registers a function that is called with each document taken into force, before the first.
	Listen(f func())
	// Holder returns the keeper of a slot.
	Holder(slot int) chivegauge.SlotHolder
	// Serve changes the document when the allocation asks for it, until the context ends.
	Serve(ctx context.Context) error
	// Receive takes in the state of a slot that its earlier keeper hands over.
	Receive(h Handover)
	// HandOver gives all slots away, for a planned stop.
	HandOver(ctx context.Context) error
}

type slotter struct {
	store storer.Store
	fleet Fleet
	slots Slots
	gone  func(address string) bool
	taken func()

	mu      sync.Mutex
	doc     chivegauge.Slots
	version uint64
	given   map[int]uint64
	pending map[int]Handover
	teller  Teller
}

// New returns a slotter; gone reports whether an operator declared an address gone.
func New(s storer.Store, f Fleet, slots Slots, t Teller, gone func(address string) bool) Slotter {
	return &slotter{
		store:   s,
		fleet:   f,
		slots:   slots,
		teller:  t,
		gone:    gone,
		taken:   func() {},
		given:   map[int]uint64{},
		pending: map[int]Handover{},
	}
}

// Listen registers a listener.
func (s *slotter) Listen(f func()) {
	s.taken = f
}

// Known reports whether a document is in force.
func (s *slotter) Known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version > 0
}

// Accept takes a newer document into force.
func (s *slotter) Accept(d replicator.Document) error {
	doc, err := chivegauge.DecodeSlots(d.Value)
	if err != nil {
		return err
	}
	s.put(doc, d.Version)
	s.taken()
	return nil
}

func (s *slotter) put(doc chivegauge.Slots, version uint64) {
	self := s.fleet.Self()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doc = doc
	s.version = version
	for n, h := range doc.Slots {
		s.follow(n, h, self, version)
	}
}

// follow opens or closes a slot; one that was given away in a write of unknown
// outcome stays closed until a later document says who keeps it.
func (s *slotter) follow(n int, h chivegauge.SlotHolder, self chivegauge.Member, version uint64) {
	if !h.HeldBy(self) {
		delete(s.given, n)
		if s.slots.Keeps(n) {
			s.slots.Close(n)
		}
		return
	}
	if given, ok := s.given[n]; ok && version <= given {
		return
	}
	_, reopened := s.given[n]
	delete(s.given, n)
	if !s.slots.Keeps(n) {
		s.slots.Open(n, h.Fresh && !reopened)
	}
	s.adopt(n)
}

// adopt opens a slot with the state that its earlier keeper handed over for just this change of keeper; s.mu is held.
func (s *slotter) adopt(n int) {
	p, ok := s.pending[n]
	if !ok || s.doc.Slots[n].Since < p.Revision {
		return
	}
	delete(s.pending, n)
	if s.doc.Slots[n].Since == p.Revision && s.slots.Keeps(n) {
		s.slots.Import(n, p.Buckets)
	}
}

// Receive takes in the state of a slot.
func (s *slotter) Receive(h Handover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending[h.Slot] = h
	s.adopt(h.Slot)
}

// Holder returns the keeper of a slot.
func (s *slotter) Holder(slot int) chivegauge.SlotHolder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doc.Slots[slot]
}

// Serve changes the document when the allocation asks for it.
func (s *slotter) Serve(ctx context.Context) error {
	wait := settleTime
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		wait = period
		if s.fleet.Self().State != chivegauge.Alive {
			continue
		}
		if err := s.change(ctx); err != nil && !errors.Is(err, storer.ErrConflict) {
			wait = retryMax
		}
	}
}

// change writes what the allocation asks for, on the document in force.
func (s *slotter) change(ctx context.Context) error {
	s.mu.Lock()
	c := s.decide()
	version := s.version
	s.mu.Unlock()
	if !c.Any {
		return nil
	}
	if version == 0 {
		if found, err := s.read(ctx); found || err != nil {
			return err
		}
	}
	states := s.release(c, version)
	value, err := json.Marshal(c.Slots)
	if err != nil {
		return errors.Wrap(err, "encode slots")
	}
	o, err := s.store.Put(ctx, DocumentName, value, version)
	if err != nil {
		_, readErr := s.read(ctx)
		return errors.Join(err, readErr)
	}
	s.hand(ctx, c.Slots, states)
	return s.fleet.Offer(replicator.Document{
		Name:    DocumentName,
		Version: o.Version,
		Value:   o.Value,
	})
}

// hand sends the states of slots to their next keepers; one that is lost only makes the slot open later.
func (s *slotter) hand(ctx context.Context, doc chivegauge.Slots, states []Handover) {
	ctx, cancel := context.WithTimeout(ctx, handTime)
	defer cancel()
	group := sync.WaitGroup{}
	for _, h := range states {
		group.Go(func() { _ = s.teller.HandSlot(ctx, doc.Slots[h.Slot].Address, h) })
	}
	group.Wait()
}

func (s *slotter) decide() allocator.Change {
	return allocator.Decide(allocator.View{
		Self:    s.fleet.Self(),
		Members: s.fleet.Members(),
		Slots:   s.doc,
		Gone:    s.gone,
	})
}

// read takes in the stored document and reports whether there is one.
func (s *slotter) read(ctx context.Context) (bool, error) {
	o, err := s.store.Get(ctx, DocumentName)
	if errors.Is(err, storer.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return true, s.fleet.Offer(replicator.Document{
		Name:    DocumentName,
		Version: o.Version,
		Value:   o.Value,
	})
}

// release stops keeping slots before the write that gives them away, and returns their states.
func (s *slotter) release(c allocator.Change, version uint64) []Handover {
	s.mu.Lock()
	defer s.mu.Unlock()
	var states []Handover
	for _, n := range c.Release {
		s.given[n] = version
		if buckets, ok := s.slots.Export(n); ok {
			states = append(states, Handover{
				Slot:     n,
				Revision: c.Slots.Revision,
				Buckets:  buckets,
			})
		}
	}
	return states
}

// HandOver gives all slots away; what can't be given is lost until this address or an operator speaks again.
func (s *slotter) HandOver(ctx context.Context) error {
	var err error
	for range handOverTries {
		if err = s.change(ctx); err == nil {
			return nil
		}
	}
	return err
}
