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

	// Deadline is when the caller no longer waits for an answer; items of a workspace with less time left run first.
	Deadline time.Time
}

// Scheduler is a bounded queue of waiting requests.
type Scheduler interface {
	// Push queues the item; when the queue is full it returns the item to refuse in its place.
	Push(it Item) (victim Item, full bool)
	// Pop returns the next item to run at now, and the items found expired on the way.
	Pop(now time.Time) (next Item, expired []Item, ok bool)
	// Remove takes the item out and reports whether it was waiting.
	Remove(it Item) bool
	// Expire takes out and returns each item that is expired at now.
	Expire(now time.Time) []Item
	// Len returns the number of waiting items.
	Len() int
}

// line is the waiting items of one workspace, by deadline, then oldest first.
type line struct {
	workspace string
	items     []Item
}

type scheduler struct {
	capacity int
	len      int
	ranks    [chivegauge.ImportanceCount][]*line
}

// New returns an empty scheduler that holds at most capacity items.
func New(capacity int) Scheduler {
	return &scheduler{
		capacity: capacity,
	}
}

// Len returns the number of waiting items.
func (s *scheduler) Len() int {
	return s.len
}

// Push queues the item, or names the item to refuse when the queue is full.
func (s *scheduler) Push(it Item) (Item, bool) {
	s.append(it)
	if s.len <= s.capacity {
		return Item{}, false
	}
	return s.evict(it), true
}

func (s *scheduler) append(it Item) {
	l := s.line(it)
	if l == nil {
		l = &line{
			workspace: it.Workspace,
		}
		s.ranks[it.Importance] = append(s.ranks[it.Importance], l)
	}
	at := sort.Search(len(l.items), func(n int) bool { return l.items[n].Deadline.After(it.Deadline) })
	l.items = slices.Insert(l.items, at, it)
	s.len++
}

func (s *scheduler) line(it Item) *line {
	for _, l := range s.ranks[it.Importance] {
		if l.workspace == it.Workspace {
			return l
		}
	}
	return nil
}

// evict removes the item with most time left of the longest line in the lowest importance.
func (s *scheduler) evict(pushed Item) Item {
	for rank := range s.ranks {
		longest := longestLine(s.ranks[rank])
		if longest == nil {
			continue
		}
		last := len(longest.items) - 1
		victim := longest.items[last]
		longest.items = longest.items[:last]
		s.len--
		s.drop(rank)
		asserter.Check(asserter.LeastImportantFirst, victim.Importance <= pushed.Importance)
		return victim
	}
	return pushed
}

func longestLine(lines []*line) *line {
	var longest *line
	for _, l := range lines {
		if longest == nil || len(l.items) > len(longest.items) {
			longest = l
		}
	}
	return longest
}

// drop removes the empty lines of a rank.
func (s *scheduler) drop(rank int) {
	kept := s.ranks[rank][:0]
	for _, l := range s.ranks[rank] {
		if len(l.items) > 0 {
			kept = append(kept, l)
		}
	}
	clear(s.ranks[rank][len(kept):])
	s.ranks[rank] = kept
}

// Pop returns the next item to run, and the items found expired on the way.
func (s *scheduler) Pop(now time.Time) (Item, []Item, bool) {
	var expired []Item
	for rank := chivegauge.ImportanceCount - 1; rank >= 0; rank-- {
		for len(s.ranks[rank]) > 0 {
			it := s.take(rank)
			if !now.Before(it.Expires) {
				expired = append(expired, it)
				continue
			}
			return it, expired, true
		}
	}
	return Item{}, expired, false
}

// take removes the first item of the first line and moves the line to the back.
func (s *scheduler) take(rank int) Item {
	first := s.ranks[rank][0]
	it := first.items[0]
	first.items = first.items[1:]
	s.len--
	rest := s.ranks[rank][1:]
	if len(first.items) > 0 {
		rest = append(rest, first)
	}
	s.ranks[rank] = rest
	return it
}

// Remove takes the item out of its line.
func (s *scheduler) Remove(it Item) bool {
	l := s.line(it)
	if l == nil {
		return false
	}
	for n, have := range l.items {
		if have.ID == it.ID {
			l.items = append(l.items[:n:n], l.items[n+1:]...)
			s.len--
			s.drop(int(it.Importance))
			return true
		}
	}
	return false
}

// Expire takes out each expired item.
func (s *scheduler) Expire(now time.Time) []Item {
	var expired []Item
	for rank := range s.ranks {
		for _, l := range s.ranks[rank] {
			kept := make([]Item, 0, len(l.items))
			for _, it := range l.items {
				if now.Before(it.Expires) {
					kept = append(kept, it)
					continue
				}
				expired = append(expired, it)
			}
			l.items = kept
		}
		s.drop(rank)
	}
	s.len -= len(expired)
	return expired
}
