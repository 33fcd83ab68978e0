package reconciler

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/storer"
	"github.com/chivegauge/chivegauge/internal/cluster/replicator"
	"github.com/chivegauge/chivegauge/internal/policy/allocator"
	"github.com/chivegauge/chivegauge/internal/policy/lessor"
	"github.com/go-faster/errors"
)

// DocumentName is the key of the slots document in the store.
const DocumentName = "slots"

const (
	// period is the time between two checks of the allocation, startDelay the time before the first one, and retryDelay
	// the time after a failed write.
	period     = time.Second
	retryDelay = 15 * time.Second
	startDelay = 500 * time.Millisecond

	// handOverTries is the number of writes that HandOver tries; handoverTimeout bounds sending the states after one.
	handOverTries   = 5
	handoverTimeout = time.Second
)

// Fleet is the membership, and distributes a written document to it.
type Fleet interface {
	Self() chivegauge.Member
	Members() []chivegauge.Member
	Publish(d replicator.Document) error
}

// Slots are the rate slots that the node owns, with their token buckets.
type Slots interface {
	Open(slot int, fresh bool)
	Close(slot int)
	Owns(slot int) bool
	Export(slot int) ([]lessor.BucketState, bool)
	Import(slot int, states []lessor.BucketState)
}

// HandoverSender sends the state of a slot to its next owner.
type HandoverSender interface {
	SendHandover(ctx context.Context, address string, h Handover) error
}

// Handover is the state of a slot for the owner that the given revision of the document names.
type Handover struct {
	Slot     int
	Revision uint64
	Buckets  []lessor.BucketState
}

// Reconciler reconciles the node's slots with the allocation document.
type Reconciler interface {
	// Apply applies a newer document, or returns an error if it can't be decoded.
	Apply(d replicator.Document) error
	// Synced reports whether a document has been applied.
	Synced() bool
	// Subscribe registers a function that is called after each applied document; it must be called before the first one.
	Subscribe(f func())
	// Owner returns the owner of a slot.
	Owner(slot int) chivegauge.SlotOwner
	// Serve writes a new document whenever the allocation changes, until the context ends.
	Serve(ctx context.Context) error
	// Receive stores the state of a slot that its previous owner hands over, and imports it once the node owns the slot.
	Receive(h Handover)
	// HandOver releases all slots to other nodes before a planned stop, or returns the error of the last write.
	HandOver(ctx context.Context) error
}

type reconciler struct {
	store   storer.Store
	fleet   Fleet
	slots   Slots
	gone    func(address string) bool
	onApply func()

	mu      sync.Mutex
	doc     chivegauge.Slots
	version uint64

	// released holds the slots that were released for a write, and the document version that the write replaces.
	released map[int]uint64

	// pending holds the states of slots that were handed over and not yet imported.
	pending map[int]Handover

	sender HandoverSender
}

// New returns a reconciler; gone reports whether an operator declared an address gone.
func New(s storer.Store, f Fleet, slots Slots, hs HandoverSender, gone func(address string) bool) Reconciler {
	return &reconciler{
		store:    s,
		fleet:    f,
		slots:    slots,
		sender:   hs,
		gone:     gone,
		onApply:  func() {},
		released: map[int]uint64{},
		pending:  map[int]Handover{},
	}
}

// Subscribe registers a function that is called after each applied document.
func (r *reconciler) Subscribe(f func()) {
	r.onApply = f
}

// Synced reports whether a document has been applied.
func (r *reconciler) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version > 0
}

// Apply applies a newer document; one with an older allocation would give slots back to owners that released them.
func (r *reconciler) Apply(d replicator.Document) error {
	doc, err := chivegauge.DecodeSlots(d.Value)
	if err != nil {
		return err
	}
	r.mu.Lock()
	active := r.doc.Revision
	r.mu.Unlock()
	if doc.Revision < active {
		return errors.Wrapf(replicator.ErrOlder, "revision %d is below %d", doc.Revision, active)
	}
	r.applyDocument(doc, d.Version)
	r.onApply()
	return nil
}

func (r *reconciler) applyDocument(doc chivegauge.Slots, version uint64) {
	self := r.fleet.Self()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doc = doc
	r.version = version
	for n, owner := range doc.Slots {
		r.applyOwner(n, owner, self, version)
	}
}

// applyOwner opens or closes a slot; a slot that was released for a write whose outcome is unknown stays closed until a
// later document names its owner.
func (r *reconciler) applyOwner(n int, owner chivegauge.SlotOwner, self chivegauge.Member, version uint64) {
	if !owner.OwnedBy(self) {
		delete(r.released, n)
		if r.slots.Owns(n) {
			r.slots.Close(n)
		}
		return
	}
	if releasedVersion, ok := r.released[n]; ok && version <= releasedVersion {
		return
	}
	_, reopened := r.released[n]
	delete(r.released, n)
	if !r.slots.Owns(n) {
		r.slots.Open(n, owner.Fresh && !reopened)
	}
	r.importPending(n)
}

// importPending imports the state of an open slot that its previous owner handed over, if the state is for exactly this
// change of owner; r.mu is held.
func (r *reconciler) importPending(n int) {
	p, ok := r.pending[n]
	if !ok || r.doc.Slots[n].Since < p.Revision {
		return
	}
	delete(r.pending, n)
	if r.doc.Slots[n].Since == p.Revision && r.slots.Owns(n) {
		r.slots.Import(n, p.Buckets)
	}
}

// Receive stores the state of a slot and imports it once the node owns the slot.
func (r *reconciler) Receive(h Handover) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending[h.Slot] = h
	r.importPending(h.Slot)
}

// Owner returns the owner of a slot.
func (r *reconciler) Owner(slot int) chivegauge.SlotOwner {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.doc.Slots[slot]
}

// Serve writes a new document whenever the allocation changes.
func (r *reconciler) Serve(ctx context.Context) error {
	wait := startDelay
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		wait = period
		if r.fleet.Self().State != chivegauge.Alive {
			continue
		}
		if err := r.allocate(ctx); err != nil && !errors.Is(err, storer.ErrConflict) {
			wait = retryDelay
		}
	}
}

// allocate writes the document of a new allocation, if the allocation differs from the active document.
func (r *reconciler) allocate(ctx context.Context) error {
	r.mu.Lock()
	c := r.decide()
	version := r.version
	r.mu.Unlock()
	if !c.Changed {
		return nil
	}
	if version == 0 {
		if found, err := r.readStored(ctx); found || err != nil {
			return err
		}
	}
	states := r.release(c, version)
	value, err := json.Marshal(c.Slots)
	if err != nil {
		return errors.Wrap(err, "encode slots")
	}
	o, err := r.store.Put(ctx, DocumentName, value, version)
	if err != nil {
		_, readErr := r.readStored(ctx)
		return errors.Join(err, readErr)
	}
	r.sendHandovers(ctx, c.Slots, states)
	return r.fleet.Publish(replicator.Document{
		Name:    DocumentName,
		Version: o.Version,
		Value:   o.Value,
	})
}

// sendHandovers sends the states of slots to their next owners; a lost state only delays the opening of its slot.
func (r *reconciler) sendHandovers(ctx context.Context, doc chivegauge.Slots, states []Handover) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	group := sync.WaitGroup{}
	for _, h := range states {
		group.Go(func() { _ = r.sender.SendHandover(ctx, doc.Slots[h.Slot].Address, h) })
	}
	group.Wait()
}

func (r *reconciler) decide() allocator.Change {
	return allocator.Decide(allocator.View{
		Self:    r.fleet.Self(),
		Members: r.fleet.Members(),
		Slots:   r.doc,
		Gone:    r.gone,
	})
}

// readStored applies the stored document and reports whether there is one.
func (r *reconciler) readStored(ctx context.Context) (bool, error) {
	o, err := r.store.Get(ctx, DocumentName)
	if errors.Is(err, storer.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return true, r.fleet.Publish(replicator.Document{
		Name:    DocumentName,
		Version: o.Version,
		Value:   o.Value,
	})
}

// release closes the slots that the new document assigns to other nodes, before it is written, and returns their
// states.
func (r *reconciler) release(c allocator.Change, version uint64) []Handover {
	r.mu.Lock()
	defer r.mu.Unlock()
	var states []Handover
	for _, n := range c.Release {
		r.released[n] = version
		if buckets, ok := r.slots.Export(n); ok {
			states = append(states, Handover{
				Slot:     n,
				Revision: c.Slots.Revision,
				Buckets:  buckets,
			})
		}
	}
	return states
}

// HandOver releases all slots; a slot that can't be released stays closed until a node starts at this address or an
// operator declares the address gone.
func (r *reconciler) HandOver(ctx context.Context) error {
	var err error
	for range handOverTries {
		if err = r.allocate(ctx); err == nil {
			return nil
		}
	}
	return err
}
