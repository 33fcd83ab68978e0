package validator

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// recorder is a connection that records what is read from it for the request that has it.
type recorder struct {
	net.Conn
	current atomic.Pointer[recording]
}

// recording is what was read from a connection while one request had it. The client of net/http hands a connection on
// before it returns a response without a body, so the recordings of two requests are kept apart.
type recording struct {
	conn *recorder
	mu   sync.Mutex
	read bytes.Buffer
}

// start begins a recording, which ends an earlier one.
func (r *recorder) start() *recording {
	rec := &recording{
		conn: r,
	}
	r.current.Store(rec)
	return rec
}

// Read reads from the connection.
func (r *recorder) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if rec := r.current.Load(); rec != nil {
		rec.add(p[:n])
	}
	return n, err
}

func (r *recording) add(p []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.read.Write(p)
}

// stop ends the recording and returns it.
func (r *recording) stop() []byte {
	r.conn.current.CompareAndSwap(r, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read.Bytes()
}
