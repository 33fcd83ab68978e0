package storeserver

import (
	"maps"
	"net/http"
	"strconv"
)

// headerEra names the era of the store in each response; it rises by one each time the store comes back from an older copy.
const headerEra = "Era"

// nameEra sets the era in the header of a response; the caller must hold s.mu.
func (s *StoreServer) nameEra(w http.ResponseWriter) {
	w.Header().Set(headerEra, strconv.FormatUint(s.era, 10))
}

// Copy is the content of the store at one time.
type Copy struct {
	version uint64
	objects map[string]object
}

// Copy returns a copy of the present content.
func (s *StoreServer) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{
		version: s.version,
		objects: maps.Clone(s.objects),
	}
}

// ComeBack continues from the copy in the next era; versions are given out again, and watches from before are cut off.
func (s *StoreServer) ComeBack(from Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = from.version
	s.objects = maps.Clone(from.objects)
	s.era++
	s.notify()
}
