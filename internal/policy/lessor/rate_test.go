package lessor_test

import (
	"os"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/lessee"
	"github.com/chivegauge/chivegauge/internal/policy/lessor"
	"github.com/chivegauge/chivegauge/internal/proof/seeder"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m))
}

const (
	workspace = "golf"
	perSecond = 20.0
	burst     = 12.0
	spread    = 3
	nodes     = 3
	tolerance = 1e-6
)

// message is a request for tokens in transit, or its response in transit back to the sender.
type message struct {
	from       int
	request    lessor.LeaseRequest
	sent       time.Time
	isResponse bool
	grant      lessor.Grant
}

// model is a set of nodes, each of which both requests and grants leases, on a network that loses, duplicates and
// delays messages.
type model struct {
	now       time.Time
	lessees   []lessee.Lessee
	lessors   []lessor.Lessor
	owner     map[int]int
	inTransit []message
	lastLease uint64
	level     float64
	charged   time.Time
}

func workspaces() []chivegauge.Workspace {
	return []chivegauge.Workspace{{
		Name:          workspace,
		RatePerSecond: perSecond,
		Burst:         burst,
		Spread:        spread,
	}}
}

// firstSlot returns the first slot of the first workspace.
func firstSlot(list []chivegauge.Workspace) int {
	return chivegauge.SlotsOf(list[0])[0]
}

func newModel() *model {
	m := &model{
		now:   time.Unix(1000, 0),
		owner: map[int]int{},
		level: burst,
	}
	m.charged = m.now
	for range nodes {
		h := lessee.New(func(int) bool { return false })
		h.Configure(workspaces())
		k := lessor.New()
		k.Configure(m.now, workspaces())
		m.lessees = append(m.lessees, h)
		m.lessors = append(m.lessors, k)
	}
	for n, slot := range chivegauge.SlotsOf(workspaces()[0]) {
		m.owner[slot] = n % nodes
		m.lessors[n%nodes].Open(m.now, slot, true)
	}
	return m
}

func (m *model) random() uint64 {
	m.lastLease++
	return m.lastLease
}

// admit charges one admitted request to a reference bucket with the whole rate and burst of the workspace, and fails
// the test if the bucket is empty.
func (m *model) admit(t *rapid.T) {
	m.level = min(burst, m.level+perSecond*m.now.Sub(m.charged).Seconds())
	m.charged = m.now
	m.level--
	if m.level < -tolerance {
		t.Fatalf("the nodes together admitted %.3f requests more than rate times time plus burst", -m.level)
	}
}

func (m *model) send(from int, requests []lessor.LeaseRequest) {
	for _, req := range requests {
		m.inTransit = append(m.inTransit, message{
			from:    from,
			request: req,
			sent:    m.now,
		})
	}
}

// deliver delivers one message, which stays in transit if it is a duplicate.
func (m *model) deliver(n int, duplicate bool) {
	msg := m.inTransit[n]
	if !duplicate {
		m.inTransit = append(m.inTransit[:n:n], m.inTransit[n+1:]...)
	}
	if !msg.isResponse {
		msg.grant = m.lessors[m.owner[msg.request.Slot]].Grant(m.now, msg.request, m.random)
		msg.isResponse = true
		m.inTransit = append(m.inTransit, msg)
		return
	}
	m.lessees[msg.from].HandleGrant(m.now, msg.sent, msg.request, msg.grant)
}

// settle delivers messages until none is in transit.
func (m *model) settle() {
	for len(m.inTransit) > 0 {
		m.deliver(0, false)
	}
}

// spend admits as many requests as the nodes have leased tokens for.
func (m *model) spend(t *rapid.T) {
	for _, h := range m.lessees {
		for h.Acquire(m.now, workspace) {
			m.admit(t)
		}
	}
}

// lose drops a message, with the responses in transit to the same request; for its sender, the request failed.
func (m *model) lose(n int) {
	msg := m.inTransit[n]
	m.inTransit = append(m.inTransit[:n:n], m.inTransit[n+1:]...)
	m.lessees[msg.from].HandleFailure(m.now, msg.request)
	kept := m.inTransit[:0]
	for _, other := range m.inTransit {
		sameExchange := other.from == msg.from && other.request.Slot == msg.request.Slot && other.sent.Equal(msg.sent)
		if !sameExchange || !other.isResponse {
			kept = append(kept, other)
		}
	}
	m.inTransit = kept
}

// TestRateIsNeverExceeded checks that all nodes together never admit more than the rate and burst of the workspace,
// with messages lost, duplicated and reordered, pauses, restarts and slot handovers.
func TestRateIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		anyNode := rapid.IntRange(0, nodes-1)
		anySlot := rapid.SampledFrom(chivegauge.SlotsOf(workspaces()[0]))
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				ms := rapid.SampledFrom([]int{1, 5, 20, 100, 700, 2100, 4000}).Draw(t, "ms")
				m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
			},
			"requests": func(t *rapid.T) {
				n := anyNode.Draw(t, "node")
				for range rapid.IntRange(1, 8).Draw(t, "count") {
					m.lessees[n].CountArrival(m.now, workspace)
					if m.lessees[n].Acquire(m.now, workspace) {
						m.admit(t)
					}
				}
				m.send(n, m.lessees[n].LeaseRequests(m.now, workspace, true))
			},
			"stock up": func(t *rapid.T) {
				n := anyNode.Draw(t, "node")
				for range 8 {
					m.lessees[n].CountArrival(m.now, workspace)
				}
				m.send(n, m.lessees[n].LeaseRequests(m.now, workspace, true))
				m.settle()
			},
			"spend all": func(t *rapid.T) {
				m.spend(t)
			},
			"spend, ask and spend": func(t *rapid.T) {
				m.spend(t)
				for n := range nodes {
					m.lessees[n].CountArrival(m.now, workspace)
					m.send(n, m.lessees[n].LeaseRequests(m.now, workspace, true))
				}
				m.settle()
				m.spend(t)
			},
			"idle": func(t *rapid.T) {
				n := anyNode.Draw(t, "node")
				m.send(n, m.lessees[n].ReturnIdle(m.now))
			},
			"deliver": func(t *rapid.T) {
				if len(m.inTransit) == 0 {
					return
				}
				n := rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "message")
				m.deliver(n, !m.inTransit[n].isResponse && rapid.IntRange(0, 4).Draw(t, "doubled") == 0)
			},
			"drop": func(t *rapid.T) {
				if len(m.inTransit) == 0 {
					return
				}
				m.lose(rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "message"))
			},
			"restart a node": func(t *rapid.T) {
				n := anyNode.Draw(t, "node")
				m.lessees[n] = lessee.New(func(int) bool { return false })
				m.lessees[n].Configure(workspaces())
				m.lessors[n] = lessor.New()
				m.lessors[n].Configure(m.now, workspaces())
				kept := m.inTransit[:0]
				for _, msg := range m.inTransit {
					if msg.from != n || !msg.isResponse {
						kept = append(kept, msg)
					}
				}
				m.inTransit = kept
				for slot, owner := range m.owner {
					if owner == n {
						m.lessors[n].Open(m.now, slot, false)
					}
				}
			},
			"hand a slot over": func(t *rapid.T) {
				slot := anySlot.Draw(t, "slot")
				to := anyNode.Draw(t, "to")
				m.lessors[m.owner[slot]].Close(slot)
				m.owner[slot] = to
				m.lessors[to].Open(m.now, slot, false)
			},
			"hand a slot over with its state": func(t *rapid.T) {
				slot := anySlot.Draw(t, "slot")
				to := anyNode.Draw(t, "to")
				states, open := m.lessors[m.owner[slot]].Export(m.now, slot)
				m.owner[slot] = to
				m.lessors[to].Open(m.now, slot, false)
				m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{0, 10, 1000, 2000}).Draw(t, "ms")) * time.Millisecond)
				if open {
					m.lessors[to].Import(m.now, slot, states)
				}
			},
			"sweep": func(t *rapid.T) {
				m.lessors[anyNode.Draw(t, "node")].Sweep(m.now)
			},
		})
	})
}
