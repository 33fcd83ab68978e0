package registrar_test

import (
	"context"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
	"github.com/matryer/is"
)

// TestRecordLostByTheStore guards against a departure that a node has acknowledged, and that is no longer in its record
// after the store has come back from an older copy: the record is written again at the next reading of the list, not only
// once a stale list must have it. One that was not lost is not written again.
func TestRecordLostByTheStore(t *testing.T) {
	const (
		staleMax = time.Hour
		returns  = 2
	)
	before := with("i-a", false)(record(nodeA, 1))
	tests := map[string]struct {
		copied func(own registrar.Record) *registrar.Record
		writes int
	}{
		"no record":    {copied: func(registrar.Record) *registrar.Record { return nil }, writes: 1},
		"older record": {copied: func(registrar.Record) *registrar.Record { return &before }, writes: 1},
		"same record":  {copied: func(own registrar.Record) *registrar.Record { return &own }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet()
			n := f.startWith(t, record(nodeA, 1), staleMax)
			eventually(t, "the list", n.Synced)
			is.NoErr(n.Update(context.Background(), with("i-a", true)))
			own := f.store.stored()
			for range returns {
				f.store.comeBack(tt.copied(own))
				eventually(t, "the departure in the store", func() bool { return f.store.stored().Leaving })
				time.Sleep(100 * time.Millisecond) // some readings of the list
				gets, writes := f.store.calls()
				is.Equal(gets, 1)
				is.Equal(writes, tt.writes)
			}
		})
	}
}

// TestSettledList guards against a restarted node that takes its list of nodes for whole although the store has lost
// records, as it has that of the earlier process of the node.
func TestSettledList(t *testing.T) {
	const settleTime = 300 * time.Millisecond
	tests := map[string]struct {
		stored  string
		settled time.Duration
	}{
		"nobody":                  {settled: settleTime},
		"another node":            {stored: nodeB, settled: settleTime},
		"an earlier process here": {stored: nodeA},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet()
			f.settleTime = settleTime
			if tt.stored != "" {
				f.store.records[tt.stored] = record(tt.stored, 1)
			}
			n := f.start(t, record(nodeA, 2))
			started := time.Now()
			eventually(t, "the list to be settled", n.Settled)
			is.True(n.Synced())
			is.True(time.Since(started) >= tt.settled)
			is.True(time.Since(started) < tt.settled+settleTime/2)
		})
	}
}
