package connector_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/chivegauge/chivegauge/internal/standin/rawserver"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/matryer/is"
)

const wholeBody = "the whole body"

// wholeResponses are responses with wholeBody by their framing.
var wholeResponses = map[string]string{
	"with a length":        "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 14\r\nServer: b\r\n\r\n" + wholeBody,
	"chunked":              "HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nthe \r\na\r\nwhole body\r\n0\r\n\r\n",
	"chunked with trailer": "HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\ne\r\n" + wholeBody + "\r\n0\r\nT: 1\r\n\r\n",
	"ended by the close":   "HTTP/1.1 200 OK\r\nAttempt: 1\r\nConnection: close\r\n\r\n" + wholeBody,
	"after an interim one": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 14\r\n\r\n" + wholeBody,
}

// breakOff closes the connection, or resets it.
func breakOff(nc net.Conn, reset bool) {
	if reset {
		_ = nc.(*net.TCPConn).SetLinger(0)
	}
	_ = nc.Close()
}

// TestResponseThatBreaksOffIsNotWhole checks that no part of a response, after which the backend server closes or resets
// its first or a kept connection, is taken for a whole one. A body that ends with its connection has no other end.
func TestResponseThatBreaksOffIsNotWhole(t *testing.T) {
	for name, whole := range wholeResponses {
		for _, kept := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(name+map[bool]string{false: ", new", true: ", kept"}[kept]+map[bool]string{false: ", closed", true: ", reset"}[reset], func(t *testing.T) {
					headBytes := strings.LastIndex(whole, "\r\n\r\n")
					if at := strings.Index(whole, "200 OK"); at > 0 {
						headBytes = at + strings.Index(whole[at:], "\r\n\r\n") + 4
					}
					for cut := range len(whole) {
						endsWithConnection := name == "ended by the close" && !reset && cut >= headBytes
						if response, body, err := exchangeBroken(t, whole[:cut], kept, reset); err == nil && !endsWithConnection {
							t.Errorf("%q is taken for status %d with body %q", whole[:cut], response.Status, body)
						}
					}
					_, body, err := exchangeBroken(t, whole, kept, false)
					is.New(t).NoErr(err)
					is.New(t).Equal(body, wholeBody)
				})
			}
		}
	}
}

func brokenRequest() *streamer.Request {
	return &streamer.Request{
		Method: http.MethodGet,
		Target: "/",
		Host:   "a",
		Header: http.Header{
			attempt: {"1"},
		},
	}
}

// exchangeBroken returns the response to a request, and its body, if the backend server sends the text and breaks off.
func exchangeBroken(t *testing.T, text string, kept, reset bool) (*streamer.Response, string, error) {
	b := start(t, func(n int, _ *http.Request, nc net.Conn) bool {
		if kept && n == 1 {
			_, _ = io.WriteString(nc, wholeResponses["with a length"])
			return true
		}
		_, _ = io.WriteString(nc, text)
		breakOff(nc, reset)
		return false
	})
	c := connect(t, b)
	if kept {
		first, err := c.Exchange(context.Background(), brokenRequest())
		is.New(t).NoErr(err)
		first.Release()
	}
	response, err := c.Exchange(context.Background(), brokenRequest())
	if err != nil {
		return nil, "", err
	}
	defer response.Release()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// TestResponseToHead checks that a response to a HEAD request has no body, whatever length it states.
func TestResponseToHead(t *testing.T) {
	for name, length := range map[string]string{"no length": "", "empty": "Content-Length: 0\r\n", "some bytes": "Content-Length: 14\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := connect(t, start(t, func(_ int, _ *http.Request, nc net.Conn) bool {
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nAttempt: 1\r\n"+length+"\r\n")
				return true
			}))
			for range 2 { // the second one over the same connection
				r := brokenRequest()
				r.Method = http.MethodHead
				response, err := c.Exchange(context.Background(), r)
				is.NoErr(err)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(len(body), 0)
				response.Release()
			}
		})
	}
}

// FuzzResponse checks that a response is taken for a whole one only if the bytes of the backend server, up to the end of
// the connection, hold a valid head and the body that it states.
func FuzzResponse(f *testing.F) {
	for _, res := range rawserver.Responses() {
		f.Add([]byte(res.WithFields("Attempt: 1\r\n").Text))
	}
	for _, whole := range wholeResponses {
		f.Add([]byte(whole))
		f.Add([]byte(whole[:len(whole)-1]))
		f.Add([]byte(whole[:len(whole)/2]))
	}
	sent := atomic.Pointer[[]byte]{}
	b := start(f, func(_ int, _ *http.Request, nc net.Conn) bool {
		_, _ = nc.Write(*sent.Load())
		return false
	})
	f.Fuzz(func(t *testing.T, text []byte) {
		sent.Store(&text)
		c := connect(t, b)
		response, err := c.Exchange(context.Background(), brokenRequest())
		if err != nil {
			return
		}
		body, err := io.ReadAll(response.Body)
		response.Release()
		if err != nil {
			return
		}
		if !bytes.Contains(text, []byte("\n\r\n")) && !bytes.Contains(text, []byte("\n\n")) {
			t.Errorf("%q has no whole head", text)
		}
		if response.Status < http.StatusOK || response.Status > 599 {
			t.Errorf("%q is taken for status %d", text, response.Status)
		}
		for name := range response.Header {
			if strings.ContainsAny(name, " \t\r\n\x00") {
				t.Errorf("%q is taken for a response with a field %q", text, name)
			}
		}
		if response.Length > 0 && int64(len(body)) != response.Length {
			t.Errorf("%q: body of %d bytes, %d are stated", text, len(body), response.Length)
		}
		if !bytes.Contains(text, body) && !bytes.Contains(bytes.ToLower(text), []byte("chunked")) {
			t.Errorf("%q: body %q was not sent", text, body)
		}
	})
}
