package watcher_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/loader"
	"github.com/chivegauge/chivegauge/internal/base/storer"
	"github.com/chivegauge/chivegauge/internal/cluster/replicator"
	"github.com/chivegauge/chivegauge/internal/cluster/watcher"
	"github.com/chivegauge/chivegauge/internal/standin/storeserver"
	"github.com/matryer/is"
)

// documents is a fleet of one node with a document whose content is its revision.
type documents struct {
	replicator.Replicator
}

func newDocuments() documents {
	d := documents{
		Replicator: replicator.New(),
	}
	active := 0
	d.Register("configuration", func(doc replicator.Document) error {
		revision, err := strconv.Atoi(string(doc.Value))
		if err == nil && revision < active {
			return replicator.ErrOlder
		}
		active = revision
		return err
	})
	return d
}

func (documents) Self() chivegauge.Member      { return chivegauge.Member{} }
func (documents) Members() []chivegauge.Member { return nil }

func (d documents) Publish(doc replicator.Document) error {
	_, err := d.Update(doc)
	return err
}

// active returns the active content.
func (d documents) active() string {
	doc, _ := d.Active("configuration")
	return string(doc.Value)
}

// TestChangeAfterStoreReturned guards against a node that takes no further changes after the store has come back from an
// older copy, and against an acknowledged change that stays lost there: the node writes it again.
func TestChangeAfterStoreReturned(t *testing.T) {
	cfg := loader.Defaults().Store
	tests := map[string]struct {
		values []string // that are put behind the copy, then lost
		again  bool     // the next change is made before the node can write them again
		refuse int64    // the number of writes that the store refuses then
		next   string
	}{
		"one lost":                        {values: []string{"2"}, next: "3"},
		"one lost, two writes refused":    {values: []string{"2"}, refuse: 2, next: "3"},
		"three lost":                      {values: []string{"2", "3", "4"}, next: "5"},
		"one lost, and its number reused": {values: []string{"2"}, again: true, next: "3"},
		"two lost, one number reused":     {values: []string{"2", "3"}, again: true, next: "4"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			standIn := storeserver.New("")
			refuse := atomic.Int64{}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPut && refuse.Add(-1) >= 0 {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				standIn.ServeHTTP(w, r)
			}))
			defer server.Close()
			newStore := func() storer.Store {
				return storer.New(server.URL, loader.Millis(cfg.TimeoutMs), loader.Millis(cfg.WatchMs))
			}
			operator := newStore()
			o, err := operator.Put(t.Context(), "configuration", []byte("1"), 0)
			is.NoErr(err)
			d := newDocuments()
			ctx, cancel := context.WithCancel(t.Context())
			group := sync.WaitGroup{}
			defer group.Wait()
			defer cancel()
			w := watcher.New(newStore(), d, "configuration", loader.Millis(cfg.RefreshMs))
			group.Go(func() { _ = w.Serve(ctx) })
			inForce := func(value string) {
				t.Helper()
				for start := time.Now(); d.active() != value; time.Sleep(time.Millisecond) {
					if time.Since(start) > changeTime {
						t.Fatalf("%q is in force, not %q", d.active(), value)
					}
				}
			}
			inForce("1")
			saved := standIn.Copy()
			for _, value := range tt.values {
				o, err = operator.Put(t.Context(), "configuration", []byte(value), o.Version)
				is.NoErr(err)
				inForce(value)
			}
			refuse.Store(tt.refuse)
			standIn.ComeBack(saved)
			o, err = operator.Get(t.Context(), "configuration")
			is.NoErr(err)
			newest := tt.values[len(tt.values)-1]
			for start := time.Now(); !tt.again && string(o.Value) != newest; time.Sleep(time.Millisecond) {
				is.True(time.Since(start) < changeTime) // the newest is written again
				o, err = operator.Get(t.Context(), "configuration")
				is.NoErr(err)
			}
			for put := false; !put; {
				o, err = operator.Get(t.Context(), "configuration")
				is.NoErr(err)
				_, err = operator.Put(t.Context(), "configuration", []byte(tt.next), o.Version)
				put = err == nil
			}
			inForce(tt.next)
		})
	}
}
