package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// metadata is the part of an object that the store keeps by itself.
type metadata struct {
	Name      string `json:"name"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"createRev"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// change is one entry of the history, by which watches are answered.
type change struct {
	kind    string
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

// image is the content of the store at one time.
type image struct {
	revision uint64
	oldest   uint64 // watches from before this revision get status 410
	objects  map[string]map[string]object
	history  []change
}

func (im image) copy() image {
	out := im
	out.objects = map[string]map[string]object{}
	for kind, objects := range im.objects {
		out.objects[kind] = maps.Clone(objects)
	}
	out.history = append([]change(nil), im.history...)
	return out
}

// store is a stand-in for the platform's store: objects by kind and name, one revision counter, conditional writes and
// watches.
type store struct {
	mu      sync.Mutex
	image   image
	era     int
	back    chan struct{} // nil unless the store is away
	changed chan struct{}
	server  *http.Server
	address string
}

func newStore() (*store, error) {
	s := &store{
		image: image{
			revision: 100,
			oldest:   100,
			objects:  map[string]map[string]object{},
		},
		era:     1,
		changed: make(chan struct{}),
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = ln.Addr().String()
	s.server = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: 10 * time.Second,
	}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// save returns a copy of the present content.
func (s *store) save() image {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.image.copy()
}

// stop closes the listener and all connections.
func (s *store) stop() {
	_ = s.server.Close()
}

// goAway leaves all calls without an answer, those that wait included, until comeBack.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.back = make(chan struct{})
}

// comeBack continues from the saved content in the next era. The writes come first; then the connections from before are
// closed, and calls are answered again.
func (s *store) comeBack(from image, writes func(put func(kind, name string, spec []byte))) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.image = from.copy()
	s.era++
	writes(func(kind, name string, spec []byte) { s.put(kind, name, spec) })
	close(s.back)
	s.back = nil
}

// awaitBack waits until the store is not away, and returns its era.
func (s *store) awaitBack() int {
	for {
		s.mu.Lock()
		back, era := s.back, s.era
		s.mu.Unlock()
		if back == nil {
			return era
		}
		<-back
	}
}

// write creates or replaces an object without a condition, as the operator does.
func (s *store) write(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, spec)
}

// put stores the spec; s.mu is held.
func (s *store) put(kind, name string, spec json.RawMessage) object {
	old, ok := s.image.objects[kind][name]
	if ok && string(old.Spec) == string(spec) {
		return old
	}
	s.image.revision++
	o := object{
		Metadata: metadata{
			Name:      name,
			Revision:  s.image.revision,
			CreateRev: old.Metadata.CreateRev,
		},
		Spec:   spec,
		Status: old.Status,
	}
	if !ok {
		o.Metadata.CreateRev = s.image.revision
	}
	if s.image.objects[kind] == nil {
		s.image.objects[kind] = map[string]object{}
	}
	s.image.objects[kind][name] = o
	s.record(change{kind: kind, Object: o})
	return o
}

func (s *store) record(c change) {
	s.image.history = append(s.image.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	if s.awaitBack() != era {
		panic(http.ErrAbortHandler)
	}
	status, out := s.handle(r, kind, name, era)
	if s.awaitBack() != era {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

func (s *store) handle(r *http.Request, kind, name string, era int) (int, any) {
	in := object{}
	if r.Method == http.MethodPut || r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	if r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch") {
		return s.watch(r, kind, era)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method {
	case http.MethodGet:
		return s.read(kind, name)
	case http.MethodPost:
		if old, ok := s.image.objects[kind][in.Metadata.Name]; ok {
			return http.StatusConflict, old
		}
		return http.StatusOK, s.put(kind, in.Metadata.Name, in.Spec)
	case http.MethodPut, http.MethodDelete:
		return s.replace(r, kind, name, in)
	default:
		return http.StatusMethodNotAllowed, nil
	}
}

// replace handles PUT and DELETE; s.mu is held.
func (s *store) replace(r *http.Request, kind, name string, in object) (int, any) {
	old, ok := s.image.objects[kind][name]
	if !ok {
		return http.StatusNotFound, nil
	}
	want := in.Metadata.Revision
	if n, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64); err == nil {
		want = n
	}
	if want != 0 && want != old.Metadata.Revision {
		return http.StatusConflict, old
	}
	if r.Method == http.MethodPut {
		return http.StatusOK, s.put(kind, name, in.Spec)
	}
	delete(s.image.objects[kind], name)
	s.image.revision++
	s.record(change{kind: kind, Object: old, Removed: true})
	return http.StatusOK, old
}

// read handles a GET of one object or of a list; s.mu is held.
func (s *store) read(kind, name string) (int, any) {
	if name != "" {
		o, ok := s.image.objects[kind][name]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, o
	}
	items := []object{}
	for _, o := range s.image.objects[kind] {
		items = append(items, o)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	return http.StatusOK, map[string]any{
		"items":      items,
		"hasMore":    false,
		"currentRev": s.image.revision,
	}
}

// watch waits for changes of the kind after a revision; a revision that the store does not have gets status 410. A watch
// that waits when the store comes back from a copy is cut off.
func (s *store) watch(r *http.Request, kind string, era int) (int, any) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.era != era {
			s.mu.Unlock()
			return http.StatusGone, nil // not sent, since the connection is closed
		}
		if from > s.image.revision || from < s.image.oldest {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []change{}
		for _, c := range s.image.history {
			if c.kind == kind && c.Object.Metadata.Revision > from {
				events = append(events, c)
			}
		}
		out := map[string]any{"events": events, "currentRev": s.image.revision}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, out
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, out
		case <-r.Context().Done():
			return http.StatusOK, out
		}
	}
}

// gate is the store as one machine sees it: while it is busy, the machine is turned away.
type gate struct {
	store  *store
	busy   atomic.Bool
	server *http.Server
}

// newGate returns a gate with an address of its own.
func newGate(s *store) (*gate, string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	g := &gate{
		store: s,
	}
	g.server = &http.Server{
		Handler:           g,
		ReadHeaderTimeout: 10 * time.Second,
	}
	go func() { _ = g.server.Serve(ln) }()
	return g, ln.Addr().String(), nil
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.busy.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.store.ServeHTTP(w, r)
}
