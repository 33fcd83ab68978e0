package logwriter

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// linesMax is the maximum number of buffered lines.
	linesMax = 2048

	// batchBytes is the size at which a batch is written without waiting for more lines.
	batchBytes = 32 << 10

	// batchDelay is the maximum time that a batch waits for more lines.
	batchDelay = 100 * time.Millisecond
)

// LogWriter buffers log lines and writes them in batches.
type LogWriter interface {
	io.Writer
	// Serve writes the lines until the context ends, and then those that are still buffered.
	Serve(ctx context.Context) error
	// Dropped returns the number of lines that were dropped.
	Dropped() uint64
}

type logWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64

	// reported is the number of dropped lines that the log has reported.
	reported uint64
}

// New returns a LogWriter that writes to the given writer.
func New(out io.Writer) LogWriter {
	return &logWriter{
		out:   out,
		lines: make(chan []byte, linesMax),
	}
}

// Write buffers one line, or drops it if the buffer is full; it never returns an error.
func (w *logWriter) Write(p []byte) (int, error) {
	line := append(make([]byte, 0, len(p)), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped.
func (w *logWriter) Dropped() uint64 {
	return w.dropped.Load()
}

// Serve writes the lines in batches.
func (w *logWriter) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return ctx.Err()
		case line := <-w.lines:
			w.batch(ctx, line)
		}
	}
}

// batch collects further lines for up to batchDelay or batchBytes and writes them together.
func (w *logWriter) batch(ctx context.Context, first []byte) {
	batch := first
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for len(batch) < batchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		break
	}
	w.write(batch)
}

// flush writes the lines that are still buffered.
func (w *logWriter) flush() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write writes the batch, preceded by a line with the number of lines dropped since the last such line.
func (w *logWriter) write(batch []byte) {
	if n := w.dropped.Load(); n > w.reported {
		batch = append(fmt.Appendf(nil, "{\"level\":\"warn\",\"Dropped\":%d,\"message\":\"log lines dropped\"}\n", n-w.reported), batch...)
		w.reported = n
	}
	// An error can't be reported, because the log itself can't be written.
	_, _ = w.out.Write(batch)
}
