package crashtracker

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge"
)

// CrashReport is a report that nodes send to each other.
type CrashReport struct {
	// From is the address to which the receiver sends its counts where they are higher, or empty.
	From string `json:",omitempty"`

	// SentAtMs is the sender's time of day, in milliseconds since 1970; 0 in a stored report.
	SentAtMs int64 `json:",omitempty"`

	Requests Requests
}

// Requests are requests by fingerprint.
type Requests map[uint64]Request

// age returns how long before the report the last crash was; that of a stored report is relative to now.
func (r CrashReport) age(now time.Time, q Request) time.Duration {
	sentAtMs := r.SentAtMs
	if sentAtMs == 0 {
		sentAtMs = now.UnixMilli()
	}
	return time.Duration(max(0, sentAtMs-q.LastCrashMs)) * time.Millisecond
}

// Request is what a node knows of one request.
type Request struct {
	Counters

	// LastCrashMs is the time of day of the last crash at the sender, in milliseconds since 1970.
	LastCrashMs int64
}

// Equal reports whether both say the same of the request.
func (q Request) Equal(other Request) bool {
	return q.Counters.Equal(other.Counters) && q.LastCrashMs == other.LastCrashMs
}

// Merge merges a report from another node, and sends back the counters that the sender lacks, such as after its
// restart.
func (t *crashTracker) Merge(now time.Time, r CrashReport) {
	if missing := t.merge(now, r); len(missing) > 0 && r.From != "" {
		t.group.Go(func() {
			t.send(context.Background(), chivegauge.Member{
				Address: r.From,
			}, CrashReport{
				SentAtMs: now.UnixMilli(),
				Requests: missing,
			})
		})
	}
}

// merge applies the report, and returns the counters that differ from it afterwards.
func (t *crashTracker) merge(now time.Time, r CrashReport) Requests {
	t.mu.Lock()
	defer t.mu.Unlock()
	missing := Requests{}
	for f, reported := range r.Requests {
		age := r.age(now, reported)
		if age > retention {
			continue
		}
		known := t.records[f].counters
		merged := known.WithMerged(reported.Counters)
		if !merged.Equal(known) {
			t.setCounters(now, f, merged, now.Add(-age))
		}
		if !merged.Equal(reported.Counters) {
			missing[f] = t.records[f].request()
		}
	}
	return missing
}
