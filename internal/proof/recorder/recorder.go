package recorder

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// The parts whose decisions are recorded.
const (
	PartAttempts = "Attempts"
	PartRates    = "Rates"
)

const fileMode = 0o600

// Event is one decision: what was asked, when, and what was decided.
type Event struct {
	At     time.Time
	Part   string
	Call   string
	Input  json.RawMessage `json:",omitempty"`
	Output json.RawMessage `json:",omitempty"`
}

// Recorder writes events until its file is full.
type Recorder interface {
	// Record writes one event; it is lost when the file is full.
	Record(now time.Time, part, call string, input, output any)
	// Close ends the file.
	Close() error
}

type recorder struct {
	mu   sync.Mutex
	file *os.File
	left int
}

// New returns a recorder into a file of at most maxBytes, or an error.
func New(path string, maxBytes int) (Recorder, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open trace file")
	}
	return &recorder{
		file: f,
		left: maxBytes,
	}, nil
}

// Record writes one event.
func (r *recorder) Record(now time.Time, part, call string, input, output any) {
	in, err := json.Marshal(input)
	if err != nil {
		return
	}
	out, err := json.Marshal(output)
	if err != nil {
		return
	}
	line, err := json.Marshal(Event{
		At:     now,
		Part:   part,
		Call:   call,
		Input:  in,
		Output: out,
	})
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left -= len(line) + 1; r.left < 0 {
		return
	}
	_, _ = r.file.Write(append(line, '\n'))
}

// Close ends the file.
func (r *recorder) Close() error {
	return r.file.Close()
}
