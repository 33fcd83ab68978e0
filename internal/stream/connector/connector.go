package connector

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Config configures the connections to one address.
type Config struct {
	// Address is the TCP address of the peer, as host:port.
	Address string

	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration

	// AckTimeout is the time without a TCP acknowledgement, of data or of keepalive probes, after which the connection
	// fails; 0 sets no limit for data.
	AckTimeout time.Duration

	// IdleTimeout is how long an idle connection is kept if the peer sends no Keep-Alive timeout.
	IdleTimeout time.Duration

	// AttemptHeader is the name of the header that the peer copies from the request into its response; empty if it does
	// not.
	AttemptHeader string

	// BodyBufferBytes is the number of bytes of a response body that are read into memory before Exchange returns.
	BodyBufferBytes int64
}

// idleConnsMax is the maximum number of idle connections to one address.
const idleConnsMax = 256

// Error is returned for a failed exchange.
type Error struct {
	// Sent says that the request may have reached the peer.
	Sent  bool
	Cause error
}

// Error returns the message of the cause.
func (e *Error) Error() string {
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Connector sends requests to one address.
type Connector interface {
	// Exchange sends the request once and returns the response, or an *Error.
	Exchange(ctx context.Context, r *streamer.Request) (*streamer.Response, error)
	// Connect establishes a connection and keeps it idle.
	Connect(ctx context.Context) error
	// CloseIdle closes the idle connections.
	CloseIdle()
	// Dials returns the number of connections established so far.
	Dials() uint64
}

type connector struct {
	cfg    Config
	dialer net.Dialer
	dials  atomic.Uint64

	mu   sync.Mutex
	idle []*conn
}

// New returns a connector that has no connections yet.
func New(cfg Config) Connector {
	c := &connector{
		cfg: cfg,
	}
	c.dialer = net.Dialer{
		Timeout: cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     max(time.Second, cfg.AckTimeout/2),
			Interval: time.Second,
			Count:    max(1, int(cfg.AckTimeout/2/time.Second)),
		},
	}
	return c
}

// Dials returns the number of connections established so far.
func (c *connector) Dials() uint64 {
	return c.dials.Load()
}

// CloseIdle closes the idle connections.
func (c *connector) CloseIdle() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, k := range idle {
		_ = k.nc.Close()
	}
}

// Connect establishes a connection and keeps it idle.
func (c *connector) Connect(ctx context.Context) error {
	k, err := c.dial(ctx)
	if err != nil {
		return err
	}
	c.putIdle(k)
	return nil
}

// Exchange sends the request over the most recently used idle connection, or over a new one.
func (c *connector) Exchange(ctx context.Context, r *streamer.Request) (*streamer.Response, error) {
	k, err := c.acquire(ctx)
	if err != nil {
		return nil, &Error{
			Cause: err,
		}
	}
	response, err := k.exchange(ctx, r)
	if err != nil {
		_ = k.nc.Close()
		return nil, &Error{
			Sent:  true,
			Cause: err,
		}
	}
	return response, nil
}

// acquire returns an idle connection that is still usable, or a new one; it closes those that are not.
func (c *connector) acquire(ctx context.Context) (*conn, error) {
	for {
		k := c.popIdle()
		if k == nil {
			return c.dial(ctx)
		}
		if time.Since(k.idleSince) < k.idleTimeout && k.reusable() {
			return k, nil
		}
		_ = k.nc.Close()
	}
}

func (c *connector) popIdle() *conn {
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
	if err := setUserTimeout(nc, c.cfg.AckTimeout); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return newConn(c, nc), nil
}

// setUserTimeout makes the kernel close the connection once sent data has been unacknowledged for d; 0 changes nothing.
func setUserTimeout(nc net.Conn, d time.Duration) error {
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

// putIdle adds the connection to the idle ones, and closes the one that has been idle longest if there are too many.
func (c *connector) putIdle(k *conn) {
	k.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= idleConnsMax {
		_ = c.idle[0].nc.Close()
		c.idle = append(c.idle[:0], c.idle[1:]...)
	}
	c.idle = append(c.idle, k)
}
