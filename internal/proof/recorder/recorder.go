package recorder

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// The components of a node whose decisions are recorded.
const (
	PartAttempts = "Attempts"
	PartRates    = "Rates"
)

const fileMode = 0o600

// Event is one recorded call of a component, with the time, the input and the output.
type Event struct {
	At     time.Time
	Part   string
	Call   string
	Input  json.RawMessage `json:",omitempty"`
	Output json.RawMessage `json:",omitempty"`
}

// Recorder writes events to a file until the file has reached its maximum size.
type Recorder interface {
	// Record writes one event; once an event does not fit into the file, it and all later ones are dropped.
	Record(now time.Time, part, call string, input, output any)
	// Close closes the file.
	Close() error
}

type recorder struct {
	mu   sync.Mutex
	file *os.File
	// remaining is the number of bytes that may still be written.
	remaining int
}

// New returns a recorder that overwrites the file at path and writes at most maxBytes bytes, or an error.
func New(path string, maxBytes int) (Recorder, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open trace file")
	}
	return &recorder{
		file:      f,
		remaining: maxBytes,
	}, nil
}

// Record writes one event, or drops it.
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
	if r.remaining -= len(line) + 1; r.remaining < 0 {
		return
	}
	_, _ = r.file.Write(append(line, '\n'))
}

// Close closes the file.
func (r *recorder) Close() error {
	return r.file.Close()
}
