package scheduler_test

import (
	"os"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/scheduler"
	"github.com/chivegauge/chivegauge/internal/proof/seeder"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m))
}

// TestOrder drives a small queue beside a plain list: nothing is lost, nothing runs twice or late, the most important
// runs first, of one workspace that with least time left, the least important is refused first.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 6
		now := time.Unix(1000, 0)
		queue := scheduler.New(capacity)
		waiting := map[uint64]scheduler.Item{}
		id := uint64(0)
		gone := func(it scheduler.Item) {
			if _, ok := waiting[it.ID]; !ok {
				t.Fatalf("item %d left the queue twice", it.ID)
			}
			delete(waiting, it.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if queue.Len() != len(waiting) || queue.Len() > capacity {
					t.Fatalf("%d items queued, %d expected", queue.Len(), len(waiting))
				}
			},
			"push": func(t *rapid.T) {
				id++
				it := scheduler.Item{
					ID:         id,
					Workspace:  rapid.SampledFrom([]string{"golf", "estate"}).Draw(t, "workspace"),
					Importance: chivegauge.Importance(rapid.IntRange(0, 3).Draw(t, "importance")),
					Queued:     now,
					Expires:    now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second),
					Deadline:   now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "left")) * time.Second),
				}
				waiting[id] = it
				victim, full := queue.Push(it)
				if !full {
					return
				}
				for _, other := range waiting {
					if other.Importance < victim.Importance {
						t.Fatalf("importance %s was refused while %s waits", victim.Importance, other.Importance)
					}
				}
				gone(victim)
				for _, other := range waiting {
					if alike(victim, other) && other.Deadline.After(victim.Deadline) {
						t.Fatalf("item %d was refused while %d, which has more time left, waits", victim.ID, other.ID)
					}
				}
			},
			"pop": func(t *rapid.T) {
				it, expired, ok := queue.Pop(now)
				for _, e := range expired {
					gone(e)
				}
				if !ok {
					return
				}
				gone(it)
				if !now.Before(it.Expires) {
					t.Fatalf("item %d ran late", it.ID)
				}
				for _, other := range waiting {
					if other.Importance > it.Importance && now.Before(other.Expires) {
						t.Fatalf("importance %s ran before %s", it.Importance, other.Importance)
					}
					if alike(it, other) && now.Before(other.Expires) && other.Deadline.Before(it.Deadline) {
						t.Fatalf("item %d ran before %d, which has less time left", it.ID, other.ID)
					}
				}
			},
			"remove": func(t *rapid.T) {
				for _, it := range waiting {
					if !queue.Remove(it) {
						t.Fatalf("item %d is not in the queue", it.ID)
					}
					gone(it)
					return
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
				for _, it := range queue.Expire(now) {
					gone(it)
				}
			},
		})
	})
}

// alike reports whether only the time left orders the items.
func alike(a, b scheduler.Item) bool {
	return a.Workspace == b.Workspace && a.Importance == b.Importance
}
