package replicator

import (
	"sort"
	"sync"

	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
	"github.com/go-faster/errors"
)

// Document is one version of a replicated document.
type Document struct {
	Name    string
	Version uint64
	Value   []byte
}

// Accept takes a newer version into force, or returns an error to keep the present one.
type Accept func(d Document) error

// Replicator holds the newest accepted version of each document.
type Replicator interface {
	// Register names a document and the function that takes its versions into force.
	Register(name string, a Accept)
	// Offer takes a document in if it is newer and accepted, and reports whether it was.
	Offer(d Document) (bool, error)
	// Versions returns the version in force of each registered document, 0 for none, by name.
	Versions() []Document
	// Newer returns the documents held in a newer version than the given ones.
	Newer(than []Document) []Document
	// Lacks reports whether a version among the given ones is newer than the one held.
	Lacks(versions []Document) bool
}

type replicator struct {
	mu      sync.Mutex
	held    map[string]Document
	accepts map[string]Accept
	refused map[string]uint64
}

// New returns a replicator without documents.
func New() Replicator {
	return &replicator{
		held:    map[string]Document{},
		accepts: map[string]Accept{},
		refused: map[string]uint64{},
	}
}

// Register names a document.
func (r *replicator) Register(name string, a Accept) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepts[name] = a
}

// Offer takes a newer document in; a version refused once is not tried again.
func (r *replicator) Offer(d Document) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	accept := r.accepts[d.Name]
	if accept == nil || d.Version <= max(r.held[d.Name].Version, r.refused[d.Name]) {
		return false, nil
	}
	if err := accept(d); err != nil {
		r.refused[d.Name] = d.Version
		return false, errors.Wrapf(err, "refuse %s version %d", d.Name, d.Version)
	}
	asserter.Check(asserter.RevisionMonotonic, d.Version > r.held[d.Name].Version)
	r.held[d.Name] = d
	return true, nil
}

// Versions returns the version in force of each registered document.
func (r *replicator) Versions() []Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Document, 0, len(r.accepts))
	for name := range r.accepts {
		list = append(list, Document{
			Name:    name,
			Version: r.held[name].Version,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Newer returns the documents held in a newer version than the given ones.
func (r *replicator) Newer(than []Document) []Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Document
	for _, d := range than {
		if held := r.held[d.Name]; held.Version > d.Version {
			list = append(list, held)
		}
	}
	return list
}

// Lacks reports whether one of the versions is newer than what is held or was refused.
func (r *replicator) Lacks(versions []Document) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range versions {
		if r.accepts[d.Name] != nil && d.Version > max(r.held[d.Name].Version, r.refused[d.Name]) {
			return true
		}
	}
	return false
}
