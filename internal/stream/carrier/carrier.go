package carrier

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/go-faster/errors"
)

// Request is a request whose body may still be arriving.
type Request struct {
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    io.Reader
	Length  int64
	Arrived time.Time

	// Turn is closed when all requests before it on its connection are answered; nil means at once.
	Turn <-chan struct{}
}

// Whole reports whether the body is held in memory, so that the request can be sent again.
func (r *Request) Whole() bool {
	_, ok := r.Body.(*bytes.Reader)
	return r.Body == nil || ok
}

// Fingerprint returns the fingerprint of the request for the workspace on the route; of its body only what is held in
// memory counts.
func (r *Request) Fingerprint(workspace, route string) uint64 {
	var body []byte
	if b, ok := r.Body.(*bytes.Reader); ok {
		body = make([]byte, b.Size())
		// Reading as many bytes as there are in memory can't fail.
		_, _ = b.ReadAt(body, 0)
	}
	return chivegauge.Fingerprint(workspace, route, r.Method, r.Target, body)
}

// Rewind makes a whole body readable from its start.
func (r *Request) Rewind() {
	if b, ok := r.Body.(*bytes.Reader); ok {
		_, _ = b.Seek(0, io.SeekStart)
	}
}

// Hold reads a body of at most limit bytes into memory; a longer one stays a stream.
func (r *Request) Hold(limit int64) error {
	if r.Body == nil || r.Whole() {
		return nil
	}
	if r.Length > limit {
		return nil
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	if int64(len(b)) > limit {
		r.Body = io.MultiReader(bytes.NewReader(b), r.Body)
		return nil
	}
	r.Length = int64(len(b))
	r.Body = bytes.NewReader(b)
	return nil
}

// Answer is an answer whose body may still be arriving; Length is below 0 where it is not known.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64

	// Refusal is set on an answer that a node made itself.
	Refusal *chivegauge.Refusal

	released []func()
}

// OnRelease registers a function that is called when the answer is released; for an answer that is whole, at once.
func (a *Answer) OnRelease(f func()) {
	if a.Whole() {
		f()
		return
	}
	a.released = append(a.released, f)
}

// Whole reports whether the body is held in memory.
func (a *Answer) Whole() bool {
	_, ok := a.Body.(held)
	return a.Body == nil || ok
}

// Hold makes the bytes the whole body.
func (a *Answer) Hold(b []byte) {
	a.Length = int64(len(b))
	a.Body = held{
		Reader: bytes.NewReader(b),
	}
}

// Release ends the use of the body.
func (a *Answer) Release() {
	if a.Body != nil {
		_ = a.Body.Close()
	}
	for _, f := range a.released {
		f()
	}
	a.released = nil
}

// held is a body in memory.
type held struct {
	*bytes.Reader
}

// Close does nothing.
func (held) Close() error {
	return nil
}

// Refusal returns the answer of a node that refuses.
func Refusal(r *chivegauge.Refusal) *Answer {
	return &Answer{
		Status:  r.Status(),
		Header:  http.Header{},
		Refusal: r,
	}
}
