package validator

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// transport is an http.Transport that sends each request once, and returns no response which breaks off or is not valid.
type transport struct {
	*http.Transport
}

// NewTransport returns t with connections that tell a reset from a close, and with a check of each response; it sends no
// request again by itself. Over TLS, where nothing is recorded, only the head that t returns is checked.
func NewTransport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &recorder{
			Conn: NewConn(nc),
		}, nil
	}
	return &transport{
		Transport: t,
	}
}

// RoundTrip sends the request and returns the response, or an error if its head is not valid; reading its body fails if
// its trailer is not.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	used := atomic.Pointer[recording]{}
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*recorder); ok {
				used.Store(c.start())
			}
		},
	})
	res, err := t.Transport.RoundTrip(singleUse(r.WithContext(ctx)))
	if err != nil {
		return nil, err
	}
	rec := used.Load()
	if rec == nil {
		err = checkHead(res)
	} else {
		err = checkHeads(rec.stop(), r.Method)
	}
	if err != nil {
		if rec != nil {
			_ = rec.conn.Close()
		}
		_ = res.Body.Close()
		return nil, errors.Wrap(err, "read response")
	}
	res.Body = &checkedBody{
		ReadCloser: res.Body,
		response:   res,
	}
	return res, nil
}

// singleUse returns the request with a body that can't be read twice. The transport of net/http sends a request that it
// can repeat again if a connection that was used before is cut off: the caller doesn't learn that the first one was lost.
func singleUse(r *http.Request) *http.Request {
	r.GetBody = nil
	if r.Body != nil && r.Body != http.NoBody {
		return r
	}
	switch r.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete:
		// net/http finds out that this body is empty, and sends no chunked one with these methods.
		r.Body = io.NopCloser(bytes.NewReader(nil))
	}
	return r
}

// checkHeads returns an error if one of the heads, up to that of the final response, is not valid.
func checkHeads(heads []byte, method string) error {
	br := bufio.NewReader(bytes.NewReader(heads))
	for {
		res, err := ReadHead(br, method) //nolint:bodyclose // the body is not read
		if err != nil || res.StatusCode >= http.StatusOK {
			return err
		}
	}
}

// checkedBody is the body of a response; its end is an error if the trailer is not valid.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read reads from the body.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if err := CheckTrailer(b.response); err != nil {
			return n, err
		}
	}
	return n, err
}
