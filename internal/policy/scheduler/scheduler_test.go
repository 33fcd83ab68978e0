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

// TestOrder compares a small queue with a map of the waiting items: no item is lost, no item leaves the queue twice or
// runs after it expired, the most important items run first, within a workspace those with the earliest deadline run
// first, and the least important items are refused first.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 6
		now := time.Unix(1000, 0)
		queue := scheduler.New(capacity)
		waiting := map[uint64]scheduler.Item{}
		id := uint64(0)
		removed := func(it scheduler.Item) {
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
						t.Fatalf("item of importance %s was refused while one of importance %s waits", victim.Importance, other.Importance)
					}
				}
				removed(victim)
				for _, other := range waiting {
					if sameQueue(victim, other) && other.Deadline.After(victim.Deadline) {
						t.Fatalf("item %d was refused while %d, which has a later deadline, waits", victim.ID, other.ID)
					}
				}
			},
			"pop": func(t *rapid.T) {
				it, expired, ok := queue.Pop(now)
				for _, expiredItem := range expired {
					removed(expiredItem)
				}
				if !ok {
					return
				}
				removed(it)
				if !now.Before(it.Expires) {
					t.Fatalf("item %d ran after it expired", it.ID)
				}
				for _, other := range waiting {
					if other.Importance > it.Importance && now.Before(other.Expires) {
						t.Fatalf("item of importance %s ran before one of importance %s", it.Importance, other.Importance)
					}
					if sameQueue(it, other) && now.Before(other.Expires) && other.Deadline.Before(it.Deadline) {
						t.Fatalf("item %d ran before %d, which has an earlier deadline", it.ID, other.ID)
					}
				}
			},
			"remove": func(t *rapid.T) {
				for _, it := range waiting {
					if !queue.Remove(it) {
						t.Fatalf("item %d is not in the queue", it.ID)
					}
					removed(it)
					return
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
				for _, it := range queue.Expire(now) {
					removed(it)
				}
			},
		})
	})
}

// sameQueue reports whether the items belong to the same queue, in which only their deadlines order them.
func sameQueue(a, b scheduler.Item) bool {
	return a.Workspace == b.Workspace && a.Importance == b.Importance
}
