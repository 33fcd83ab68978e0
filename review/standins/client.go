package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// record is the file that holds what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

var lastAttempt atomic.Uint64

// newAttempt returns the ID of a client attempt.
func newAttempt() string {
	return fmt.Sprintf("%016x", lastAttempt.Add(1)+uint64(os.Getpid())<<32)
}

// request is one client attempt.
type request struct {
	method  string
	host    string
	path    string
	attempt string // none is sent if empty
	key     string
	header  []string // further header lines
	body    string
}

func (r request) text() string {
	out := r.method + " " + r.path + " HTTP/1.1\r\nHost: " + r.host + "\r\n"
	if r.attempt != "" {
		out += headerAttempt + ": " + r.attempt + "\r\n"
	}
	out += headerDeadline + ": 4000\r\n"
	if r.key != "" {
		out += "Authorization: Token " + r.key + "\r\n"
	}
	for _, h := range r.header {
		out += h + "\r\n"
	}
	if r.body != "" {
		out += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return out + "\r\n" + r.body
}

// answer is what a client got; err is set if there was no complete answer.
type answer struct {
	status    int
	header    http.Header
	body      []byte
	signature string
	closes    bool
	err       error
}

// client is a client with one kept connection.
type client struct {
	address string
	nc      net.Conn
	br      *bufio.Reader
	served  int // answers on the connection
}

func (c *client) close() {
	if c.nc != nil {
		_ = c.nc.Close()
	}
	c.nc = nil
}

// do sends the request on the kept connection, or on a new one.
func (c *client) do(r request, timeout time.Duration) answer {
	if c.nc == nil {
		nc, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.nc = nc
		c.br = bufio.NewReader(nc)
		c.served = 0
	}
	_ = c.nc.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c.nc, r.text()); err != nil {
		c.close()
		return answer{err: err}
	}
	res, err := http.ReadResponse(c.br, &http.Request{Method: r.method})
	if err != nil {
		c.close()
		return answer{err: err}
	}
	body, err := io.ReadAll(res.Body)
	a := answer{
		status: res.StatusCode, header: res.Header, body: body, signature: res.Header.Get(headerSignature),
		closes: res.Close, err: err,
	}
	c.served++
	if err != nil || res.Close {
		c.close()
	}
	return a
}
