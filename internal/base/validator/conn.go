package validator

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// conn is a connection whose reads return the error of a failed write instead of io.EOF. The kernel reports the reset of
// a connection once: if a write gets the report, reads return io.EOF, as if the peer had closed the connection, and a body
// that has no other end would be taken for whole.
type conn struct {
	net.Conn

	mu       sync.Mutex // held during a write
	writeErr error
}

// NewConn returns a connection that tells a reset from a close while it is written to.
func NewConn(nc net.Conn) net.Conn {
	return &conn{
		Conn: nc,
	}
}

// Write writes to the connection and keeps the first error.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// expiredDeadline is a time in the past; set as the deadline, it ends blocked writes at once.
var expiredDeadline = time.Unix(1, 0)

// Read reads from the connection; it returns io.EOF only if the peer closed the connection, and ends the writes then.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// A write that has got the report of a reset may not have returned yet.
	_ = c.SetWriteDeadline(expiredDeadline)
	c.mu.Lock()
	defer c.mu.Unlock()
	// EPIPE is reported for a reset that came after the peer had closed its side.
	if c.writeErr == nil || errors.Is(c.writeErr, os.ErrDeadlineExceeded) || errors.Is(c.writeErr, syscall.EPIPE) {
		return n, err
	}
	return n, c.writeErr
}
