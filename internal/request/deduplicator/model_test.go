package deduplicator_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/proof/seeder"
	"github.com/chivegauge/chivegauge/internal/request/deduplicator"
	"github.com/go-faster/errors"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m))
}

const (
	nodeCount = 4
	keyCount  = 3
	service   = "booking"
	retention = 2 * time.Minute
)

// node is a node of the model, with its own view of the membership.
type node struct {
	model      *model
	address    string
	process    uint64
	up         bool
	dedup      deduplicator.Deduplicator
	view       map[string]chivegauge.Member
	knownSince map[string]time.Time
}

// model is a fleet whose nodes crash, restart, stop as planned and are partitioned from each other; outcome is the
// outcome of the next run, and ran holds the time of the last run of each key.
type model struct {
	t          *rapid.T
	now        time.Time
	nodes      []*node
	partitions map[string]bool
	ran        map[string]time.Time
	outcome    chivegauge.Run
}

func newModel(t *rapid.T) *model {
	m := &model{
		t:          t,
		now:        time.Unix(100000, 0),
		partitions: map[string]bool{},
		ran:        map[string]time.Time{},
	}
	for n := range nodeCount {
		m.nodes = append(m.nodes, &node{
			model:   m,
			address: fmt.Sprintf("node%d", n),
		})
	}
	for _, n := range m.nodes[:nodeCount-1] {
		n.start(false)
	}
	for _, a := range m.nodes {
		for _, b := range m.nodes {
			m.heartbeat(a, b)
		}
	}
	return m
}

func (m *model) clock() time.Time { return m.now }

func (n *node) start(crashed bool) {
	n.process++
	n.up = true
	n.view = map[string]chivegauge.Member{}
	n.knownSince = map[string]time.Time{}
	n.dedup = deduplicator.New(n.model.clock, func(context.Context, time.Duration) {}, n, n, n, n, func(string) bool { return false }, retention)
	if crashed {
		n.dedup.SetIncompleteUntil(n.model.now.Add(retention))
	}
	n.view[n.address] = n.Self()
	// The store has the announcements of all nodes that did not stop as planned.
	for _, other := range n.model.nodes {
		if other.process > 0 && other.address != n.address && other.announced() {
			n.view[other.address] = other.Self()
		}
	}
}

// announced reports whether the announcement of the node is in the store, which holds if it is up or crashed.
func (n *node) announced() bool {
	return n.up || n.dedup != nil
}

func (n *node) Self() chivegauge.Member {
	return chivegauge.Member{
		Address:     n.address,
		Service:     service,
		Incarnation: chivegauge.FirstIncarnation(int64(n.process)),
	}
}

func (n *node) Service(string) []chivegauge.Member {
	list := make([]chivegauge.Member, 0, len(n.view))
	for _, m := range n.view {
		list = append(list, m)
	}
	return list
}

func (n *node) KnownSince(m chivegauge.Member) (time.Time, bool) {
	at, ok := n.knownSince[fmt.Sprint(m.Address, m.Process())]
	return at, ok
}

// Dispatch simulates a run of the request on a backend server, and fails the test if the key ran within the retention.
func (n *node) Dispatch(_ context.Context, c chivegauge.Call) chivegauge.Response {
	m := n.model
	if m.outcome == chivegauge.NotRun {
		return chivegauge.RefusalResponse(c.AttemptID, chivegauge.Refuse(chivegauge.CodeBusy, "busy"), 0)
	}
	key := c.IdempotencyKey
	if at, ok := m.ran[key]; ok && m.now.Sub(at) < retention {
		m.t.Fatalf("key %s ran twice, the second time at %s", key, n.address)
	}
	m.ran[key] = m.now
	if m.outcome == chivegauge.MayHaveRun {
		return chivegauge.RefusalResponse(c.AttemptID, chivegauge.RefuseMayHaveRun(chivegauge.CodeOutcomeUnknown, "lost"), 0)
	}
	return chivegauge.Response{
		Status: 200,
		Body:   []byte(key),
	}
}

func (n *node) Send(ctx context.Context, to chivegauge.Member, c chivegauge.Call) (chivegauge.Response, picker.Load) {
	target := n.model.reachable(n, to)
	if target == nil {
		return chivegauge.RefusalResponse(c.AttemptID, chivegauge.Refuse(chivegauge.CodeUnreachable, "cut"), 0), picker.Load{}
	}
	return target.dedup.DispatchOwned(ctx, c), picker.Load{}
}

func (n *node) Recall(_ context.Context, to chivegauge.Member, key string) (bool, error) {
	target := n.model.reachable(n, to)
	if target == nil {
		return false, errors.New("cut")
	}
	return target.dedup.Yield(key)
}

// reachable returns the node at the address of the member if it is up and not partitioned from the sender, or nil.
func (m *model) reachable(from *node, to chivegauge.Member) *node {
	for _, n := range m.nodes {
		if n.address == to.Address && n.up && !m.partitioned(from, n) {
			return n
		}
	}
	return nil
}

// partitioned reports whether two nodes are partitioned from each other.
func (m *model) partitioned(a, b *node) bool {
	return m.partitions[a.address+b.address] || m.partitions[b.address+a.address]
}

// heartbeat exchanges a heartbeat between two nodes; if b is unreachable, a marks it as dead unless it has left.
func (m *model) heartbeat(a, b *node) {
	if a == b || !a.up {
		return
	}
	if !b.up || m.partitioned(a, b) {
		if known, ok := a.view[b.address]; ok && known.State != chivegauge.Left {
			a.view[b.address] = known.WithState(chivegauge.Dead)
		}
		return
	}
	a.add(b)
	b.add(a)
	a.merge(b)
	b.merge(a)
}

// add adds another node to the view, and records the time of its first heartbeat.
func (n *node) add(other *node) {
	n.view[other.address] = other.Self()
	id := fmt.Sprint(other.address, other.Self().Process())
	if _, ok := n.knownSince[id]; !ok {
		n.knownSince[id] = n.model.now
	}
}

// merge merges the member table of another node into the view; a departure is accepted only together with the whole
// table.
func (n *node) merge(other *node) {
	for address, m := range other.view {
		known, ok := n.view[address]
		if address != n.address && (!ok || m.Overrides(known)) {
			n.view[address] = m
		}
	}
}

// stop is a planned stop: the keys are handed over, then all reachable nodes are notified. If a handover fails, the
// node crashes.
func (m *model) stop(n *node) {
	for address, records := range n.dedup.Records() {
		target := m.reachable(n, chivegauge.Member{
			Address: address,
		})
		if target == nil {
			m.crash(n)
			return
		}
		target.dedup.AddRecords(records)
	}
	n.up = false
	n.dedup = nil
	for _, other := range m.nodes {
		if other.up && !m.partitioned(n, other) {
			other.merge(n)
			other.view[n.address] = n.Self().WithState(chivegauge.Left)
		}
	}
}

func (m *model) crash(n *node) {
	n.up = false
}

// send dispatches a call with the key at the node and checks the response.
func (m *model) send(n *node, key string) {
	response := n.dedup.Dispatch(context.Background(), chivegauge.Call{
		Service:        service,
		Workspace:      "golf",
		Route:          "deposits",
		IdempotencyKey: key,
		Deadline:       m.now.Add(time.Minute),
	})
	if response.Refusal != nil && response.Refusal.Run == chivegauge.NotRun && response.Refusal.Code != chivegauge.CodeBusy {
		m.t.Fatalf("key %s: unexpected refusal %v", key, response.Refusal)
	}
	if response.Refusal == nil && string(response.Body) != key {
		m.t.Fatalf("key %s: response body is %q", key, response.Body)
	}
}

// TestAtMostOneRunPerKey sends calls with a few keys repeatedly to random nodes while nodes crash, restart, stop and
// are partitioned, and checks that no key runs twice within the retention.
func TestAtMostOneRunPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		anyNode := rapid.IntRange(0, nodeCount-1)
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				m.t = t
				n := m.nodes[anyNode.Draw(t, "node")]
				if !n.up {
					return
				}
				m.outcome = rapid.SampledFrom([]chivegauge.Run{chivegauge.DidRun, chivegauge.DidRun, chivegauge.NotRun, chivegauge.MayHaveRun}).Draw(t, "outcome")
				m.send(n, fmt.Sprintf("key%d", rapid.IntRange(0, keyCount-1).Draw(t, "key")))
			},
			"time": func(t *rapid.T) {
				s := rapid.SampledFrom([]int{1, 10, 60, 119, 130}).Draw(t, "seconds")
				m.now = m.now.Add(time.Duration(s) * time.Second)
			},
			"heartbeat": func(t *rapid.T) {
				m.heartbeat(m.nodes[anyNode.Draw(t, "a")], m.nodes[anyNode.Draw(t, "b")])
			},
			"cut or mend": func(t *rapid.T) {
				a := m.nodes[anyNode.Draw(t, "a")].address
				b := m.nodes[anyNode.Draw(t, "b")].address
				m.partitions[a+b] = !m.partitions[a+b]
			},
			"crash": func(t *rapid.T) {
				if n := m.nodes[anyNode.Draw(t, "node")]; n.up {
					m.crash(n)
				}
			},
			"planned stop": func(t *rapid.T) {
				if n := m.nodes[anyNode.Draw(t, "node")]; n.up && n.dedup.HandoverDelay() == 0 {
					m.stop(n)
				}
			},
			"start": func(t *rapid.T) {
				if n := m.nodes[anyNode.Draw(t, "node")]; !n.up {
					n.start(n.dedup != nil)
				}
			},
		})
	})
}
