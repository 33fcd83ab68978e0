package storeserver

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

// Fault is the simulated fault of the store, the zero value for none.
type Fault struct {
	// Down refuses each call with status 503.
	Down bool
	// DelayMs delays each call.
	DelayMs int
	// LoseAnswers applies writes but closes the connection in place of a response.
	LoseAnswers bool
}

// Counts is the number of calls by kind since the process started.
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

// StoreServer is an object store in memory, persisted in a file if one is given.
type StoreServer struct {
	mu      sync.Mutex
	objects map[string]object
	version uint64
	era     uint64
	// changed is closed and replaced after each change.
	changed chan struct{}
	fault   Fault
	counts  Counts
	file    string
}

// New returns a store with the objects in the file and persists it there; an empty name disables persistence.
func New(file string) *StoreServer {
	s := &StoreServer{
		objects: map[string]object{},
		era:     1,
		changed: make(chan struct{}),
		file:    file,
	}
	s.load()
	return s
}

// ServeHTTP implements http.Handler.
func (s *StoreServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		s.serve(&discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	s.serve(w, r)
}

func (s *StoreServer) serve(w http.ResponseWriter, r *http.Request) {
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

func (s *StoreServer) setFault(w http.ResponseWriter, r *http.Request) {
	f := Fault{}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notify()
}

func (s *StoreServer) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// notify saves the objects and wakes up the watches after a change; the caller must hold s.mu.
func (s *StoreServer) notify() {
	s.save()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *StoreServer) list(w http.ResponseWriter, prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Lists++
	s.nameEra(w)
	list := []object{}
	for k, o := range s.objects {
		if strings.HasPrefix(k, prefix) {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	_ = json.NewEncoder(w).Encode(list)
}

func (s *StoreServer) get(w http.ResponseWriter, r *http.Request, key string) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMs)*time.Millisecond)
	defer cancel()
	s.count(waitMs > 0)
	for first := uint64(0); ; {
		s.mu.Lock()
		o, ok := s.objects[key]
		changed := s.changed
		down := s.fault.Down
		era := s.era
		s.nameEra(w)
		s.mu.Unlock()
		if first == 0 {
			first = era
		}
		if era != first {
			panic(http.ErrAbortHandler) // the store came back from an older copy meanwhile
		}
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

func (s *StoreServer) count(watch bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if watch {
		s.counts.Watches++
		return
	}
	s.counts.Reads++
}

func (s *StoreServer) put(w http.ResponseWriter, r *http.Request, key string) {
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
	s.nameEra(w)
	o, ok := s.objects[key]
	match, _ := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if era := r.Header.Get(headerEra); era != "" && era != strconv.FormatUint(s.era, 10) {
		http.Error(w, "another era", http.StatusPreconditionFailed)
		return
	}
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
	s.notify()
	writeObject(w, object{
		Key:     key,
		Version: o.Version,
	})
}

func (s *StoreServer) remove(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.nameEra(w)
	delete(s.objects, key)
	s.version++
	s.notify()
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

// sleep waits for d and reports whether ctx did not end before that.
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

// discardWriter is a response writer that discards the response.
type discardWriter struct {
	header http.Header
}

// Header returns headers that are not sent.
func (d *discardWriter) Header() http.Header {
	return d.header
}

// Write discards b.
func (d *discardWriter) Write(b []byte) (int, error) {
	return len(b), nil
}

// WriteHeader discards the status.
func (d *discardWriter) WriteHeader(int) {}
