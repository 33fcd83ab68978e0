package connector

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivegauge/chivegauge/internal/stream/carrier"
	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Config is how connections to one address are made and kept.
type Config struct {
	// Address is where to connect.
	Address string

	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration

	// Silence is the time without acknowledgement after which the other end is taken as gone.
	Silence time.Duration

	// KeepFor is how long an unused connection is kept where the other end does not say.
	KeepFor time.Duration

	// Attempt is the header that the other end repeats, empty if it does not.
	Attempt string

	// HoldBytes is the part of an answer that is read before it is handed on.
	HoldBytes int64
}

// idleMax is the number of unused connections that are kept.
const idleMax = 256

// Error is a failed exchange.
type Error struct {
	// Sent says that the request may have reached the other end.
	Sent  bool
	Cause error
}

// Error returns the cause.
func (e *Error) Error() string {
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Connector exchanges requests with one address.
type Connector interface {
	// Exchange sends the request once and returns the answer, or an *Error.
	Exchange(ctx context.Context, r *carrier.Request) (*carrier.Answer, error)
	// Drop closes the unused connections.
	Drop()
	// Dials returns the number of connections made.
	Dials() uint64
}

type connector struct {
	cfg    Config
	dialer net.Dialer
	dials  atomic.Uint64

	mu   sync.Mutex
	idle []*conn
}

// New returns a connector without connections.
func New(cfg Config) Connector {
	c := &connector{
		cfg: cfg,
	}
	c.dialer = net.Dialer{
		Timeout: cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     max(time.Second, cfg.Silence/2),
			Interval: time.Second,
			Count:    max(1, int(cfg.Silence/2/time.Second)),
		},
	}
	return c
}

// Dials returns the number of connections made.
func (c *connector) Dials() uint64 {
	return c.dials.Load()
}

// Drop closes the unused connections.
func (c *connector) Drop() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, k := range idle {
		_ = k.nc.Close()
	}
}

// Exchange sends the request over the connection used last, or over a new one.
func (c *connector) Exchange(ctx context.Context, r *carrier.Request) (*carrier.Answer, error) {
	k, err := c.take(ctx)
	if err != nil {
		return nil, &Error{
			Cause: err,
		}
	}
	a, err := k.exchange(ctx, r)
	if err != nil {
		_ = k.nc.Close()
		return nil, &Error{
			Sent:  true,
			Cause: err,
		}
	}
	return a, nil
}

// take returns a kept connection that is still good, or a new one.
func (c *connector) take(ctx context.Context) (*conn, error) {
	for {
		k := c.pop()
		if k == nil {
			return c.dial(ctx)
		}
		if time.Since(k.since) < k.keepFor && k.quiet() {
			return k, nil
		}
		_ = k.nc.Close()
	}
}

func (c *connector) pop() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.idle) - 1
	if last < 0 {
		return nil
	}
	k := c.idle[last]
	c.idle[last] = nil
	c.idle = c.idle[:last]
	return k
}

func (c *connector) dial(ctx context.Context) (*conn, error) {
	nc, err := c.dialer.DialContext(ctx, "tcp", c.cfg.Address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	c.dials.Add(1)
	if err := setSilence(nc, c.cfg.Silence); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return newConn(c, nc), nil
}

// setSilence makes the system give a connection up whose bytes are not acknowledged in time.
func setSilence(nc net.Conn, d time.Duration) error {
	tc, ok := nc.(*net.TCPConn)
	if !ok || d == 0 {
		return nil
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "reach socket")
	}
	set := error(nil)
	control := func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	}
	if err := raw.Control(control); err != nil {
		return errors.Wrap(err, "reach socket")
	}
	if set != nil {
		return errors.Wrap(set, "set user timeout")
	}
	return nil
}

// keep takes an unused connection back; the one unused for longest makes room.
func (c *connector) keep(k *conn) {
	k.since = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= idleMax {
		_ = c.idle[0].nc.Close()
		c.idle = append(c.idle[:0], c.idle[1:]...)
	}
	c.idle = append(c.idle, k)
}
