package replayer

import (
	"encoding/json"
	"fmt"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/proof/recorder"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
	"github.com/go-faster/errors"
)

// attempts replays the calls of a tracker. It checks that each recorded state is reproduced, and that an attempt runs
// at most once and never after it was reported to its sender as not run.
type attempts struct {
	table     tracker.Tracker
	ran       map[tracker.Attempt]bool
	forbidden map[tracker.Attempt]bool
}

func newAttempts() *attempts {
	return &attempts{
		ran:       map[tracker.Attempt]bool{},
		forbidden: map[tracker.Attempt]bool{},
	}
}

func (a *attempts) replay(e recorder.Event) (string, error) {
	if e.Call == recorder.CallSettings {
		s := recorder.AttemptSettings{}
		if err := json.Unmarshal(e.Input, &s); err != nil {
			return "", errors.Wrap(err, "decode settings")
		}
		a.table = tracker.New(s.Retain, s.Capacity, s.MaxBytes)
		return "", nil
	}
	if a.table == nil {
		return "", errors.New("the trace does not begin with settings")
	}
	switch e.Call {
	case recorder.CallBegin:
		return a.begin(e)
	case recorder.CallQuery:
		return a.query(e)
	case recorder.CallFinish:
		f := recorder.Finish{}
		if err := json.Unmarshal(e.Input, &f); err != nil {
			return "", errors.Wrap(err, "decode finish")
		}
		a.table.Finish(e.At, f.Attempt, chivegauge.Response{
			Body: make([]byte, f.Bytes),
		})
		return "", nil
	case recorder.CallSweep:
		a.table.Sweep(e.At)
		return "", nil
	default:
		return "", errors.Errorf("unknown call %q", e.Call)
	}
}

func decodeAttempt(e recorder.Event) (tracker.Attempt, tracker.State, error) {
	at := tracker.Attempt{}
	state := tracker.Unseen
	if err := json.Unmarshal(e.Input, &at); err != nil {
		return at, state, errors.Wrap(err, "decode attempt")
	}
	if err := json.Unmarshal(e.Output, &state); err != nil {
		return at, state, errors.Wrap(err, "decode state")
	}
	return at, state, nil
}

func (a *attempts) begin(e recorder.Event) (string, error) {
	at, recorded, err := decodeAttempt(e)
	if err != nil {
		return "", err
	}
	if state := a.table.Begin(e.At, at); state != recorded {
		return fmt.Sprintf("begin of attempt %s: replayed state %d, recorded %d", at, state, recorded), nil
	}
	if recorded != tracker.Unseen {
		return "", nil
	}
	if a.ran[at] || a.forbidden[at] {
		return fmt.Sprintf("attempt %s ran twice, or after it was reported to its sender as not run", at), nil
	}
	a.ran[at] = true
	return "", nil
}

func (a *attempts) query(e recorder.Event) (string, error) {
	at, recorded, err := decodeAttempt(e)
	if err != nil {
		return "", err
	}
	if state, _ := a.table.Query(e.At, at); state != recorded {
		return fmt.Sprintf("query of attempt %s: replayed state %d, recorded %d", at, state, recorded), nil
	}
	if recorded != tracker.Forbidden {
		return "", nil
	}
	a.forbidden[at] = true
	if a.ran[at] {
		return fmt.Sprintf("attempt %s was reported to its sender as not run, but it ran", at), nil
	}
	return "", nil
}
