package watcher

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/storer"
	"github.com/chivegauge/chivegauge/internal/base/timekeeper"
	"github.com/chivegauge/chivegauge/internal/cluster/replicator"
	"github.com/go-faster/errors"
)

const (
	watchersPerZone = 2
	retryFirst      = 200 * time.Millisecond
	retryMax        = 5 * time.Second
	checkPeriod     = 2 * time.Second // pause before the next step if no watch and no read is due
)

// Fleet is the membership, and distributes the documents that are read.
type Fleet interface {
	Self() chivegauge.Member
	Members() []chivegauge.Member
	Publish(d replicator.Document) error
	// Active returns the active version of a document, or false if there is none.
	Active(name string) (replicator.Document, bool)
}

// Watcher keeps one document in sync with the store.
type Watcher interface {
	// Serve reads or watches the document until the context ends.
	Serve(ctx context.Context) error
	// Read reads the document once.
	Read(ctx context.Context) error
}

type watcher struct {
	store    storer.Store
	fleet    Fleet
	name     string
	refresh  time.Duration
	version  uint64
	lastRead time.Time
}

// New returns a watcher of the document; refresh is the period of reads by a node that does not watch.
func New(s storer.Store, f Fleet, name string, refresh time.Duration) Watcher {
	return &watcher{
		store:   s,
		fleet:   f,
		name:    name,
		refresh: refresh,
	}
}

// Serve reads the document, then watches it while this node is one of the watchers of its zone.
func (w *watcher) Serve(ctx context.Context) error {
	backoff := retryFirst
	for {
		wait, err := w.step(ctx, timekeeper.Now())
		if err != nil {
			wait = backoff
			backoff = min(retryMax, 2*backoff)
		} else {
			backoff = retryFirst
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

// step makes one watch or read call if one is due, and returns the pause before the next step. A watch that fails is
// followed by a read at once: it may have failed because the store ended it, or heard nothing in time.
func (w *watcher) step(ctx context.Context, now time.Time) (time.Duration, error) {
	selected := IsWatcher(w.fleet.Self(), w.fleet.Members(), w.name)
	if selected && w.version > 0 {
		if err := w.watch(ctx); err == nil || ctx.Err() != nil {
			return 0, err
		}
		return retryFirst, w.Read(ctx)
	}
	if !selected && !w.lastRead.IsZero() && now.Sub(w.lastRead) < w.refresh {
		return checkPeriod, nil
	}
	if err := w.Read(ctx); err != nil {
		return 0, err
	}
	w.lastRead = now
	return checkPeriod, nil
}

func (w *watcher) watch(ctx context.Context) error {
	o, err := w.store.Watch(ctx, w.name, w.version)
	if errors.Is(err, storer.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return w.publish(ctx, o)
}

// Read reads the document once; a missing document is not an error, but written again if there is an active one.
func (w *watcher) Read(ctx context.Context) error {
	o, err := w.store.Get(ctx, w.name)
	if errors.Is(err, storer.ErrNotFound) {
		return w.restore(ctx, 0)
	}
	if err != nil {
		return err
	}
	return w.publish(ctx, o)
}

// publish distributes the document; one with older content than the active one is replaced by that in the store. Other
// errors are ignored, since an invalid version is skipped until the next one.
func (w *watcher) publish(ctx context.Context, o storer.Object) error {
	w.version = o.Version
	err := w.fleet.Publish(replicator.Document{
		Name:    w.name,
		Version: o.Version,
		Value:   o.Value,
	})
	if errors.Is(err, replicator.ErrOlder) {
		return w.restore(ctx, o.Version)
	}
	return nil
}

// restore writes the active version again where the store, which has come back from an older copy, holds another one. If
// somebody else has written meanwhile, that comes with the next call.
func (w *watcher) restore(ctx context.Context, version uint64) error {
	active, ok := w.fleet.Active(w.name)
	if !ok {
		return nil
	}
	o, err := w.store.Put(ctx, w.name, active.Value, version)
	if errors.Is(err, storer.ErrConflict) {
		return nil
	}
	if err != nil {
		w.version = 0 // the next call is a read, which leads here again
		return err
	}
	return w.publish(ctx, o)
}

// IsWatcher reports whether the node is one of the watchers of the document in its zone.
func IsWatcher(self chivegauge.Member, members []chivegauge.Member, name string) bool {
	own := self.Weight(name)
	preferred := 0
	for _, m := range members {
		if m.Zone == self.Zone && m.Serving() && m.Address != self.Address && m.Weight(name) > own {
			preferred++
		}
	}
	return preferred < watchersPerZone
}
