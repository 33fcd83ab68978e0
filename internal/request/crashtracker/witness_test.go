package crashtracker_test

import (
	"testing"
	"time"

	"github.com/chivegauge/chivegauge/internal/request/crashtracker"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// processes are the processes of the backend servers by the addresses of their nodes.
type processes map[string]crashtracker.BackendProcess

func (p processes) BackendProcess(address string) crashtracker.BackendProcess {
	return p[address]
}

// TestWitness checks which requests a node counts as crashing a backend server whose node broke off; two crashes were
// counted before.
func TestWitness(t *testing.T) {
	const address = "b"
	tests := map[string]struct {
		interrupted string // process of the backend server, empty if it is not known
		responded   time.Duration
		next        []string
		after       time.Duration
		refused     bool
	}{
		"another process":                  {interrupted: "i-1", next: []string{"i-2"}, refused: true},
		"another process, some time later": {interrupted: "i-1", next: []string{"i-2"}, after: 8 * time.Second, refused: true},
		"another process, much later":      {interrupted: "i-1", next: []string{"i-2"}, after: 11 * time.Second},
		"same process":                     {interrupted: "i-1", next: []string{"i-1"}},
		"same process, then another":       {interrupted: "i-1", next: []string{"i-1", "i-2"}, refused: true},
		"no process yet":                   {interrupted: "i-1", next: []string{""}},
		"no process yet, then another":     {interrupted: "i-1", next: []string{"", "i-2"}, refused: true},
		"process not known":                {next: []string{"i-2"}},
		"responded to a later request":     {interrupted: "i-1", responded: time.Millisecond, next: []string{"i-2"}},
		"responded to an earlier request":  {interrupted: "i-1", responded: -time.Millisecond, next: []string{"i-2"}, refused: true},
		"crash counted already":            {interrupted: "0", next: []string{"i-2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t)
			v := view{
				cluster: c,
				self:    address,
			}
			tracker := crashtracker.New(v, v, v, zerolog.Nop())
			tracker.RecordCrash(start, backendProcess("0"), []uint64{poison})
			tracker.RecordCrash(start, backendProcess("1"), []uint64{poison})
			w := crashtracker.NewWitness(tracker, processes{
				address: backendProcess(tt.interrupted),
			})
			w.RecordInterrupted(start, address, poison)
			if tt.responded != 0 {
				w.RecordResponse(start.Add(tt.responded), address)
			}
			for _, next := range tt.next {
				w.ApplyProcess(start.Add(tt.after), address, backendProcess(next), false)
				w.ApplyProcess(start.Add(tt.after), "another", backendProcess("i-3"), false)
			}
			is.Equal(tracker.Quarantined(start, poison), tt.refused)
		})
	}
}

// TestWitnessIsBounded checks that a node keeps a limited number of requests, and that those which no longer count make
// room for others.
func TestWitnessIsBounded(t *testing.T) {
	const kept = 4096
	tests := map[string]struct {
		after   time.Duration
		refused bool
	}{
		"full":                        {},
		"full of expired ones":        {after: 11 * time.Second, refused: true},
		"full of ones that expire":    {after: 9 * time.Second},
		"full of long expired ones":   {after: time.Hour, refused: true},
		"full, shortly before expiry": {after: 10*time.Second - 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := view{
				cluster: newCluster(t),
				self:    "a",
			}
			tracker := crashtracker.New(v, v, v, zerolog.Nop())
			now := start.Add(tt.after)
			tracker.RecordCrash(now, backendProcess("0"), []uint64{poison})
			tracker.RecordCrash(now, backendProcess("1"), []uint64{poison})
			w := crashtracker.NewWitness(tracker, processes{
				"b": backendProcess("i-1"),
			})
			for f := range uint64(kept) {
				w.RecordInterrupted(start, "b", 100+f)
			}
			w.RecordInterrupted(now, "b", poison)
			w.ApplyProcess(now, "b", backendProcess("i-2"), false)
			is.Equal(tracker.Quarantined(now, poison), tt.refused)
		})
	}
}

// TestWitnessOfAbandonedRequests guards against a request that crashes backend servers together with their nodes, and is
// never counted because its caller disconnects before each crash; two crashes were counted before.
func TestWitnessOfAbandonedRequests(t *testing.T) {
	const address = "b"
	tests := map[string]struct {
		responded time.Duration // to a request sent that long after the caller left
		leaving   bool
		after     time.Duration // until another process reports
		refused   bool
	}{
		"another process":                    {after: 2 * time.Second, refused: true},
		"responded to another request":       {responded: time.Second, after: 2 * time.Second, refused: true},
		"responded after the deadline":       {responded: 4 * time.Second, after: 5 * time.Second},
		"shortly after the deadline":         {after: 12 * time.Second, refused: true},
		"long after the deadline":            {after: 14 * time.Second},
		"a process that announced its end":   {leaving: true, after: 2 * time.Second},
		"announced its end, answered before": {responded: time.Second, leaving: true, after: 2 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := view{
				cluster: newCluster(t),
				self:    "a",
			}
			tracker := crashtracker.New(v, v, v, zerolog.Nop())
			tracker.RecordCrash(start, backendProcess("0"), []uint64{poison})
			tracker.RecordCrash(start, backendProcess("1"), []uint64{poison})
			w := crashtracker.NewWitness(tracker, processes{
				address: backendProcess("i-1"),
			})
			w.RecordAbandoned(start, start.Add(3*time.Second), address, poison)
			if tt.responded > 0 {
				w.RecordResponse(start.Add(tt.responded), address)
			}
			if tt.leaving {
				w.ApplyProcess(start, address, backendProcess("i-1"), true)
			}
			w.ApplyProcess(start.Add(tt.after), address, backendProcess("i-2"), false)
			is.Equal(tracker.Quarantined(start.Add(tt.after), poison), tt.refused)
		})
	}
}
