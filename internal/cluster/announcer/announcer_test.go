package announcer_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/storer"
	"github.com/chivegauge/chivegauge/internal/cluster/announcer"
	"github.com/chivegauge/chivegauge/internal/standin/storeserver"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// membership is that of a node that knows others.
type membership struct{}

func (membership) Self() chivegauge.Member { return chivegauge.Member{Address: "10.0.0.1:7701"} }
func (membership) Merge(chivegauge.Member) {}
func (membership) Alone() bool             { return false }

// TestAnnouncementLostByTheStore guards against a killed node that the next process at its address takes for one that ended
// cleanly, since the store has lost its announcement: requests whose keys were with it could run twice.
func TestAnnouncementLostByTheStore(t *testing.T) {
	const (
		key      = "nodes/10.0.0.1:7701"
		lostTime = 6 * time.Second // the longest time without an announcement
	)
	is := is.New(t)
	standIn := storeserver.New("")
	server := httptest.NewServer(standIn)
	defer server.Close()
	newStore := func() storer.Store { return storer.New(server.URL, time.Second, time.Second) }
	other, s := newStore(), newStore()
	present := func() bool {
		_, err := other.Get(t.Context(), key)
		is.True(err == nil || errors.Is(err, storer.ErrNotFound))
		return err == nil
	}
	await := func(what string) {
		t.Helper()
		for start := time.Now(); !present(); time.Sleep(10 * time.Millisecond) {
			if time.Since(start) > lostTime {
				t.Fatalf("no announcement %s", what)
			}
		}
	}
	saved := standIn.Copy()
	exits := make(chan bool, 10)
	a := announcer.New(s, membership{}, time.Hour, func(unclean bool) { exits <- unclean })
	ctx, cancel := context.WithCancel(t.Context())
	group := sync.WaitGroup{}
	defer group.Wait()
	defer cancel()
	group.Go(func() { _ = a.Serve(ctx) })
	await("at the start")
	standIn.ComeBack(saved)
	is.True(!present())
	o, err := other.Put(t.Context(), "configuration", []byte("1"), 0)
	is.NoErr(err)
	s.LearnEra(o.Version)
	await("after the return")
	is.Equal(len(exits), 1) // only that of the earlier process is reported
}
