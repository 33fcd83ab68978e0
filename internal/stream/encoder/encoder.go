package encoder

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/go-faster/errors"
)

// copyBufferBytes is the size of the buffer that a body is copied through.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{
	New: func() any {
		b := make([]byte, copyBufferBytes)
		return &b
	},
}

// WriteRequest writes the head of the request, and its body if that is in memory.
func WriteRequest(w *bufio.Writer, r *streamer.Request) error {
	writeStrings(w, r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n")
	writeHeader(w, r.Header)
	switch {
	case r.Body != nil && r.Length < 0:
		writeStrings(w, "Transfer-Encoding: chunked\r\n\r\n")
	case r.Body != nil || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		writeStrings(w, "Content-Length: ", strconv.FormatInt(max(0, r.Length), 10), "\r\n\r\n")
	default:
		writeStrings(w, "\r\n")
	}
	if r.Body != nil && r.Buffered() {
		return WriteBody(w, r.Body, r.Length)
	}
	return flush(w)
}

// WriteResponse writes the head of a response; headOnly says that no body follows, as for HEAD, and closeAfter adds
// Connection: close.
func WriteResponse(w *bufio.Writer, response *streamer.Response, headOnly, closeAfter bool) error {
	text := http.StatusText(response.Status)
	writeStrings(w, "HTTP/1.1 ", strconv.Itoa(response.Status), " ", text, "\r\n")
	writeHeader(w, response.Header)
	if closeAfter {
		writeStrings(w, "Connection: close\r\n")
	}
	switch {
	case response.Status == http.StatusNoContent || response.Status == http.StatusNotModified:
		writeStrings(w, "\r\n")
	case response.Length >= 0 || response.Body == nil:
		writeStrings(w, "Content-Length: ", strconv.FormatInt(max(0, response.Length), 10), "\r\n\r\n")
	case headOnly:
		writeStrings(w, "\r\n")
	default:
		writeStrings(w, "Transfer-Encoding: chunked\r\n\r\n")
	}
	return nil
}

// WriteBody writes a body of length bytes, chunked if length is negative, and flushes after each read so that a
// streamed body is not delayed.
func WriteBody(w *bufio.Writer, body io.Reader, length int64) error {
	if length < 0 {
		return writeChunked(w, body)
	}
	n, err := copyAndFlush(w, w, io.LimitReader(body, length))
	if err != nil {
		return err
	}
	if n < length {
		return &BodyReadError{
			Cause: errors.Wrap(io.ErrUnexpectedEOF, "body is shorter than stated"),
		}
	}
	return nil
}

func writeChunked(w *bufio.Writer, body io.Reader) error {
	chunks := httputil.NewChunkedWriter(w)
	if _, err := copyAndFlush(chunks, w, body); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return errors.Wrap(err, "end chunks")
	}
	writeStrings(w, "\r\n")
	return flush(w)
}

// copyAndFlush copies the body to its end, flushes w after each read and returns the number of bytes copied.
func copyAndFlush(dst io.Writer, w *bufio.Writer, body io.Reader) (int64, error) {
	p := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(p)
	total := int64(0)
	for {
		n, err := body.Read(*p)
		if n > 0 {
			total += int64(n)
			if _, err := dst.Write((*p)[:n]); err != nil {
				return total, errors.Wrap(err, "write body")
			}
		}
		if err == io.EOF {
			return total, flush(w)
		}
		if err != nil {
			return total, &BodyReadError{
				Cause: err,
			}
		}
		if err := flush(w); err != nil {
			return total, err
		}
	}
}

func flush(w *bufio.Writer) error {
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write message")
	}
	return nil
}

// BodyReadError is returned when reading the body fails, as opposed to writing it.
type BodyReadError struct {
	Cause error
}

// Error returns the message of the cause with the operation before it.
func (e *BodyReadError) Error() string {
	return "read body: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BodyReadError) Unwrap() error {
	return e.Cause
}

// writeStrings writes the parts to the buffer; bufio.Writer keeps an error until Flush returns it.
func writeStrings(w *bufio.Writer, parts ...string) {
	for _, p := range parts {
		_, _ = w.WriteString(p)
	}
}

// writeHeader writes the end-to-end header fields and leaves out the hop-by-hop ones. Those that Connection lists were
// deleted where the message entered the cluster, before nodes added their own.
func writeHeader(w *bufio.Writer, h http.Header) {
	for name, values := range h {
		if chivegauge.HopByHopHeader(name) {
			continue
		}
		for _, v := range values {
			writeStrings(w, name, ": ", v, "\r\n")
		}
	}
}
