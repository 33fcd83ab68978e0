package assembler_test

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/app/assembler"
	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
	"github.com/chivegauge/chivegauge/internal/cluster/syncer"
	"github.com/chivegauge/chivegauge/internal/measure/launcher"
	"github.com/chivegauge/chivegauge/internal/request/router"
	"github.com/chivegauge/chivegauge/internal/stream/executor"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

const (
	testTimeout = 20 * time.Second

	// servingTime is the time after the signal to stop during which every node still serves.
	servingTime = time.Second
)

// store is a store in memory with one configuration and the records of nodes.
type store struct {
	mu      sync.Mutex
	records map[string]registrar.Record
	down    bool // records can't be read or written
}

func newStore() *store {
	return &store{
		records: map[string]registrar.Record{},
	}
}

func (s *store) setDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = on
}

func (s *store) Read(context.Context) (syncer.ReadResult, error) {
	return syncer.ReadResult{
		Revision: 1,
		Document: &router.Document{
			Version: 1,
			Config: chivegauge.Configuration{
				Routes: []chivegauge.Route{{
					Name:       "read",
					Host:       "a.example",
					Prefix:     "/read/",
					Service:    "booking",
					Idempotent: true,
					Open:       true,
					DeadlineMs: 5000,
					Attempts:   2,
				}, {
					Name:       "fragile",
					Host:       "a.example",
					Prefix:     "/fragile/",
					Service:    "fragile",
					Open:       true,
					DeadlineMs: 5000,
					Attempts:   1,
				}},
				Workspaces: []chivegauge.Workspace{{
					Name: "golf",
				}},
			},
			Keys: map[string][]string{
				"golf": {"key-golf"},
			},
		},
	}, nil
}

func (s *store) Await(ctx context.Context, revision uint64, wait time.Duration) (syncer.ReadResult, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return syncer.ReadResult{
		Revision: revision,
	}, ctx.Err()
}

func (s *store) List(context.Context, bool) (registrar.View, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return registrar.View{}, errors.New("the store is down")
	}
	return registrar.View{
		Records: slices.Collect(maps.Values(s.records)),
	}, nil
}

func (s *store) Get(ctx context.Context, address string) (registrar.View, error) {
	view, err := s.List(ctx, false)
	view.Records = slices.DeleteFunc(view.Records, func(r registrar.Record) bool { return r.Member.Address != address })
	return view, err
}

func (s *store) Put(_ context.Context, r registrar.Record) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, errors.New("the store is down")
	}
	s.records[r.Member.Address] = r
	return 0, nil
}

func (s *store) Delete(_ context.Context, address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, address)
	return nil
}

func (s *store) record(address string) (registrar.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.records[address]
	return rec, ok
}

func (s *store) state(address string) chivegauge.MemberState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[address].Member.State
}

// headerNames returns header names of which the one of attempts is passed on to other nodes and to backend servers.
func headerNames() chivegauge.HeaderNames {
	names := chivegauge.OwnHeaderNames()
	names.Attempt = "Attempt-Id"
	names.Receipt = "Receipt"
	return names
}

// freeAddress returns an address on which nothing listens, with a port that no outgoing connection takes meanwhile.
func freeAddress(t testing.TB) string {
	address, err := launcher.FreeAddress()
	is.New(t).NoErr(err)
	return address
}

// testNode is a node with a local backend server.
type testNode struct {
	assembler.Node
	settings assembler.Settings
	callers  string
	address  string
	stop     context.CancelFunc
	ended    chan struct{} // closed when the node has stopped
}

// newTestNode starts a node beside a backend server of the service "booking".
func newTestNode(t testing.TB, s *store, group *errgroup.Group) *testNode {
	names := headerNames()
	backend, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := &http.Server{
		ReadHeaderTimeout: testTimeout,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(names.Attempt, r.Header.Get(names.Attempt))
			_, _ = io.WriteString(w, "whole")
		}),
	}
	group.Go(func() error {
		_ = server.Serve(backend)
		return nil
	})
	t.Cleanup(func() { _ = server.Close() })
	return newTestNodeBeside(t, s, group, backend.Addr().String())
}

// newTestNodeBeside starts a node beside a backend server of the service "booking" at the address.
func newTestNodeBeside(t testing.TB, s *store, group *errgroup.Group, backendAddress string) *testNode {
	return newTestNodeOf(t, s, group, "booking", backendAddress)
}

// newTestNodeOf starts a node beside a backend server of the service at the address.
func newTestNodeOf(t testing.TB, s *store, group *errgroup.Group, service, backendAddress string) *testNode {
	settings := assembler.Settings{
		Name: "node",
		Member: chivegauge.Member{
			Address: freeAddress(t),
			Service: service,
		},
		CallerAddress:  freeAddress(t),
		BackendAddress: backendAddress,
		Names:          headerNames(),
		MemoryBytes:    1 << 30,
		RetryWindow:    time.Second,
		Log:            io.Discard,
		Bounds: assembler.Bounds{
			ChangeTime:  2 * time.Second,
			KeyLifetime: 5 * time.Second,
			StopTime:    6 * time.Second,
		},
	}
	n := startTestNode(t, s, group, settings)
	await(t, n.Ready)
	n.ApplyReport(context.Background(), n.report(1))
	return n
}

// startTestNode starts a node whose backend server has not reported yet.
func startTestNode(t testing.TB, s *store, group *errgroup.Group, settings assembler.Settings) *testNode {
	node, err := assembler.New(settings, assembler.Stores{
		Configuration: s,
		Records:       s,
	})
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	group.Go(func() error {
		defer close(ended)
		return node.Run(ctx)
	})
	return &testNode{
		Node:     node,
		settings: settings,
		callers:  settings.CallerAddress,
		address:  settings.Member.Address,
		stop:     cancel,
		ended:    ended,
	}
}

// report returns a report of the process that the backend server beside the node has from its start.
func (n *testNode) report(sequence uint64) executor.Report {
	return executor.Report{
		Instance:    "i-" + n.callers,
		StartedAtMs: 1,
		Sequence:    sequence,
		Service:     n.settings.Member.Service,
		Slots:       8,
	}
}

func await(t testing.TB, done func() bool) {
	t.Helper()
	for began := time.Now(); !done(); time.Sleep(time.Millisecond) {
		if time.Since(began) > testTimeout {
			t.Fatal("the condition was not met in time")
		}
	}
}

// send returns the status of the response to a request sent to the node, or 0 if there was none.
func (n *testNode) send(t *testing.T, id string) int {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+n.callers+"/read/x", http.NoBody)
	is.New(t).NoErr(err)
	req.Host = "a.example"
	req.Header.Set(headerNames().Attempt, id)
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode
}

// TestStop checks that a stopping node reports at once that it is not ready, but serves until the other nodes have been
// notified.
func TestStop(t *testing.T) {
	is := is.New(t)
	s := &store{
		records: map[string]registrar.Record{},
	}
	group := &errgroup.Group{}
	n := newTestNode(t, s, group)
	await(t, func() bool { return n.send(t, "1") == http.StatusOK })
	stoppedAt := time.Now()
	n.stop()
	await(t, func() bool { return !n.Ready() })
	status := n.send(t, "2")
	state := s.state(n.address)
	if time.Since(stoppedAt) < servingTime { // on a slower machine, the node may have stopped serving
		is.Equal(status, http.StatusOK)
		is.Equal(state, chivegauge.Alive)
	}
	await(t, func() bool { return s.state(n.address) == chivegauge.Draining })
	await(t, func() bool { return n.send(t, "3") == 0 })
}
