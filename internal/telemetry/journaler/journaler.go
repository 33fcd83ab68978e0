package journaler

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// linesMax is the number of lines that wait to be written.
	linesMax = 2048

	// batchBytes is the size from which waiting lines are written at once.
	batchBytes = 32 << 10

	// batchTime is how long a line may wait for others.
	batchTime = 100 * time.Millisecond
)

// Journaler takes lines and writes them in batches.
type Journaler interface {
	io.Writer
	// Serve writes the lines until the context ends, then those that still wait.
	Serve(ctx context.Context) error
	// Dropped returns the number of lines that were dropped.
	Dropped() uint64
}

type journaler struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	told    uint64
}

// New returns a journaler that writes to the writer.
func New(to io.Writer) Journaler {
	return &journaler{
		to:    to,
		lines: make(chan []byte, linesMax),
	}
}

// Write takes one line, or drops it when too many wait; it never fails.
func (j *journaler) Write(p []byte) (int, error) {
	line := append(make([]byte, 0, len(p)), p...)
	select {
	case j.lines <- line:
	default:
		j.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped.
func (j *journaler) Dropped() uint64 {
	return j.dropped.Load()
}

// Serve writes the lines in batches.
func (j *journaler) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			j.flush()
			return ctx.Err()
		case line := <-j.lines:
			j.batch(ctx, line)
		}
	}
}

// batch waits a moment for more lines and writes them together.
func (j *journaler) batch(ctx context.Context, first []byte) {
	batch := first
	timer := time.NewTimer(batchTime)
	defer timer.Stop()
	for len(batch) < batchBytes {
		select {
		case line := <-j.lines:
			batch = append(batch, line...)
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		break
	}
	j.put(batch)
}

func (j *journaler) flush() {
	for {
		select {
		case line := <-j.lines:
			j.put(line)
		default:
			return
		}
	}
}

// put writes the batch, after a line about what was dropped since the last one.
func (j *journaler) put(batch []byte) {
	if n := j.dropped.Load(); n > j.told {
		batch = append(fmt.Appendf(nil, "{\"level\":\"warn\",\"Dropped\":%d,\"message\":\"log lines dropped\"}\n", n-j.told), batch...)
		j.told = n
	}
	// There is nowhere to report that the log itself can't be written.
	_, _ = j.to.Write(batch)
}
