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
	idleCheck       = 2 * time.Second
)

// Fleet is the membership and the documents that the watcher feeds.
type Fleet interface {
	Self() chivegauge.Member
	Members() []chivegauge.Member
	Offer(d replicator.Document) error
}

// Watcher keeps one document in step with the store.
type Watcher interface {
	// Serve reads or watches the document until the context ends.
	Serve(ctx context.Context) error
	// Read reads the document once.
	Read(ctx context.Context) error
}

type watcher struct {
	store   storer.Store
	fleet   Fleet
	name    string
	refresh time.Duration
	version uint64
	read    time.Time
}

// New returns a watcher of the document; refresh is the period of reads without a watch.
func New(s storer.Store, f Fleet, name string, refresh time.Duration) Watcher {
	return &watcher{
		store:   s,
		fleet:   f,
		name:    name,
		refresh: refresh,
	}
}

// Serve reads the document, then watches it while this node is one of its zone's watchers.
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

// step does one watch or one read, if either is due, and returns the pause before the next step.
func (w *watcher) step(ctx context.Context, now time.Time) (time.Duration, error) {
	chosen := Chosen(w.fleet.Self(), w.fleet.Members(), w.name)
	if chosen && w.version > 0 {
		return 0, w.watch(ctx)
	}
	if !chosen && !w.read.IsZero() && now.Sub(w.read) < w.refresh {
		return idleCheck, nil
	}
	if err := w.Read(ctx); err != nil {
		return 0, err
	}
	w.read = now
	return idleCheck, nil
}

func (w *watcher) watch(ctx context.Context) error {
	o, err := w.store.Watch(ctx, w.name, w.version)
	if errors.Is(err, storer.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return w.take(o)
}

// Read reads the document once; a missing one is not an error.
func (w *watcher) Read(ctx context.Context) error {
	o, err := w.store.Get(ctx, w.name)
	if errors.Is(err, storer.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return w.take(o)
}

// take offers the document; one that is refused is passed over until the next version.
func (w *watcher) take(o storer.Object) error {
	w.version = o.Version
	_ = w.fleet.Offer(replicator.Document{
		Name:    w.name,
		Version: o.Version,
		Value:   o.Value,
	})
	return nil
}

// Chosen reports whether the node is one of the watchers of the document in its zone.
func Chosen(self chivegauge.Member, members []chivegauge.Member, name string) bool {
	own := self.Weight(name)
	ahead := 0
	for _, m := range members {
		if m.Zone == self.Zone && m.Serving() && m.Address != self.Address && m.Weight(name) > own {
			ahead++
		}
	}
	return ahead < watchersPerZone
}
