package faultinjector

import (
	"io"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

const relayBufferBytes = 32 << 10

// Relay is a TCP proxy in front of a target that can cut, freeze or silence its connections.
type Relay struct {
	address string
	target  string
	group   sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	shut     bool
	cut      bool
	silent   bool
	conns    map[*proxied]bool
	closed   bool
}

// proxied is one relayed connection; while it is silent, the bytes of both directions are discarded, and while it is
// frozen, only those of the target.
type proxied struct {
	client net.Conn
	server net.Conn
	mu     sync.Mutex
	silent bool
	frozen bool
}

// NewRelay returns a relay that listens on a free loopback address, or an error.
func NewRelay(target string) (*Relay, error) {
	return NewRelayAt("127.0.0.1:0", target)
}

// NewRelayAt returns a relay that listens on the address, or an error.
func NewRelayAt(address, target string) (*Relay, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{
		address:  ln.Addr().String(),
		listener: ln,
		target:   target,
		conns:    map[*proxied]bool{},
	}
	r.group.Go(func() { r.accept(ln) })
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string {
	return r.address
}

// ClosePort refuses new connections, like the port of a process that has exited, until OpenPort is called.
func (r *Relay) ClosePort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shut = true
	_ = r.listener.Close()
}

// OpenPort accepts connections again after ClosePort.
func (r *Relay) OpenPort() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.shut || r.closed {
		return nil
	}
	ln, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.shut = false
	r.listener = ln
	r.group.Go(func() { r.accept(ln) })
	return nil
}

func (r *Relay) accept(ln net.Listener) {
	for {
		client, err := ln.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() { r.connect(client) })
	}
}

func (r *Relay) connect(client net.Conn) {
	r.mu.Lock()
	cut := r.cut
	r.mu.Unlock()
	if cut {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &proxied{
		client: client,
		server: server,
	}
	if !r.add(c) {
		c.close()
		return
	}
	r.group.Go(func() { c.forward(c.client, c.server, false) })
	r.group.Go(func() { c.forward(c.server, c.client, true) })
}

func (r *Relay) add(c *proxied) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	c.silent = r.silent
	r.conns[c] = true
	return true
}

// forward copies bytes in one direction until an end closes. In a direction whose bytes are discarded, it still reads
// them, and it doesn't close the connection when the sending end closes.
func (c *proxied) forward(from, to net.Conn, fromServer bool) {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buf)
		c.mu.Lock()
		discard := c.silent || (c.frozen && fromServer)
		c.mu.Unlock()
		if n > 0 && !discard {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			if errors.Is(err, io.EOF) && discard {
				return
			}
			c.close()
			return
		}
	}
}

func (c *proxied) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// SetSilent switches a silent partition on or off: while it is on, the bytes of both directions are discarded on each
// connection, also on new ones; those that were open then stay silent.
func (r *Relay) SetSilent(on bool) {
	r.mu.Lock()
	r.silent = on
	r.mu.Unlock()
	if on {
		r.Silence()
	}
}

// Silence permanently discards the bytes of both directions on each open connection; new connections work.
func (r *Relay) Silence() {
	r.each(func(c *proxied) { c.silent = true })
}

// Freeze permanently discards the bytes of the target on each open connection; bytes of the client still pass.
func (r *Relay) Freeze() {
	r.each(func(c *proxied) { c.frozen = true })
}

// SetCut switches the cut on or off. Switching it on closes all connections; while it is on, new connections are closed
// at once.
func (r *Relay) SetCut(on bool) {
	r.mu.Lock()
	r.cut = on
	r.mu.Unlock()
	if on {
		r.each(func(c *proxied) { c.close() })
	}
}

func (r *Relay) each(f func(c *proxied)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.mu.Lock()
		f(c)
		c.mu.Unlock()
	}
}

// Close stops the relay and closes all its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	_ = r.listener.Close()
	r.mu.Unlock()
	r.each(func(c *proxied) { c.close() })
	r.group.Wait()
}
