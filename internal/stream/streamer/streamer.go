package streamer

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/go-faster/errors"
)

// Request is an HTTP request whose body is streamed or in memory; Length is negative if it is not known.
type Request struct {
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    io.Reader
	Length  int64
	Arrived time.Time

	// EarlierDone is closed once the responses to all earlier requests on the same connection have been written or
	// discarded; nil means that there are no earlier requests.
	EarlierDone <-chan struct{}
}

// Buffered reports whether the request has no body or its body is in memory, so that it can be sent again.
func (r *Request) Buffered() bool {
	_, ok := r.Body.(*bytes.Reader)
	return r.Body == nil || ok
}

// Fingerprint returns the fingerprint of the request for the workspace on the route; a body that is not in memory is
// left out.
func (r *Request) Fingerprint(workspace, route string) uint64 {
	var body []byte
	if b, ok := r.Body.(*bytes.Reader); ok {
		body = make([]byte, b.Size())
		// Reading exactly the bytes that are in memory can't fail.
		_, _ = b.ReadAt(body, 0)
	}
	return chivegauge.Fingerprint(workspace, route, r.Method, r.Target, body)
}

// Rewind seeks a body in memory back to its start.
func (r *Request) Rewind() {
	if b, ok := r.Body.(*bytes.Reader); ok {
		_, _ = b.Seek(0, io.SeekStart)
	}
}

// Buffer reads a body of at most limit bytes into memory and leaves a longer one streamed; it returns an error if
// reading fails.
func (r *Request) Buffer(limit int64) error {
	if r.Body == nil || r.Buffered() {
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

// Response is an HTTP response whose body is streamed or in memory; Length is negative if it is not known.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64

	// Refusal is set on an error response that a node made itself.
	Refusal *chivegauge.Refusal

	onRelease []func()
}

// OnRelease registers a function that Release calls; if there is no streamed body, the function is called at once.
func (r *Response) OnRelease(f func()) {
	if r.Buffered() {
		f()
		return
	}
	r.onRelease = append(r.onRelease, f)
}

// Buffered reports whether the response has no body or its body is in memory.
func (r *Response) Buffered() bool {
	_, ok := r.Body.(memoryBody)
	return r.Body == nil || ok
}

// SetBody sets the body to b, which is kept without a copy.
func (r *Response) SetBody(b []byte) {
	r.Length = int64(len(b))
	r.Body = memoryBody{
		Reader: bytes.NewReader(b),
	}
}

// Release closes the body and calls the functions that OnRelease registered.
func (r *Response) Release() {
	if r.Body != nil {
		_ = r.Body.Close()
	}
	for _, f := range r.onRelease {
		f()
	}
	r.onRelease = nil
}

// memoryBody is a response body in memory.
type memoryBody struct {
	*bytes.Reader
}

// Close does nothing.
func (memoryBody) Close() error {
	return nil
}

// RefusalResponse returns a response without a body that carries the refusal and its status.
func RefusalResponse(r *chivegauge.Refusal) *Response {
	return &Response{
		Status:  r.Status(),
		Header:  http.Header{},
		Refusal: r,
	}
}
