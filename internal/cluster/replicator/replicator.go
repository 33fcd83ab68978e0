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

// ErrOlder is returned for a newer version of the store whose content is older than that of the active one: the store has
// come back from an older copy.
var ErrOlder = errors.New("the content is older than the active one")

// ApplyFunc makes a newer version active, or returns an error to keep the current one.
type ApplyFunc func(d Document) error

// Replicator holds the newest valid version of each document.
type Replicator interface {
	// Register adds a document and the function that applies its versions.
	Register(name string, a ApplyFunc)
	// Update applies a document if it is newer, and reports whether it became active; the error is that of its ApplyFunc.
	Update(d Document) (bool, error)
	// Active returns the active version of the document, or false if there is none.
	Active(name string) (Document, bool)
	// Versions returns the active version of each registered document, 0 for none, sorted by name.
	Versions() []Document
	// Newer returns the documents whose active version is newer than the given one.
	Newer(than []Document) []Document
	// Behind reports whether one of the given versions is newer than the active one.
	Behind(versions []Document) bool
}

type replicator struct {
	mu         sync.Mutex
	current    map[string]Document
	applyFuncs map[string]ApplyFunc
	refused    map[string]uint64
}

// New returns a replicator without documents.
func New() Replicator {
	return &replicator{
		current:    map[string]Document{},
		applyFuncs: map[string]ApplyFunc{},
		refused:    map[string]uint64{},
	}
}

// Register adds a document.
func (r *replicator) Register(name string, a ApplyFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyFuncs[name] = a
}

// Update applies a newer document; a version that was refused is not applied again, unless its content was older.
func (r *replicator) Update(d Document) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	apply := r.applyFuncs[d.Name]
	if apply == nil || d.Version <= max(r.current[d.Name].Version, r.refused[d.Name]) {
		return false, nil
	}
	if err := apply(d); err != nil {
		if !errors.Is(err, ErrOlder) {
			r.refused[d.Name] = d.Version
		}
		return false, errors.Wrapf(err, "refuse %s version %d", d.Name, d.Version)
	}
	asserter.Check(asserter.RevisionMonotonic, d.Version > r.current[d.Name].Version)
	r.current[d.Name] = d
	return true, nil
}

// Active returns the active version of the document.
func (r *replicator) Active(name string) (Document, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.current[name]
	return d, ok
}

// Versions returns the active version of each registered document, sorted by name.
func (r *replicator) Versions() []Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Document, 0, len(r.applyFuncs))
	for name := range r.applyFuncs {
		list = append(list, Document{
			Name:    name,
			Version: r.current[name].Version,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Newer returns the documents whose active version is newer than the given one.
func (r *replicator) Newer(than []Document) []Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Document
	for _, d := range than {
		if newest := r.current[d.Name]; newest.Version > d.Version {
			list = append(list, newest)
		}
	}
	return list
}

// Behind reports whether one of the versions is newer than both the active and the last refused one.
func (r *replicator) Behind(versions []Document) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range versions {
		if r.applyFuncs[d.Name] != nil && d.Version > max(r.current[d.Name].Version, r.refused[d.Name]) {
			return true
		}
	}
	return false
}
