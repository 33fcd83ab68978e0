package replayer

import (
	"encoding/json"
	"fmt"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/proof/recorder"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
	"github.com/go-faster/errors"
)

// attempts states: each decision comes out again, an attempt runs once, and never after its sender was told that it did not.
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
	case recorder.CallAsk:
		return a.ask(e)
	case recorder.CallFinish:
		f := recorder.Finish{}
		if err := json.Unmarshal(e.Input, &f); err != nil {
			return "", errors.Wrap(err, "decode finish")
		}
		a.table.Finish(e.At, f.Attempt, chivegauge.Answer{
			Body: make([]byte, f.Bytes),
		})
		return "", nil
	case recorder.CallSweep:
		a.table.Sweep(e.At)
		return "", nil
	default:
		return "", errors.Errorf("call %q is unknown", e.Call)
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
		return fmt.Sprintf("attempt %s began as %d, recorded %d", at, state, recorded), nil
	}
	if recorded != tracker.Unseen {
		return "", nil
	}
	if a.ran[at] || a.forbidden[at] {
		return fmt.Sprintf("attempt %s ran again, or after its sender was told that it did not run", at), nil
	}
	a.ran[at] = true
	return "", nil
}

func (a *attempts) ask(e recorder.Event) (string, error) {
	at, recorded, err := decodeAttempt(e)
	if err != nil {
		return "", err
	}
	if state, _ := a.table.Query(e.At, at); state != recorded {
		return fmt.Sprintf("attempt %s was asked for and is %d, recorded %d", at, state, recorded), nil
	}
	if recorded != tracker.Forbidden {
		return "", nil
	}
	a.forbidden[at] = true
	if a.ran[at] {
		return fmt.Sprintf("the sender of attempt %s was told that it did not run, but it ran", at), nil
	}
	return "", nil
}
