package replayer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"github.com/chivegauge/chivegauge/internal/proof/recorder"
	"github.com/go-faster/errors"
)

const lineMax = 4 << 20

// Result is what a replay showed.
type Result struct {
	Events int
	Faults []string
}

// part replays the events of one part and returns a fault, "" for none.
type part interface {
	replay(e recorder.Event) (fault string, err error)
}

// Replay runs the trace in r and returns its faults, or an error if it is not a trace.
func Replay(r io.Reader) (Result, error) {
	parts := map[string]part{
		recorder.PartAttempts: newAttempts(),
		recorder.PartRates:    newRates(),
	}
	result := Result{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, lineMax)
	for lines.Scan() {
		result.Events++
		e := recorder.Event{}
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return result, errors.Wrapf(err, "line %d", result.Events)
		}
		p := parts[e.Part]
		if p == nil {
			return result, errors.Errorf("line %d: part %q is unknown", result.Events, e.Part)
		}
		fault, err := p.replay(e)
		if err != nil {
			return result, errors.Wrapf(err, "line %d", result.Events)
		}
		if fault != "" {
			result.Faults = append(result.Faults, fmt.Sprintf("line %d: %s", result.Events, fault))
		}
	}
	if err := lines.Err(); err != nil {
		return result, errors.Wrap(err, "read trace")
	}
	return result, nil
}
