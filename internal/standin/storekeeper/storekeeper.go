package storekeeper

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what the store does wrong.
type Fault struct {
	Down        bool
	DelayMs     int
	LoseAnswers bool
}

// Counts is the number of calls by kind since the start.
type Counts struct {
	Reads   int
	Writes  int
	Watches int
	Lists   int
}

type object struct {
	Key     string
	Version uint64
	Value   []byte
}

// Storekeeper is the store in memory.
type Storekeeper struct {
	mu      sync.Mutex
	objects map[string]object
	version uint64
	changed chan struct{}
	fault   Fault
	counts  Counts
	file    string
}

// New returns a store with the objects in the file; an empty name keeps none.
func New(file string) *Storekeeper {
	s := &Storekeeper{
		objects: map[string]object{},
		changed: make(chan struct{}),
		file:    file,
	}
	s.load()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Storekeeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/fault":
		s.setFault(w, r)
		return
	case "/counts":
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(s.counts)
		return
	}
	fault := s.currentFault()
	if !sleep(r.Context(), time.Duration(fault.DelayMs)*time.Millisecond) {
		return
	}
	if fault.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if fault.LoseAnswers && r.Method != http.MethodGet {
		s.serve(&discard{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	s.serve(w, r)
}

func (s *Storekeeper) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/objects" {
		s.list(w, r.URL.Query().Get("prefix"))
		return
	}
	key, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), "/objects/"))
	if err != nil {
		http.Error(w, "bad key", http.StatusBadRequest)
		return
	}
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, key)
	case http.MethodPut:
		s.put(w, r, key)
	case http.MethodDelete:
		s.remove(w, key)
	default:
		http.Error(w, "bad method", http.StatusMethodNotAllowed)
	}
}

func (s *Storekeeper) setFault(w http.ResponseWriter, r *http.Request) {
	f := Fault{}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

func (s *Storekeeper) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// wake ends the waits of watches after a change; s.mu is held.
func (s *Storekeeper) wake() {
	s.save()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Storekeeper) list(w http.ResponseWriter, prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Lists++
	list := []object{}
	for k, o := range s.objects {
		if strings.HasPrefix(k, prefix) {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	_ = json.NewEncoder(w).Encode(list)
}

func (s *Storekeeper) get(w http.ResponseWriter, r *http.Request, key string) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMs)*time.Millisecond)
	defer cancel()
	s.count(waitMs > 0)
	for {
		s.mu.Lock()
		o, ok := s.objects[key]
		changed := s.changed
		down := s.fault.Down
		s.mu.Unlock()
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if ok && o.Version > after {
			writeObject(w, o)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
}

func (s *Storekeeper) count(watch bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if watch {
		s.counts.Watches++
		return
	}
	s.counts.Reads++
}

func (s *Storekeeper) put(w http.ResponseWriter, r *http.Request, key string) {
	value := make([]byte, 0, max(0, r.ContentLength))
	buf := make([]byte, 32<<10)
	for {
		n, err := r.Body.Read(buf)
		value = append(value, buf[:n]...)
		if err != nil {
			break
		}
	}
	if len(value) > 1<<20 {
		http.Error(w, "value above 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	o, ok := s.objects[key]
	match, _ := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if (r.Header.Get("If-None-Match") == "*" && ok) || (match != 0 && o.Version != match) {
		http.Error(w, "conflict", http.StatusPreconditionFailed)
		return
	}
	s.version++
	o = object{
		Key:     key,
		Version: s.version,
		Value:   value,
	}
	s.objects[key] = o
	s.wake()
	writeObject(w, object{
		Key:     key,
		Version: o.Version,
	})
}

func (s *Storekeeper) remove(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	delete(s.objects, key)
	s.version++
	s.wake()
	writeObject(w, object{
		Key:     key,
		Version: s.version,
	})
}

func writeObject(w http.ResponseWriter, o object) {
	w.Header().Set("Version", strconv.FormatUint(o.Version, 10))
	w.Header().Set("Object-Key", o.Key)
	_, _ = w.Write(o.Value)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

type discard struct {
	header http.Header
}

// Header returns headers that nobody gets.
func (d *discard) Header() http.Header {
	return d.header
}

// Write drops b.
func (d *discard) Write(b []byte) (int, error) {
	return len(b), nil
}

// WriteHeader drops the status.
func (d *discard) WriteHeader(int) {}
