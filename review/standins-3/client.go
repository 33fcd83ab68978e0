package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// request is one attempt of a client.
type request struct {
	method string
	path   string
	body   []byte

	// limit is how long the client waits.
	limit time.Duration
}

// answer is what the client got; the status is 0 without an answer, and whole says that its body arrived to the end.
type answer struct {
	id     string
	sentAt time.Time
	status int
	bytes  int64
	whole  bool
	took   time.Duration
}

var attempts atomic.Int64

// transport opens a connection for each request.
var transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// send sends an attempt to the node of the machine, and returns when the answer has ended or the client has left.
func send(ctx context.Context, m *machine, q request) answer {
	a := answer{id: "attempt-" + strconv.FormatInt(attempts.Add(1), 10)}
	began := time.Now()
	a.sentAt = began
	ctx, cancel := context.WithTimeout(ctx, q.limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+m.at(portOutbound)+q.path, bytes.NewReader(q.body))
	if err != nil {
		return a
	}
	req.Host = host
	req.Header.Set(headerAttempt, a.id)
	req.Header.Set(headerDeadline, strconv.FormatInt(q.limit.Milliseconds(), 10))
	res, err := transport.RoundTrip(req)
	if err != nil {
		a.took = time.Since(began)
		return a
	}
	defer func() { _ = res.Body.Close() }()
	a.status = res.StatusCode
	a.bytes, err = io.Copy(io.Discard, res.Body)
	a.whole = err == nil
	a.took = time.Since(began)
	return a
}
