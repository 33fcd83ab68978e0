package tracker_test

import (
	"os"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/proof/seeder"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m))
}

// TestAttempt checks that attempt IDs are parsed and formatted as sender#sequence, and that invalid ones are rejected.
func TestAttempt(t *testing.T) {
	cases := map[string]struct {
		in string
		ok bool
	}{
		"whole":       {"127.0.0.1:7701@5f#1a", true},
		"no sequence": {"127.0.0.1:7701@5f", false},
		"no sender":   {"#1a", false},
		"bad number":  {"a@1#zz", false},
		"empty":       {"", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, err := tracker.ParseAttempt(c.in)
			is.Equal(err == nil, c.ok)
			if c.ok {
				is.Equal(a.String(), c.in)
			}
		})
	}
}

// TestNotRunAttemptNeverRuns performs random operations on a small tracker, and checks that an attempt runs at most
// once, and never after it was reported to its sender as not run.
func TestNotRunAttemptNeverRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		tr := tracker.New(10*time.Second, 5, 100)
		ran := map[tracker.Attempt]int{}
		forbidden := map[tracker.Attempt]bool{}
		attempt := func(t *rapid.T) tracker.Attempt {
			return tracker.Attempt{
				Sender:   rapid.SampledFrom([]string{"a@1", "b@1"}).Draw(t, "sender"),
				Sequence: rapid.Uint64Range(1, 12).Draw(t, "sequence"),
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				a := attempt(t)
				if tr.Begin(now, a) != tracker.Unseen {
					return
				}
				ran[a]++
				if ran[a] > 1 {
					t.Fatalf("attempt %s ran twice", a)
				}
				if forbidden[a] {
					t.Fatalf("attempt %s ran after its sender was told that it did not", a)
				}
			},
			"ask": func(t *rapid.T) {
				a := attempt(t)
				state, _ := tr.Query(now, a)
				if state != tracker.Forbidden {
					return
				}
				forbidden[a] = true
				if ran[a] > 0 {
					t.Fatalf("the sender of attempt %s was told that it did not run, but it ran", a)
				}
			},
			"finish": func(t *rapid.T) {
				a := attempt(t)
				if ran[a] == 1 {
					tr.Finish(now, a, chivegauge.Response{
						Body: make([]byte, 30),
					})
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second)
				tr.Sweep(now)
			},
		})
	})
}
