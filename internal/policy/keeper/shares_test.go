package keeper_test

import (
	"os"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/holder"
	"github.com/chivegauge/chivegauge/internal/policy/keeper"
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
	slackOf   = 1e-6
)

// message is a draw on its way, or its answer on the way back.
type message struct {
	from   int
	draw   keeper.Draw
	sent   time.Time
	answer bool
	grant  keeper.Grant
}

// model is a fleet of holders and keepers that exchange messages over a network that loses, doubles and delays them.
type model struct {
	now     time.Time
	holders []holder.Holder
	keepers []keeper.Keeper
	owner   map[int]int
	net     []message
	lease   uint64
	level   float64
	last    time.Time
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
	m.last = m.now
	for range nodes {
		h := holder.New(func(int) bool { return false })
		h.Configure(workspaces())
		k := keeper.New()
		k.Configure(m.now, workspaces())
		m.holders = append(m.holders, h)
		m.keepers = append(m.keepers, k)
	}
	for n, slot := range chivegauge.SlotsOf(workspaces()[0]) {
		m.owner[slot] = n % nodes
		m.keepers[n%nodes].Open(m.now, slot, true)
	}
	return m
}

func (m *model) random() uint64 {
	m.lease++
	return m.lease
}

// admit charges one admitted request to the ideal bucket of the whole fleet.
func (m *model) admit(t *rapid.T) {
	m.level = min(burst, m.level+perSecond*m.now.Sub(m.last).Seconds())
	m.last = m.now
	m.level--
	if m.level < -slackOf {
		t.Fatalf("the fleet admitted %.3f more than rate times time plus burst", -m.level)
	}
}

func (m *model) send(from int, draws []keeper.Draw) {
	for _, d := range draws {
		m.net = append(m.net, message{
			from: from,
			draw: d,
			sent: m.now,
		})
	}
}

// deliver hands one message over; it stays on its way if it is doubled.
func (m *model) deliver(n int, doubled bool) {
	msg := m.net[n]
	if !doubled {
		m.net = append(m.net[:n:n], m.net[n+1:]...)
	}
	if !msg.answer {
		msg.grant = m.keepers[m.owner[msg.draw.Slot]].Draw(m.now, msg.draw, m.random)
		msg.answer = true
		m.net = append(m.net, msg)
		return
	}
	m.holders[msg.from].Granted(m.now, msg.sent, msg.draw, msg.grant)
}

// settle delivers each message that is on its way.
func (m *model) settle() {
	for len(m.net) > 0 {
		m.deliver(0, false)
	}
}

// spend admits as many requests as the holders have tokens for.
func (m *model) spend(t *rapid.T) {
	for _, h := range m.holders {
		for h.Take(m.now, workspace) {
			m.admit(t)
		}
	}
}

// drop loses a message; a lost answer or question is a failed draw for its sender.
func (m *model) drop(n int) {
	msg := m.net[n]
	m.net = append(m.net[:n:n], m.net[n+1:]...)
	m.holders[msg.from].Failed(m.now, msg.draw)
	kept := m.net[:0]
	for _, other := range m.net {
		sameCall := other.from == msg.from && other.draw.Slot == msg.draw.Slot && other.sent.Equal(msg.sent)
		if !sameCall || !other.answer {
			kept = append(kept, other)
		}
	}
	m.net = kept
}

// TestRateIsNeverExceeded drives holders and keepers with losses, duplicates,
// reordering, pauses, restarts and handovers.
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
					m.holders[n].Arrive(m.now, workspace)
					if m.holders[n].Take(m.now, workspace) {
						m.admit(t)
					}
				}
				m.send(n, m.holders[n].Draws(m.now, workspace, true))
			},
			"stock up": func(t *rapid.T) {
				n := anyNode.Draw(t, "node")
				for range 8 {
					m.holders[n].Arrive(m.now, workspace)
				}
				m.send(n, m.holders[n].Draws(m.now, workspace, true))
				m.settle()
			},
			"spend all": func(t *rapid.T) {
				m.spend(t)
			},
			"spend, ask and spend": func(t *rapid.T) {
				m.spend(t)
				for n := range nodes {
					m.holders[n].Arrive(m.now, workspace)
					m.send(n, m.holders[n].Draws(m.now, workspace, true))
				}
				m.settle()
				m.spend(t)
			},
			"idle": func(t *rapid.T) {
				n := anyNode.Draw(t, "node")
				m.send(n, m.holders[n].Idle(m.now))
			},
			"deliver": func(t *rapid.T) {
				if len(m.net) == 0 {
					return
				}
				n := rapid.IntRange(0, len(m.net)-1).Draw(t, "message")
				m.deliver(n, !m.net[n].answer && rapid.IntRange(0, 4).Draw(t, "doubled") == 0)
			},
			"drop": func(t *rapid.T) {
				if len(m.net) == 0 {
					return
				}
				m.drop(rapid.IntRange(0, len(m.net)-1).Draw(t, "message"))
			},
			"restart a node": func(t *rapid.T) {
				n := anyNode.Draw(t, "node")
				m.holders[n] = holder.New(func(int) bool { return false })
				m.holders[n].Configure(workspaces())
				m.keepers[n] = keeper.New()
				m.keepers[n].Configure(m.now, workspaces())
				kept := m.net[:0]
				for _, msg := range m.net {
					if msg.from != n || !msg.answer {
						kept = append(kept, msg)
					}
				}
				m.net = kept
				for slot, owner := range m.owner {
					if owner == n {
						m.keepers[n].Open(m.now, slot, false)
					}
				}
			},
			"hand a slot over": func(t *rapid.T) {
				slot := anySlot.Draw(t, "slot")
				to := anyNode.Draw(t, "to")
				m.keepers[m.owner[slot]].Close(slot)
				m.owner[slot] = to
				m.keepers[to].Open(m.now, slot, false)
			},
			"hand a slot over with its state": func(t *rapid.T) {
				slot := anySlot.Draw(t, "slot")
				to := anyNode.Draw(t, "to")
				states, open := m.keepers[m.owner[slot]].Export(m.now, slot)
				m.owner[slot] = to
				m.keepers[to].Open(m.now, slot, false)
				m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{0, 10, 1000, 2000}).Draw(t, "ms")) * time.Millisecond)
				if open {
					m.keepers[to].Import(m.now, slot, states)
				}
			},
			"sweep": func(t *rapid.T) {
				m.keepers[anyNode.Draw(t, "node")].Sweep(m.now)
			},
		})
	})
}
