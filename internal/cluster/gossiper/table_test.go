package gossiper_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/gossiper"
	"github.com/chivegauge/chivegauge/internal/proof/seeder"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m))
}

const timeout = 3 * time.Second

func member(n int) chivegauge.Member {
	return chivegauge.Member{
		Address:     fmt.Sprintf("node%d", n),
		Service:     "booking",
		Incarnation: chivegauge.FirstIncarnation(1),
	}
}

// TestTablesConverge lets nodes exchange updates at random while some of them are suspected wrongly; after further
// exchanges without new suspicions, all tables must hold all members as alive.
func TestTablesConverge(t *testing.T) {
	const nodes = 6
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		tables := make([]gossiper.Table, nodes)
		for n := range tables {
			tables[n] = gossiper.NewTable(now, member(n), timeout)
			for other := range nodes {
				tables[n].Apply(now, member(other))
			}
		}
		exchange := func(a, b int) {
			for _, m := range append(tables[a].PendingUpdates(), tables[a].Self()) {
				tables[b].Apply(now, m)
			}
			for _, m := range append(tables[b].PendingUpdates(), tables[b].Self()) {
				tables[a].Apply(now, m)
			}
		}
		node := rapid.IntRange(0, nodes-1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			a := node.Draw(t, "a")
			b := node.Draw(t, "b")
			if a != b && rapid.IntRange(0, 2).Draw(t, "fault") == 0 {
				tables[a].Suspect(now, member(b).Address)
			}
			tables[a].Expire(now)
			if a != b {
				exchange(a, b)
			}
		}
		for range 20 {
			for a := range nodes {
				exchange(a, (a+1)%nodes)
			}
		}
		for n, table := range tables {
			for _, m := range table.Members() {
				if m.State != chivegauge.Alive {
					t.Fatalf("table of node %d has member %s in state %s", n, m.Address, m.State)
				}
			}
		}
	})
}

// TestOverrides checks which update overrides the known state of a member.
func TestOverrides(t *testing.T) {
	alive := member(1)
	cases := map[string]struct {
		known   chivegauge.Member
		update  chivegauge.Member
		applied bool
	}{
		"the same":                        {alive, alive, false},
		"suspected":                       {alive, alive.WithState(chivegauge.Suspect), true},
		"alive again, same incarnation":   {alive.WithState(chivegauge.Dead), alive, false},
		"alive again, higher incarnation": {alive.WithState(chivegauge.Dead), alive.WithIncarnation(alive.Incarnation + 1), true},
		"dead, earlier incarnation":       {alive.WithIncarnation(alive.Incarnation + 1), alive.WithState(chivegauge.Dead), false},
		"left":                            {alive.WithState(chivegauge.Draining), alive.WithState(chivegauge.Left), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.update.Overrides(c.known), c.applied)
		})
	}
}
