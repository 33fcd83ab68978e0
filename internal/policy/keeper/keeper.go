package keeper

import (
	"math"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
)

const (
	// Lifetime is how long a holder may use lent tokens, counted from when it asked.
	Lifetime = 2 * time.Second
	// Retention is how long a keeper counts lent tokens as in use, counted from when it lent them.
	Retention  = Lifetime + Lifetime/4
	leasesMax  = 4096
	bucketsMax = 100000
	epsilon    = 1e-6
	retryMax   = time.Second
)

// Draw asks for tokens of a workspace in a slot and reports what became of those lent before.
type Draw struct {
	Workspace string
	Slot      int
	Lease     uint64
	Consumed  float64
	Returned  float64
	Want      float64
}

// Grant is the answer to a draw; Kept is false where the slot is not kept here.
type Grant struct {
	Kept       bool
	Lease      uint64
	Granted    float64
	RetryAfter time.Duration
}

// Random returns a number for a lease, never 0.
type Random func() uint64

// Keeper lends tokens from the slots that it keeps; it is not safe for concurrent use.
type Keeper interface {
	// Configure sets the workspaces and their rates.
	Configure(now time.Time, workspaces []chivegauge.Workspace)
	// Open begins to keep a slot; one that others kept before opens once their loans have ended.
	Open(now time.Time, slot int, fresh bool)
	// Close stops keeping a slot at once.
	Close(slot int)
	// Export stops keeping a slot and returns its buckets, or false if it was not open.
	Export(now time.Time, slot int) ([]BucketState, bool)
	// Import opens a slot at once with the buckets of its earlier keeper.
	Import(now time.Time, slot int, states []BucketState)
	// Keeps reports whether the slot is kept here.
	Keeps(slot int) bool
	// Draw lends tokens at now.
	Draw(now time.Time, d Draw, random Random) Grant
	// Sweep ends the loans whose time has passed.
	Sweep(now time.Time)
}

type bucketKey struct {
	workspace string
	slot      int
}

// lease is what is lent to one holder under one number.
type lease struct {
	granted  float64
	consumed float64
	returned float64
	ends     time.Time
}

// outstanding returns the tokens that the holder may still use.
func (l *lease) outstanding() float64 {
	return max(0, l.granted-l.consumed-l.returned)
}

// bucket is the share of a workspace's rate and burst in one slot.
type bucket struct {
	level  float64
	at     time.Time
	leases map[uint64]*lease
}

type rate struct {
	perSecond float64
	burst     float64
	slots     map[int]bool
}

type slot struct {
	opens time.Time
	fresh bool
}

type keeper struct {
	rates   map[string]rate
	slots   map[int]slot
	buckets map[bucketKey]*bucket
}

// New returns a keeper of no slots.
func New() Keeper {
	return &keeper{
		rates:   map[string]rate{},
		slots:   map[int]slot{},
		buckets: map[bucketKey]*bucket{},
	}
}

// Configure sets the workspaces; buckets fill up to now at the rate before.
func (k *keeper) Configure(now time.Time, workspaces []chivegauge.Workspace) {
	for key, b := range k.buckets {
		k.fill(now, key, b)
	}
	k.rates = map[string]rate{}
	for _, w := range workspaces {
		r := rate{
			slots: map[int]bool{},
		}
		list := chivegauge.SlotsOf(w)
		for _, s := range list {
			r.slots[s] = true
		}
		r.perSecond = w.RatePerSecond / float64(len(list))
		r.burst = w.Burst / float64(len(list))
		k.rates[w.Name] = r
	}
	for key := range k.buckets {
		if _, ok := k.rates[key.workspace]; !ok {
			delete(k.buckets, key)
		}
	}
}

// Open begins to keep a slot.
func (k *keeper) Open(now time.Time, n int, fresh bool) {
	s := slot{
		opens: now.Add(Retention),
		fresh: fresh,
	}
	if fresh {
		s.opens = now
	}
	k.slots[n] = s
}

// Close stops keeping a slot.
func (k *keeper) Close(n int) {
	delete(k.slots, n)
	for key := range k.buckets {
		if key.slot == n {
			delete(k.buckets, key)
		}
	}
}

// Keeps reports whether the slot is kept here.
func (k *keeper) Keeps(n int) bool {
	_, ok := k.slots[n]
	return ok
}

// Draw takes in the report of the holder and lends it what the bucket has.
func (k *keeper) Draw(now time.Time, d Draw, random Random) Grant {
	s, kept := k.slots[d.Slot]
	r, known := k.rates[d.Workspace]
	if !kept || !known || !r.slots[d.Slot] {
		return Grant{}
	}
	if now.Before(s.opens) {
		return Grant{
			Kept:       true,
			RetryAfter: s.opens.Sub(now),
		}
	}
	key := bucketKey{
		workspace: d.Workspace,
		slot:      d.Slot,
	}
	b := k.bucket(key, s, r)
	if b == nil {
		return Grant{}
	}
	k.fill(now, key, b)
	l, id := b.report(d, random)
	if l == nil {
		return Grant{
			Kept:       true,
			RetryAfter: retryMax,
		}
	}
	granted := min(max(0, d.Want), max(0, b.level))
	b.level -= granted
	l.granted += granted
	l.ends = now.Add(Retention)
	b.check(r)
	return Grant{
		Kept:       true,
		Lease:      id,
		Granted:    granted,
		RetryAfter: r.next(b.level),
	}
}

// next returns the time until the bucket holds a whole token.
func (r rate) next(level float64) time.Duration {
	if level >= 1 {
		return 0
	}
	wait := (min(1, r.burst) - level) / r.perSecond
	return min(retryMax, time.Duration(math.Ceil(wait*float64(time.Second))))
}

// bucket returns the bucket of the key; it is full only in a slot that nobody kept before.
func (k *keeper) bucket(key bucketKey, s slot, r rate) *bucket {
	b := k.buckets[key]
	if b != nil {
		return b
	}
	if len(k.buckets) >= bucketsMax {
		return nil
	}
	b = &bucket{
		at:     s.opens,
		leases: map[uint64]*lease{},
	}
	if s.fresh {
		b.level = r.burst
	}
	k.buckets[key] = b
	return b
}

// report takes in what the holder says of its lease; an unknown lease counts for nothing and is replaced.
func (b *bucket) report(d Draw, random Random) (*lease, uint64) {
	if l := b.leases[d.Lease]; l != nil && d.Lease != 0 {
		l.consumed = max(l.consumed, min(d.Consumed, l.granted))
		if more := min(d.Returned, l.granted-l.consumed) - l.returned; more > 0 {
			l.returned += more
			b.level += more
		}
		return l, d.Lease
	}
	if len(b.leases) >= leasesMax {
		return nil, 0
	}
	id := random()
	l := &lease{}
	b.leases[id] = l
	return l, id
}

// fill ends the loans whose time has passed, one after another, and adds what accrued beside them.
func (k *keeper) fill(now time.Time, key bucketKey, b *bucket) {
	r := k.rates[key.workspace]
	for {
		id, l := b.nextEnd()
		if l == nil || now.Before(l.ends) {
			break
		}
		b.accrue(l.ends, r)
		delete(b.leases, id)
	}
	b.accrue(now, r)
}

// nextEnd returns the loan that ends first.
func (b *bucket) nextEnd() (uint64, *lease) {
	first := uint64(0)
	var found *lease
	for id, l := range b.leases {
		if found == nil || l.ends.Before(found.ends) {
			first = id
			found = l
		}
	}
	return first, found
}

// accrue adds what the rate gives until t, never above the burst less the tokens lent.
func (b *bucket) accrue(t time.Time, r rate) {
	if t.After(b.at) {
		b.level += r.perSecond * t.Sub(b.at).Seconds()
		b.at = t
	}
	b.level = max(0, min(b.level, r.burst-b.lent()))
}

// lent returns the tokens that holders may still use.
func (b *bucket) lent() float64 {
	sum := 0.0
	for _, l := range b.leases {
		sum += l.outstanding()
	}
	return sum
}

// check asserts that the tokens in the bucket and lent from it are within its burst.
func (b *bucket) check(r rate) {
	stock := b.level + b.lent()
	asserter.Check(asserter.RateSharesConserved, b.level >= -epsilon && (stock <= r.burst+epsilon || b.level <= epsilon))
}

// Sweep ends the loans whose time has passed.
func (k *keeper) Sweep(now time.Time) {
	for key, b := range k.buckets {
		k.fill(now, key, b)
	}
}
