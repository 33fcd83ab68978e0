package registrar_test

import (
	"context"
	"io"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
	"github.com/chivegauge/chivegauge/internal/request/crashtracker"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// waitMax is how long a test waits for a condition.
const waitMax = 10 * time.Second

// The addresses of nodes.
const (
	nodeA = "10.0.0.1:8543"
	nodeB = "10.0.0.2:8543"
	nodeC = "10.0.0.3:8543"
)

// fleet is a set of nodes that notify each other of changes.
type fleet struct {
	store      *store
	settleTime time.Duration
	mu         sync.Mutex
	nodes      map[string]registrar.Registrar

	// departures receives the records that tell a node of a departure that its earlier process acknowledged.
	departures chan registrar.Record
}

func newFleet() *fleet {
	return &fleet{
		store: &store{
			records: map[string]registrar.Record{},
		},
		nodes:      map[string]registrar.Registrar{},
		departures: make(chan registrar.Record, 100),
	}
}

func (f *fleet) Notify(_ context.Context, m chivegauge.Member, r registrar.Record) error {
	f.mu.Lock()
	target := f.nodes[m.Address]
	f.mu.Unlock()
	if target == nil {
		return errors.New("no such node")
	}
	target.Merge(r)
	return nil
}

func record(address string, incarnation uint64) registrar.Record {
	return registrar.Record{
		Member: chivegauge.Member{
			Address:     address,
			Service:     "booking",
			Incarnation: incarnation,
		},
	}
}

// start starts a node with the record.
func (f *fleet) start(t *testing.T, r registrar.Record) registrar.Registrar {
	t.Helper()
	return f.startWith(t, r, 50*time.Millisecond)
}

// startWith starts a node with the record, for which a stale list may be staleMax old.
func (f *fleet) startWith(t *testing.T, r registrar.Record, staleMax time.Duration) registrar.Registrar {
	t.Helper()
	n := registrar.New(registrar.Config{
		Timeout:       time.Second,
		NotifyTimeout: time.Second,
		Period:        20 * time.Millisecond,
		StartupPeriod: 5 * time.Millisecond,
		StartupTime:   time.Second,
		RetryMax:      20 * time.Millisecond,
		StaleMax:      staleMax,
		SettleTime:    f.settleTime,
		Describe:      func(rec registrar.Record) registrar.Record { return rec },
	}, f.store, f, r, zerolog.New(io.Discard))
	n.SubscribeDepartures(func(rec registrar.Record) {
		select {
		case f.departures <- rec:
		default:
		}
	})
	f.mu.Lock()
	f.nodes[r.Member.Address] = n
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	group := sync.WaitGroup{}
	group.Go(func() { _ = n.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return n
}

func with(instance string, leaving bool) func(registrar.Record) registrar.Record {
	return func(r registrar.Record) registrar.Record {
		r.Instance = instance
		r.Leaving = leaving
		return r
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitMax); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

// TestNodesFindEachOther checks that nodes that start together discover each other, and receive changes while the store
// is down.
func TestNodesFindEachOther(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	var nodes []registrar.Registrar
	for _, address := range []string{nodeA, nodeB, nodeC} {
		n := f.start(t, record(address, 1))
		nodes = append(nodes, n)
		is.NoErr(n.Update(context.Background(), with("i-"+address, false)))
	}
	all := func(count int) func() bool {
		return func() bool {
			for _, n := range nodes {
				if len(n.Service("booking")) != count {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "three members everywhere", all(3))
	f.store.setDown(true)
	is.True(nodes[0].Update(context.Background(), with("i-a", true)) != nil) // the store does not have it
	eventually(t, "two members everywhere, without the store", all(2))
	is.Equal(nodes[1].Len(), 3)
}

// TestPreviousRecord checks that a process reads the record of the previous process at its address, and keeps the
// backend server marked as leaving.
func TestPreviousRecord(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	before := record(nodeA, 1)
	before.Instance = "i-a"
	before.Leaving = true
	f.store.records[nodeA] = before
	n := f.start(t, record(nodeA, 2))
	eventually(t, "the list", n.Synced)
	previous := <-f.departures
	is.True(previous.Leaving)
	is.Equal(previous.Instance, "i-a")
	is.Equal(previous.Member.Incarnation, uint64(1))
	eventually(t, "the record of the next process to be leaving", func() bool {
		r := f.store.stored()
		return r.Member.Incarnation == 2 && r.Leaving
	})
}

// TestDepartureIsFinal guards against a node that was restarted and forgot that it acknowledged the departure of its
// backend server: the other nodes hold to it, and tell the node, unless another process of the backend server reports.
func TestDepartureIsFinal(t *testing.T) {
	tests := map[string]struct {
		instance    string
		startedAtMs int64
		leaving     bool
	}{
		"same process":             {instance: "i-a", startedAtMs: 1000, leaving: true},
		"an earlier process":       {instance: "i-a", startedAtMs: 900, leaving: true},
		"a later process":          {instance: "i-a", startedAtMs: 1001},
		"another instance's start": {instance: "i-b", startedAtMs: 1000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet()
			other := f.start(t, record(nodeB, 1))
			eventually(t, "the list", other.Synced)
			rec := record(nodeA, 1).WithLeaving()
			rec.Instance = "i-a"
			rec.StartedAtMs = 1000
			other.Merge(rec)
			n := f.start(t, record(nodeA, 2))
			eventually(t, "the list", n.Synced)
			is.NoErr(n.Update(context.Background(), func(r registrar.Record) registrar.Record {
				r.Instance = tt.instance
				r.StartedAtMs = tt.startedAtMs
				return r
			}))
			process := crashtracker.BackendProcess{
				Instance:    tt.instance,
				StartedAtMs: tt.startedAtMs,
			}
			eventually(t, "the record of the next process", func() bool { return other.BackendProcess(nodeA) == process })
			is.Equal(len(other.Service("booking")) == 0, tt.leaving)
			if tt.leaving {
				is.True((<-f.departures).Departed(process))
			}
		})
	}
}

// TestClockSetBack checks that the record of a process overrides that of the previous process although its clock is
// behind.
func TestClockSetBack(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	before := record(nodeA, chivegauge.FirstIncarnation(3000))
	before.Change = 4
	before.Instance = "i-a"
	before.Member.State = chivegauge.Draining
	f.store.records[nodeA] = before
	other := f.start(t, record(nodeB, 1))
	eventually(t, "the list", other.Synced)
	is.Equal(len(other.Service("booking")), 0)
	n := f.start(t, record(nodeA, chivegauge.FirstIncarnation(1000)))
	is.NoErr(n.Update(context.Background(), with("i-a", false)))
	eventually(t, "the next process among the members", func() bool { return len(other.Service("booking")) == 1 })
}

// TestRecordIsRepaired checks that a record reaches the store after a failed write, and again after a delayed write of
// an earlier version replaced it.
func TestRecordIsRepaired(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	n := f.start(t, record(nodeA, 1))
	eventually(t, "the list", n.Synced)
	stored := func() bool { return f.store.stored().Leaving }
	f.store.setDown(true)
	is.True(n.Update(context.Background(), with("i-a", true)) != nil)
	f.store.setDown(false)
	eventually(t, "the record after the outage", stored)
	_, err := f.store.Put(context.Background(), record(nodeA, 1))
	is.NoErr(err)
	eventually(t, "the record after a delayed write", stored)
}

// TestNewer checks which record of an address replaces another.
func TestNewer(t *testing.T) {
	tests := map[string]struct {
		record registrar.Record
		newer  bool
	}{
		"same": {
			record: registrar.Record{
				Member: chivegauge.Member{
					Incarnation: 2,
				},
				Change: 5,
			},
		},
		"later change": {
			record: registrar.Record{
				Member: chivegauge.Member{
					Incarnation: 2,
				},
				Change: 6,
			},
			newer: true,
		},
		"later process": {
			record: registrar.Record{
				Member: chivegauge.Member{
					Incarnation: 3,
				},
				Change: 1,
			},
			newer: true,
		},
		"earlier process": {
			record: registrar.Record{
				Member: chivegauge.Member{
					Incarnation: 1,
				},
				Change: 9,
			},
		},
	}
	known := registrar.Record{
		Member: chivegauge.Member{
			Incarnation: 2,
		},
		Change: 5,
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tt.record.Newer(known), tt.newer)
		})
	}
}

// TestOddRecords checks that records which no node can have written are ignored, and the others are not.
func TestOddRecords(t *testing.T) {
	odd := func(change func(r *registrar.Record)) registrar.Record {
		r := record(nodeB, 1)
		r.Instance = "odd"
		change(&r)
		return r
	}
	tests := map[string]registrar.Record{
		"port out of range":  odd(func(r *registrar.Record) { r.Member.Address = "10.0.0.2:99999" }),
		"negative port":      odd(func(r *registrar.Record) { r.Member.Address = "10.0.0.2:-1" }),
		"port 0":             odd(func(r *registrar.Record) { r.Member.Address = "10.0.0.2:0" }),
		"no port":            odd(func(r *registrar.Record) { r.Member.Address = "10.0.0.2" }),
		"no address":         odd(func(r *registrar.Record) { r.Member.Address = "" }),
		"name for address":   odd(func(r *registrar.Record) { r.Member.Address = "node-b:8543" }),
		"unknown state":      odd(func(r *registrar.Record) { r.Member.State = 99 }),
		"negative state":     odd(func(r *registrar.Record) { r.Member.State = -1 }),
		"far in the future":  odd(func(r *registrar.Record) { r.Member.Incarnation = math.MaxUint64 }),
		"own, in the future": odd(func(r *registrar.Record) { *r = record(nodeA, math.MaxUint64) }),
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet()
			f.store.records[r.Member.Address] = r
			f.store.records[nodeC] = with("i-c", false)(record(nodeC, 1))
			n := f.start(t, with("i-a", false)(record(nodeA, chivegauge.FirstIncarnation(time.Now().UnixMilli()))))
			eventually(t, "the list is read", n.Synced)
			is.Equal(n.Len(), 2)
			is.Equal(len(n.Alive()), 2)
			is.Equal(len(n.Service("booking")), 2)
			n.Merge(r)
			is.Equal(n.Len(), 2)
			is.True(n.Self().Incarnation > 1)
		})
	}
}
