package scheduler

import (
	"slices"
	"sort"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
)

// Item is one waiting request.
type Item struct {
	ID         uint64
	Workspace  string
	Importance chivegauge.Importance
	Queued     time.Time
	Expires    time.Time

	// Deadline is when the caller stops waiting for the response; within a workspace, items run by earliest deadline.
	Deadline time.Time
}

// Scheduler is a bounded queue of waiting requests.
type Scheduler interface {
	// Push queues the item; if the queue was full, it returns the item that was evicted instead, which may be the pushed
	// one, and true.
	Push(it Item) (victim Item, full bool)
	// PushWithin is like Push for a queue of at most capacity items, if that is less than its own capacity.
	PushWithin(it Item, capacity int) (victim Item, full bool)
	// Pop removes and returns the next item to run at now, and the expired items that it removed before it.
	Pop(now time.Time) (next Item, expired []Item, ok bool)
	// Remove removes the item and reports whether it was queued.
	Remove(it Item) bool
	// Expire removes and returns the items that have expired at now.
	Expire(now time.Time) []Item
	// Len returns the number of waiting items.
	Len() int
}

// workspaceQueue is the queue of one workspace at one importance, by deadline, then oldest first.
type workspaceQueue struct {
	workspace string
	items     []Item
}

type scheduler struct {
	capacity int
	len      int
	// byImportance holds the non-empty queues at each importance, in round-robin order of their workspaces.
	byImportance [chivegauge.ImportanceCount][]*workspaceQueue
}

// New returns an empty Scheduler of at most capacity items.
func New(capacity int) Scheduler {
	return &scheduler{
		capacity: capacity,
	}
}

// Len returns the number of waiting items.
func (s *scheduler) Len() int {
	return s.len
}

// Push queues the item; if the queue was full, it evicts and returns an item.
func (s *scheduler) Push(it Item) (Item, bool) {
	return s.PushWithin(it, s.capacity)
}

// PushWithin queues the item; if more than capacity items are queued then, it evicts and returns an item.
func (s *scheduler) PushWithin(it Item, capacity int) (Item, bool) {
	s.insert(it)
	if s.len <= min(capacity, s.capacity) {
		return Item{}, false
	}
	return s.evict(it), true
}

func (s *scheduler) insert(it Item) {
	q := s.queue(it)
	if q == nil {
		q = &workspaceQueue{
			workspace: it.Workspace,
		}
		s.byImportance[it.Importance] = append(s.byImportance[it.Importance], q)
	}
	position := sort.Search(len(q.items), func(n int) bool { return q.items[n].Deadline.After(it.Deadline) })
	q.items = slices.Insert(q.items, position, it)
	s.len++
}

// queue returns the queue for the item, or nil.
func (s *scheduler) queue(it Item) *workspaceQueue {
	for _, q := range s.byImportance[it.Importance] {
		if q.workspace == it.Workspace {
			return q
		}
	}
	return nil
}

// evict removes and returns the item with the latest deadline in the longest queue at the lowest importance.
func (s *scheduler) evict(pushed Item) Item {
	for importance := range s.byImportance {
		longest := longestQueue(s.byImportance[importance])
		if longest == nil {
			continue
		}
		last := len(longest.items) - 1
		victim := longest.items[last]
		longest.items = longest.items[:last]
		s.len--
		s.removeEmpty(importance)
		asserter.Check(asserter.LeastImportantFirst, victim.Importance <= pushed.Importance)
		return victim
	}
	return pushed
}

func longestQueue(queues []*workspaceQueue) *workspaceQueue {
	var longest *workspaceQueue
	for _, q := range queues {
		if longest == nil || len(q.items) > len(longest.items) {
			longest = q
		}
	}
	return longest
}

// removeEmpty removes the empty queues at an importance.
func (s *scheduler) removeEmpty(importance int) {
	kept := s.byImportance[importance][:0]
	for _, q := range s.byImportance[importance] {
		if len(q.items) > 0 {
			kept = append(kept, q)
		}
	}
	clear(s.byImportance[importance][len(kept):])
	s.byImportance[importance] = kept
}

// Pop removes and returns the next item to run, and the expired items that it removed before it.
func (s *scheduler) Pop(now time.Time) (Item, []Item, bool) {
	var expired []Item
	for importance := chivegauge.ImportanceCount - 1; importance >= 0; importance-- {
		for len(s.byImportance[importance]) > 0 {
			it := s.popFirst(importance)
			if !now.Before(it.Expires) {
				expired = append(expired, it)
				continue
			}
			return it, expired, true
		}
	}
	return Item{}, expired, false
}

// popFirst removes and returns the first item of the first queue at an importance and moves the queue to the back.
func (s *scheduler) popFirst(importance int) Item {
	first := s.byImportance[importance][0]
	it := first.items[0]
	first.items = first.items[1:]
	s.len--
	rest := s.byImportance[importance][1:]
	if len(first.items) > 0 {
		rest = append(rest, first)
	}
	s.byImportance[importance] = rest
	return it
}

// Remove removes the item from its queue.
func (s *scheduler) Remove(it Item) bool {
	q := s.queue(it)
	if q == nil {
		return false
	}
	for n, candidate := range q.items {
		if candidate.ID == it.ID {
			q.items = append(q.items[:n:n], q.items[n+1:]...)
			s.len--
			s.removeEmpty(int(it.Importance))
			return true
		}
	}
	return false
}

// Expire removes and returns the expired items.
func (s *scheduler) Expire(now time.Time) []Item {
	var expired []Item
	for importance := range s.byImportance {
		for _, q := range s.byImportance[importance] {
			kept := make([]Item, 0, len(q.items))
			for _, it := range q.items {
				if now.Before(it.Expires) {
					kept = append(kept, it)
					continue
				}
				expired = append(expired, it)
			}
			q.items = kept
		}
		s.removeEmpty(importance)
	}
	s.len -= len(expired)
	return expired
}
