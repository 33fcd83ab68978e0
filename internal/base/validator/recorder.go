package validator

import (
	"bytes"
	"net"
	"sync"
)

// recorder is a connection that can record what is read from it.
type recorder struct {
	net.Conn

	mu       sync.Mutex
	on       bool
	recorded bytes.Buffer
}

// start begins to record.
func (r *recorder) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.on = true
}

// stop ends the recording and returns it.
func (r *recorder) stop() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.recorded.Bytes()
	r.on = false
	r.recorded = bytes.Buffer{}
	return b
}

// Read reads from the connection.
func (r *recorder) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.on {
		_, _ = r.recorded.Write(p[:n])
	}
	return n, err
}
