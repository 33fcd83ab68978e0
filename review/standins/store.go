package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const objectsPath = "/v1/objects/"

type metadata struct {
	Name      string `json:"name"`
	Revision  uint64 `json:"revision,omitempty"`
	CreateRev uint64 `json:"createRev,omitempty"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type event struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
	kind    string
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	events   []event
	changed  chan struct{}
	down     bool
	listener net.Listener
	server   *http.Server
}

func newStore(p *ports) (*store, error) {
	l, err := p.listen()
	if err != nil {
		return nil, err
	}
	s := &store{
		revision: 1,
		kinds:    map[string]map[string]object{},
		changed:  make(chan struct{}),
		listener: l,
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) address() string {
	return s.listener.Addr().String()
}

// setDown makes the store answer 503, by which nothing was done, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object as the operator does.
func (s *store) put(kind, name string, spec any) error {
	b, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, b)
	return nil
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	o := s.kinds[kind][name]
	s.revision++
	if o.Metadata.Name == "" {
		o.Metadata = metadata{Name: name, CreateRev: s.revision}
	}
	o.Metadata.Revision = s.revision
	o.Spec = spec
	s.kinds[kind][name] = o
	s.events = append(s.events, event{Object: o, kind: kind})
	s.wake()
	return o
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, kind, name)
	case http.MethodPost, http.MethodPut:
		in := object{}
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.change(w, r.Method, kind, name, in)
	case http.MethodDelete:
		o, ok := s.kinds[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		delete(s.kinds[kind], name)
		s.revision++
		o.Metadata.Revision = s.revision
		s.events = append(s.events, event{Object: o, Removed: true, kind: kind})
		s.wake()
		reply(w, http.StatusOK, o)
	}
}

func (s *store) change(w http.ResponseWriter, method, kind, name string, in object) {
	if method == http.MethodPost {
		name = in.Metadata.Name
	}
	o, exists := s.kinds[kind][name]
	switch {
	case method == http.MethodPost && exists:
		reply(w, http.StatusConflict, o)
	case method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
	case exists && string(o.Spec) == string(in.Spec):
		reply(w, http.StatusOK, o)
	default:
		reply(w, http.StatusOK, s.write(kind, name, in.Spec))
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request, kind, name string) {
	if name != "" {
		o, ok := s.kinds[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
		return
	}
	if text := r.URL.Query().Get("watch"); text != "" {
		s.watch(w, r, kind, text)
		return
	}
	items := []object{}
	for _, o := range s.kinds[kind] {
		items = append(items, o)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "currentRev": s.revision})
}

// watch answers as soon as there is an event after the revision, or after waitMs; s.mu is held on entry and return.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, text string) {
	after, _ := strconv.ParseUint(text, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for timedOut := false; ; {
		if s.down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		if len(events) > 0 || timedOut {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": s.revision})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end.C:
			timedOut = true
		case <-r.Context().Done():
			timedOut = true
		}
		s.mu.Lock()
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
