package replayer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"github.com/chivegauge/chivegauge/internal/proof/recorder"
	"github.com/go-faster/errors"
)

const lineMaxBytes = 4 << 20

// Result is the result of a replay: the number of events, and the decisions that differ or break a guarantee.
type Result struct {
	Events int
	Faults []string
}

// component replays the events of one component of a node and returns a fault, "" for none.
type component interface {
	replay(e recorder.Event) (fault string, err error)
}

// Replay replays the trace in r and returns its faults, or an error if r is not a valid trace.
func Replay(r io.Reader) (Result, error) {
	components := map[string]component{
		recorder.PartAttempts: newAttempts(),
		recorder.PartRates:    newRates(),
	}
	result := Result{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, lineMaxBytes)
	for lines.Scan() {
		result.Events++
		e := recorder.Event{}
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return result, errors.Wrapf(err, "line %d", result.Events)
		}
		c := components[e.Part]
		if c == nil {
			return result, errors.Errorf("line %d: unknown part %q", result.Events, e.Part)
		}
		fault, err := c.replay(e)
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
