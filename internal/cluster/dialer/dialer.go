package dialer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/chivegauge/chivegauge/internal/base/validator"
	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
)

const (
	idleTimeout  = 30 * time.Second
	idlePerPeer  = 2   // idle connections
	idleTotal    = 256 // idle connections
	dialTimeout  = time.Second
	schemePlain  = "http://"
	schemeSecure = "https://"

	// headMaxBytes and bodyMaxBytes are the maximum sizes of the head and the body of a response.
	headMaxBytes = 64 << 10
	bodyMaxBytes = 16 << 20
)

// Dialer creates control clients and counts the bytes that they send and receive.
type Dialer interface {
	// Control returns a client for the node at the address.
	Control(address string) messenger.Control
	// Bytes returns the number of bytes sent and received since the dialer was created.
	Bytes() (sent, received uint64)
}

type dialer struct {
	scheme   string
	client   *http.Client
	sent     atomic.Uint64
	received atomic.Uint64
}

// New returns a dialer that uses the TLS configuration, or plaintext if it is nil.
func New(cfg *tls.Config) Dialer {
	d := &dialer{
		scheme: schemePlain,
	}
	if cfg != nil {
		d.scheme = schemeSecure
	}
	d.client = &http.Client{
		Transport: &boundedTransport{
			RoundTripper: validator.NewTransport(&http.Transport{
				TLSClientConfig:        cfg,
				DialContext:            d.dial,
				MaxIdleConnsPerHost:    idlePerPeer,
				MaxIdleConns:           idleTotal,
				IdleConnTimeout:        idleTimeout,
				DisableCompression:     true,
				MaxResponseHeaderBytes: headMaxBytes,
			}),
		},
	}
	return d
}

// boundedTransport bounds the bodies of responses, which a client reads into memory.
type boundedTransport struct {
	http.RoundTripper
}

// RoundTrip sends the request; reading more than bodyMaxBytes of its response fails.
func (b *boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := b.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	res.Body = http.MaxBytesReader(nil, res.Body, bodyMaxBytes)
	return res, nil
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	nd := &net.Dialer{
		Timeout: dialTimeout,
	}
	conn, err := nd.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{
		Conn:   conn,
		dialer: d,
	}, nil
}

// Control returns a client for the node at the address.
func (d *dialer) Control(address string) messenger.Control {
	return messenger.NewControlProtobufClient(d.scheme+address, d.client)
}

// Bytes returns the number of bytes sent and received.
func (d *dialer) Bytes() (uint64, uint64) {
	return d.sent.Load(), d.received.Load()
}

// countedConn is a connection whose bytes the dialer counts.
type countedConn struct {
	net.Conn
	dialer *dialer
}

// Read counts the bytes received.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.dialer.received.Add(uint64(n))
	return n, err
}

// Write counts the bytes sent.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.dialer.sent.Add(uint64(n))
	return n, err
}
