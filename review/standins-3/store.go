package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type metadata struct {
	Name      string `json:"name"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"createRev"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

type event struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
	kind    string
}

// store is a stand-in for the platform's store, without faults.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{
		revision: 1,
		objects:  map[string]map[string]object{},
		changed:  make(chan struct{}),
	}
}

// put creates or replaces an object.
func (s *store) put(kind, name string, spec json.RawMessage) object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(kind, name, spec)
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) object {
	old, ok := s.objects[kind][name]
	if ok && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, CreateRev: s.revision}, Spec: spec}
	if ok {
		o.Metadata.CreateRev = old.Metadata.CreateRev
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.note(event{Object: o, kind: kind})
	return o
}

// note keeps a change for the watches; s.mu is held.
func (s *store) note(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP handles one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	in := object{}
	if r.Method == http.MethodPut || r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name, in)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := make([]object, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "currentRev": s.revision})
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, in object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		reply(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !exists:
		reply(w, http.StatusNotFound, struct{}{})
	case in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.objects[kind], name)
		old.Metadata.Revision = s.revision
		s.note(event{Object: old, Removed: true, kind: kind})
		reply(w, http.StatusOK, old)
	default:
		reply(w, http.StatusOK, s.putLocked(kind, name, in.Spec))
	}
}

// watch responds as soon as there is a change after the revision, or after the wait.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > from {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
