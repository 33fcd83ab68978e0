package asserter

import (
	"sync/atomic"

	"github.com/go-faster/errors"
)

// Invariant names a condition that must always hold.
type Invariant int

// The invariants that the decision packages assert.
const (
	RetryTokensConserved Invariant = iota
	RateSharesConserved
	OneRunPerAttempt
	NotRunStaysNotRun
	RevisionMonotonic
	NoKeyInward
	NoNewWorkWhenLeaving
	LeastImportantFirst
	AnswerMatchesAttempt
	LimitInBounds
	invariantCount
)

var names = [invariantCount]string{
	"RetryTokensConserved",
	"RateSharesConserved",
	"OneRunPerAttempt",
	"NotRunStaysNotRun",
	"RevisionMonotonic",
	"NoKeyInward",
	"NoNewWorkWhenLeaving",
	"LeastImportantFirst",
	"AnswerMatchesAttempt",
	"LimitInBounds",
}

var (
	strict     atomic.Bool
	violations [invariantCount]atomic.Uint64
)

// String returns the name of the invariant.
func (i Invariant) String() string {
	return names[i]
}

// SetStrict turns strict mode on or off, in which a violation panics; tests turn it on.
func SetStrict(on bool) {
	strict.Store(on)
}

// Check counts a violation of the invariant if ok is false, and then panics in strict mode.
func Check(i Invariant, ok bool) {
	if ok {
		return
	}
	violations[i].Add(1)
	if strict.Load() {
		panic(errors.Errorf("invariant %s violated", i))
	}
}

// Violations returns the number of violations by the name of the invariant, for invariants that were violated.
func Violations() map[string]uint64 {
	m := map[string]uint64{}
	for i := range violations {
		if n := violations[i].Load(); n > 0 {
			m[names[i]] = n
		}
	}
	return m
}

// Total returns the number of violations of all invariants together.
func Total() uint64 {
	total := uint64(0)
	for i := range violations {
		total += violations[i].Load()
	}
	return total
}
