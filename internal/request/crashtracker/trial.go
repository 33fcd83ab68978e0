package crashtracker

import (
	"strconv"
	"time"

	"github.com/chivegauge/chivegauge"
)

const (
	// trialDelay is the time from the last crash to the trial of a refused request; it doubles with each further crash,
	// trialDoublingsMax times.
	trialDelay        = 10 * time.Second
	trialDoublingsMax = 4
)

// Verdict is how a request is handled.
type Verdict int

// The verdicts.
const (
	// Unsuspected requests run like any other.
	Unsuspected Verdict = iota
	// Trial is the verdict for a refused request that is sent to one backend server, to find out whether it is harmless:
	// backend servers may have crashed together for another cause.
	Trial
	// Quarantined requests are refused.
	Quarantined
)

// trialDue reports whether the request, which is refused, may be tried at now.
func (r record) trialDue(now time.Time) bool {
	delay := trialDelay << min(trialDoublingsMax, r.counters.Sum()-crashesMax)
	return now.Sub(r.lastCrash) >= delay && now.Sub(r.lastTrial) >= delay
}

// Admit returns Trial if the trial of a refused request is due and this node is the one that admits it.
func (t *crashTracker) Admit(now time.Time, fingerprint uint64) Verdict {
	if !t.Quarantined(now, fingerprint) {
		return Unsuspected
	}
	if !t.admitsTrial(fingerprint) {
		return Quarantined
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[fingerprint]
	switch {
	case r.counters.Sum() < crashesMax:
		return Unsuspected
	case !r.trialDue(now):
		return Quarantined
	}
	r.lastTrial = now
	t.records[fingerprint] = r
	t.log.Info().Uint64("Fingerprint", fingerprint).Int("Deaths", r.counters.Sum()).Msg("refused request sent once, on trial")
	return Trial
}

// admitsTrial reports whether this node is the one that admits trials of the request.
func (t *crashTracker) admitsTrial(fingerprint uint64) bool {
	self := t.members.Self()
	none := func(chivegauge.Member) bool { return false }
	return chivegauge.Heaviest(self, t.members.Alive(), strconv.FormatUint(fingerprint, 10), none).Address == self.Address
}
