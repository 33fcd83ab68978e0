package encoder

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/stream/carrier"
	"github.com/go-faster/errors"
)

const copyBytes = 32 << 10

var buffers = sync.Pool{
	New: func() any {
		b := make([]byte, copyBytes)
		return &b
	},
}

// Request writes the head of the request and, if it is whole, its body.
func Request(w *bufio.Writer, r *carrier.Request) error {
	write(w, r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n")
	fields(w, r.Header)
	switch {
	case r.Body != nil && r.Length < 0:
		write(w, "Transfer-Encoding: chunked\r\n\r\n")
	case r.Body != nil || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		write(w, "Content-Length: ", strconv.FormatInt(max(0, r.Length), 10), "\r\n\r\n")
	default:
		write(w, "\r\n")
	}
	if r.Body != nil && r.Whole() {
		return Body(w, r.Body, r.Length)
	}
	return flush(w)
}

// Answer writes the head of an answer; silent says that no body follows, as for HEAD.
func Answer(w *bufio.Writer, a *carrier.Answer, silent, last bool) error {
	text := http.StatusText(a.Status)
	write(w, "HTTP/1.1 ", strconv.Itoa(a.Status), " ", text, "\r\n")
	fields(w, a.Header)
	if last {
		write(w, "Connection: close\r\n")
	}
	switch {
	case a.Status == http.StatusNoContent || a.Status == http.StatusNotModified:
		write(w, "\r\n")
	case a.Length >= 0 || a.Body == nil:
		write(w, "Content-Length: ", strconv.FormatInt(max(0, a.Length), 10), "\r\n\r\n")
	case silent:
		write(w, "\r\n")
	default:
		write(w, "Transfer-Encoding: chunked\r\n\r\n")
	}
	return nil
}

// Body copies a body of the length, or in chunks if the length is below 0, and flushes what has arrived.
func Body(w *bufio.Writer, body io.Reader, length int64) error {
	if length < 0 {
		return chunked(w, body)
	}
	n, err := transfer(w, w, io.LimitReader(body, length))
	if err != nil {
		return err
	}
	if n < length {
		return errors.Wrap(io.ErrUnexpectedEOF, "body is shorter than stated")
	}
	return nil
}

func chunked(w *bufio.Writer, body io.Reader) error {
	chunks := httputil.NewChunkedWriter(w)
	if _, err := transfer(chunks, w, body); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return errors.Wrap(err, "end chunks")
	}
	write(w, "\r\n")
	return flush(w)
}

// transfer copies until the body ends and flushes after each read.
func transfer(to io.Writer, w *bufio.Writer, body io.Reader) (int64, error) {
	p := buffers.Get().(*[]byte)
	defer buffers.Put(p)
	total := int64(0)
	for {
		n, err := body.Read(*p)
		if n > 0 {
			total += int64(n)
			if _, err := to.Write((*p)[:n]); err != nil {
				return total, errors.Wrap(err, "write body")
			}
		}
		if err == io.EOF {
			return total, flush(w)
		}
		if err != nil {
			return total, &SourceError{
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

// SourceError says that the body could not be read to its end.
type SourceError struct {
	Cause error
}

// Error returns the cause.
func (e *SourceError) Error() string {
	return "read body: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SourceError) Unwrap() error {
	return e.Cause
}

// write puts the parts into the buffer; an error stays with the writer until it is flushed.
func write(w *bufio.Writer, parts ...string) {
	for _, p := range parts {
		_, _ = w.WriteString(p)
	}
}

// fields writes the header fields that travel beyond one connection.
func fields(w *bufio.Writer, h http.Header) {
	named := h["Connection"]
	for name, values := range h {
		if chivegauge.ConnectionHeader(name) || mentions(named, name) {
			continue
		}
		for _, v := range values {
			write(w, name, ": ", v, "\r\n")
		}
	}
}

// mentions reports whether a Connection header names the field as one that concerns the connection only.
func mentions(connection []string, name string) bool {
	for _, v := range connection {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}
