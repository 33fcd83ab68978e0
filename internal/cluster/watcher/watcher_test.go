package watcher_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
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

// changeTime is the time in which a change must be active everywhere.
const changeTime = 6 * time.Second

// fleet is a fleet of one node that keeps the published versions.
type fleet struct {
	versions chan uint64
}

func (f *fleet) Self() chivegauge.Member      { return chivegauge.Member{} }
func (f *fleet) Members() []chivegauge.Member { return nil }
func (f *fleet) Active(string) (replicator.Document, bool) {
	return replicator.Document{}, false
}

func (f *fleet) Publish(d replicator.Document) error {
	f.versions <- d.Version
	return nil
}

// TestChangeLateOnSilentWatch checks that a change is published in time although watches of the store hear nothing, fail
// or are refused.
func TestChangeLateOnSilentWatch(t *testing.T) {
	tests := map[string]func(w http.ResponseWriter, r *http.Request){
		"silent":  func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"refused": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"cut off": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	}
	for name, answerWatch := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			standIn := storeserver.New("")
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Query().Has("waitMs") {
					answerWatch(w, r)
					return
				}
				standIn.ServeHTTP(w, r)
			}))
			defer server.Close()
			cfg := loader.Defaults().Store
			s := storer.New(server.URL, loader.Millis(cfg.TimeoutMs), loader.Millis(cfg.WatchMs))
			o, err := s.Put(t.Context(), "configuration", []byte("first"), 0)
			is.NoErr(err)
			f := &fleet{
				versions: make(chan uint64, 1000),
			}
			ctx, cancel := context.WithCancel(t.Context())
			group := sync.WaitGroup{}
			defer group.Wait()
			defer cancel()
			w := watcher.New(s, f, "configuration", loader.Millis(cfg.RefreshMs))
			group.Go(func() { _ = w.Serve(ctx) })
			is.Equal(<-f.versions, o.Version)
			time.Sleep(time.Second)
			next, err := s.Put(t.Context(), "configuration", []byte("second"), o.Version)
			is.NoErr(err)
			late := time.After(changeTime)
			for version := o.Version; version != next.Version; {
				select {
				case version = <-f.versions:
				case <-late:
					t.Fatalf("the change is not published after %v", changeTime)
				}
			}
		})
	}
}
