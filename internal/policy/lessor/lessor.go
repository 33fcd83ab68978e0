package lessor

import (
	"math"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
)

const (
	// LeaseLifetime is how long leased tokens may be spent, counted by the requesting node from when it sent the request.
	LeaseLifetime = 2 * time.Second
	// LeaseRetention is how long the owner of the slot counts leased tokens as in use, counted from when it granted them.
	LeaseRetention = LeaseLifetime + LeaseLifetime/4

	leasesMax  = 4096 // per bucket
	bucketsMax = 100000

	// epsilon is the rounding error, in tokens, that the invariant check allows.
	epsilon       = 1e-6
	retryAfterMax = time.Second
)

// LeaseRequest requests tokens of a workspace from a slot, and reports the use of the tokens leased before: Consumed
// and Returned are totals since the lease began.
type LeaseRequest struct {
	Workspace string
	Slot      int
	Lease     uint64
	Consumed  float64
	Returned  float64
	Requested float64 `json:"Want"`
}

// Grant is the response to a lease request.
type Grant struct {
	// Owned reports whether this node owns the slot.
	Owned      bool `json:"Kept"`
	Lease      uint64
	Granted    float64
	RetryAfter time.Duration
}

// Random returns a random lease ID, never 0.
type Random func() uint64

// Lessor grants leases of tokens from the slots that it owns; it is not safe for concurrent use.
type Lessor interface {
	// Configure sets the workspaces and their rates.
	Configure(now time.Time, workspaces []chivegauge.Workspace)
	// Open takes ownership of a slot; if the slot is not fresh, because another process owned it before, it grants tokens
	// only after the retention, when all leases of that owner have expired.
	Open(now time.Time, slot int, fresh bool)
	// Close releases a slot at once.
	Close(slot int)
	// Export releases a slot and returns its buckets, or false if the slot was not open.
	Export(now time.Time, slot int) ([]BucketState, bool)
	// Import opens a slot at once with the buckets of its previous owner.
	Import(now time.Time, slot int, states []BucketState)
	// Owns reports whether this node owns the slot.
	Owns(slot int) bool
	// Grant leases up to the requested tokens at now.
	Grant(now time.Time, req LeaseRequest, random Random) Grant
	// Sweep removes the leases that have expired at now.
	Sweep(now time.Time)
}

type bucketKey struct {
	workspace string
	slot      int
}

// lease counts the tokens granted to one node since the lease began; consumed and returned are as that node reported.
type lease struct {
	granted  float64
	consumed float64
	returned float64
	expires  time.Time
}

// outstanding returns the tokens that the lease still allows to be spent.
func (l *lease) outstanding() float64 {
	return max(0, l.granted-l.consumed-l.returned)
}

// bucket is the token bucket of one workspace in one slot; level is in tokens.
type bucket struct {
	level   float64
	updated time.Time
	leases  map[uint64]*lease
}

// slotRate is the part of a workspace's rate and burst, in tokens, that each of its slots has.
type slotRate struct {
	perSecond float64
	burst     float64
	slots     map[int]bool
}

type slot struct {
	opensAt time.Time
	fresh   bool
}

type lessor struct {
	rates   map[string]slotRate
	slots   map[int]slot
	buckets map[bucketKey]*bucket
}

// New returns a lessor that owns no slots.
func New() Lessor {
	return &lessor{
		rates:   map[string]slotRate{},
		slots:   map[int]slot{},
		buckets: map[bucketKey]*bucket{},
	}
}

// Configure sets the workspaces; until now, buckets accrue tokens at the previous rate.
func (ls *lessor) Configure(now time.Time, workspaces []chivegauge.Workspace) {
	for key, b := range ls.buckets {
		ls.fill(now, key, b)
	}
	ls.rates = map[string]slotRate{}
	for _, w := range workspaces {
		r := slotRate{
			slots: map[int]bool{},
		}
		list := chivegauge.SlotsOf(w)
		for _, s := range list {
			r.slots[s] = true
		}
		r.perSecond = w.RatePerSecond / float64(len(list))
		r.burst = w.Burst / float64(len(list))
		ls.rates[w.Name] = r
	}
	for key := range ls.buckets {
		if _, ok := ls.rates[key.workspace]; !ok {
			delete(ls.buckets, key)
		}
	}
}

// Open takes ownership of a slot.
func (ls *lessor) Open(now time.Time, n int, fresh bool) {
	s := slot{
		opensAt: now.Add(LeaseRetention),
		fresh:   fresh,
	}
	if fresh {
		s.opensAt = now
	}
	ls.slots[n] = s
}

// Close releases a slot.
func (ls *lessor) Close(n int) {
	delete(ls.slots, n)
	for key := range ls.buckets {
		if key.slot == n {
			delete(ls.buckets, key)
		}
	}
}

// Owns reports whether this node owns the slot.
func (ls *lessor) Owns(n int) bool {
	_, ok := ls.slots[n]
	return ok
}

// Grant applies the reported use of the lease and grants up to the requested tokens from the bucket.
func (ls *lessor) Grant(now time.Time, req LeaseRequest, random Random) Grant {
	s, owned := ls.slots[req.Slot]
	r, known := ls.rates[req.Workspace]
	if !owned || !known || !r.slots[req.Slot] {
		return Grant{}
	}
	if now.Before(s.opensAt) {
		return Grant{
			Owned:      true,
			RetryAfter: s.opensAt.Sub(now),
		}
	}
	key := bucketKey{
		workspace: req.Workspace,
		slot:      req.Slot,
	}
	b := ls.bucket(key, s, r)
	if b == nil {
		return Grant{}
	}
	ls.fill(now, key, b)
	l, id := b.applyReport(req, random)
	if l == nil {
		return Grant{
			Owned:      true,
			RetryAfter: retryAfterMax,
		}
	}
	granted := min(max(0, req.Requested), max(0, b.level))
	b.level -= granted
	l.granted += granted
	l.expires = now.Add(LeaseRetention)
	b.check(r)
	return Grant{
		Owned:      true,
		Lease:      id,
		Granted:    granted,
		RetryAfter: r.untilToken(b.level),
	}
}

// untilToken returns the time until a bucket at the level holds a whole token, at most retryAfterMax.
func (r slotRate) untilToken(level float64) time.Duration {
	if level >= 1 {
		return 0
	}
	wait := (min(1, r.burst) - level) / r.perSecond
	return min(retryAfterMax, time.Duration(math.Ceil(wait*float64(time.Second))))
}

// bucket returns the bucket of the key, or nil at the limit of buckets; a new bucket is full only in a slot that had no
// owner before.
func (ls *lessor) bucket(key bucketKey, s slot, r slotRate) *bucket {
	b := ls.buckets[key]
	if b != nil {
		return b
	}
	if len(ls.buckets) >= bucketsMax {
		return nil
	}
	b = &bucket{
		updated: s.opensAt,
		leases:  map[uint64]*lease{},
	}
	if s.fresh {
		b.level = r.burst
	}
	ls.buckets[key] = b
	return b
}

// applyReport updates the lease with its reported use and returns it; an unknown lease is ignored and replaced by a new
// one, or by nil at the limit of leases.
func (b *bucket) applyReport(req LeaseRequest, random Random) (*lease, uint64) {
	if l := b.leases[req.Lease]; l != nil && req.Lease != 0 {
		l.consumed = max(l.consumed, min(req.Consumed, l.granted))
		if increase := min(req.Returned, l.granted-l.consumed) - l.returned; increase > 0 {
			l.returned += increase
			b.level += increase
		}
		return l, req.Lease
	}
	if len(b.leases) >= leasesMax {
		return nil, 0
	}
	id := random()
	l := &lease{}
	b.leases[id] = l
	return l, id
}

// fill removes expired leases in the order of their expiry, as leased tokens limit the level until then, and adds the
// tokens accrued up to each expiry and up to now.
func (ls *lessor) fill(now time.Time, key bucketKey, b *bucket) {
	r := ls.rates[key.workspace]
	for {
		id, l := b.nextExpiry()
		if l == nil || now.Before(l.expires) {
			break
		}
		b.accrue(l.expires, r)
		delete(b.leases, id)
	}
	b.accrue(now, r)
}

// nextExpiry returns the lease that expires first, or nil if there is none.
func (b *bucket) nextExpiry() (uint64, *lease) {
	firstID := uint64(0)
	var first *lease
	for id, l := range b.leases {
		if first == nil || l.expires.Before(first.expires) {
			firstID = id
			first = l
		}
	}
	return firstID, first
}

// accrue adds the tokens accrued until t, up to the burst less the tokens leased.
func (b *bucket) accrue(t time.Time, r slotRate) {
	if t.After(b.updated) {
		b.level += r.perSecond * t.Sub(b.updated).Seconds()
		b.updated = t
	}
	b.level = max(0, min(b.level, r.burst-b.leased()))
}

// leased returns the tokens of all leases that may still be spent.
func (b *bucket) leased() float64 {
	sum := 0.0
	for _, l := range b.leases {
		sum += l.outstanding()
	}
	return sum
}

// check asserts that the tokens in the bucket and leased from it are within its burst, unless the bucket is empty.
func (b *bucket) check(r slotRate) {
	total := b.level + b.leased()
	asserter.Check(asserter.RateSharesConserved, b.level >= -epsilon && (total <= r.burst+epsilon || b.level <= epsilon))
}

// Sweep removes the expired leases and adds the accrued tokens.
func (ls *lessor) Sweep(now time.Time) {
	for key, b := range ls.buckets {
		ls.fill(now, key, b)
	}
}
