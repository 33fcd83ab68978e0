package storer

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

// headerEra names the era of the store in its responses, which rises each time it comes back from an older copy. In a
// conditional write it names the era of the expected version.
const headerEra = "Era"

// A version holds the era of the store in its highest bits, and the number that the store gave to the change in the others:
// numbers are given out again in the next era.
const (
	numberBits = 40
	eraBits    = 64 - numberBits
)

// era returns the era in the version.
func era(version uint64) uint64 {
	return version >> numberBits
}

// number returns the number in the version.
func number(version uint64) uint64 {
	return version & (1<<numberBits - 1)
}

// response is the head of a response of the store.
type response struct {
	header http.Header
	era    uint64
}

// version returns the version of the number in the era of the response.
func (r response) version(number uint64) uint64 {
	return r.era<<numberBits | number
}

// eraTracker keeps the highest era that a response named, 0 if none did.
type eraTracker struct {
	mu  sync.Mutex
	max uint64
}

// observe returns the era in the value of a header, the highest one so far if the value is not an era, or an error if it is
// below that: the response was late.
func (t *eraTracker) observe(value string) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	era, err := strconv.ParseUint(value, 10, eraBits)
	if err != nil {
		return t.max, nil
	}
	if era < t.max {
		return 0, errors.Errorf("store: response of era %d after one of era %d", era, t.max)
	}
	t.max = era
	return era, nil
}

// highest returns the highest era so far.
func (t *eraTracker) highest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.max
}

// LearnEra takes over the era of a version that another node has read.
func (s *store) LearnEra(version uint64) {
	s.era.mu.Lock()
	defer s.era.mu.Unlock()
	s.era.max = max(s.era.max, era(version))
}

// Outdated reports whether the version is of an earlier era.
func (s *store) Outdated(version uint64) bool {
	return era(version) < s.era.highest()
}
