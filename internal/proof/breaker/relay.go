package breaker

import (
	"io"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

const relayBuffer = 32 << 10

// Relay passes connections on to a target and can cut, freeze or silence them.
type Relay struct {
	listener net.Listener
	target   string
	group    sync.WaitGroup

	mu     sync.Mutex
	cut    bool
	conns  map[*link]bool
	closed bool
}

// link is one relayed connection; a silent one swallows all bytes and never closes.
type link struct {
	client net.Conn
	server net.Conn
	mu     sync.Mutex
	silent bool
	oneWay bool
}

// NewRelay returns a relay that listens on a free loopback address, or an error.
func NewRelay(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{
		listener: ln,
		target:   target,
		conns:    map[*link]bool{},
	}
	r.group.Go(r.accept)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
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
	l := &link{
		client: client,
		server: server,
	}
	if !r.add(l) {
		l.close()
		return
	}
	r.group.Go(func() { l.pump(l.client, l.server, false) })
	r.group.Go(func() { l.pump(l.server, l.client, true) })
}

func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[l] = true
	return true
}

// pump copies bytes one way until an end closes; a silent link reads on and passes nothing.
func (l *link) pump(from, to net.Conn, answers bool) {
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		l.mu.Lock()
		mute := l.silent || (l.oneWay && answers)
		l.mu.Unlock()
		if n > 0 && !mute {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			if errors.Is(err, io.EOF) && mute {
				return
			}
			l.close()
			return
		}
	}
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.server.Close()
}

// Silence makes each open connection silent for good; new connections work.
func (r *Relay) Silence() {
	r.each(func(l *link) { l.silent = true })
}

// Freeze stops the answers on each open connection for good; requests still pass.
func (r *Relay) Freeze() {
	r.each(func(l *link) { l.oneWay = true })
}

// SetCut closes all connections and refuses new ones while it is on.
func (r *Relay) SetCut(on bool) {
	r.mu.Lock()
	r.cut = on
	r.mu.Unlock()
	if on {
		r.each(func(l *link) { l.close() })
	}
}

func (r *Relay) each(f func(l *link)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.conns {
		l.mu.Lock()
		f(l)
		l.mu.Unlock()
	}
}

// Close ends the relay and all its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.each(func(l *link) { l.close() })
	r.group.Wait()
}
