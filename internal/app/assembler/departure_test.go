package assembler_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestDepartureSurvivesRestart guards against a node that forgets with a restart that it acknowledged the departure of its
// backend server: a report that was sent before, and arrives late, must not make callers of any node use it again.
func TestDepartureSurvivesRestart(t *testing.T) {
	tests := map[string]struct {
		downAtDeparture bool // the store doesn't have the departure
		downAtRestart   bool // the late report arrives before the list of nodes was read
	}{
		"the store has the departure":             {},
		"the list is read after the late report":  {downAtRestart: true},
		"only the other nodes know the departure": {downAtDeparture: true},
		"the others know it, the list comes late": {downAtDeparture: true, downAtRestart: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newStore()
			group := &errgroup.Group{}
			n := newRecordingNode(t, s, group, "booking")
			other := newRecordingNode(t, s, group, "fragile")
			defer other.stop()
			await(t, func() bool { return other.send(t, "1") == http.StatusOK && n.send(t, "1") == http.StatusOK })
			s.setDown(tt.downAtDeparture)
			n.MarkLeaving(t.Context(), n.report(2).Instance, 1)
			n.stop()
			<-n.ended
			s.setDown(tt.downAtRestart)
			again := startTestNode(t, s, group, n.settings)
			defer again.stop()
			for range 5 {
				again.ApplyReport(context.Background(), n.report(2))
				time.Sleep(20 * time.Millisecond)
			}
			s.setDown(false)
			await(t, again.Ready)
			if tt.downAtDeparture { // the other node tells the restarted one
				await(t, func() bool { return again.send(t, "2") != http.StatusOK })
			}
			again.ApplyReport(context.Background(), n.report(3))
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				is.True(other.send(t, "3") != http.StatusOK)
				is.True(again.send(t, "4") != http.StatusOK)
			}
			later := n.report(1)
			later.StartedAtMs = 2
			again.ApplyReport(context.Background(), later)
			await(t, func() bool { return other.send(t, "5") == http.StatusOK && again.send(t, "5") == http.StatusOK })
		})
	}
}

// TestRecordIsWithdrawn checks that the record of a node is removed when it stops and its backend server has left, and
// kept for the next process of the node for as long as the backend server runs.
func TestRecordIsWithdrawn(t *testing.T) {
	tests := map[string]struct {
		leaving bool
		ended   bool
		removed bool
	}{
		"backend server leaving": {leaving: true},
		"backend server left":    {leaving: true, ended: true, removed: true},
		"backend server crashed": {ended: true},
		"backend server running": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStore()
			n := newRecordingNode(t, s, &errgroup.Group{}, "booking")
			await(t, func() bool { return n.send(t, "1") == http.StatusOK })
			if tt.leaving {
				n.MarkLeaving(t.Context(), n.report(2).Instance, 1)
			}
			if tt.ended {
				is.New(t).NoErr(n.server.Close())
			}
			n.stop()
			<-n.ended
			_, ok := s.record(n.address)
			is.New(t).Equal(!ok, tt.removed)
		})
	}
}
