package certloader

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/chivegauge/chivegauge/internal/base/loader"
	"github.com/go-faster/errors"
)

// Server returns the TLS configuration of a listener for callers or operators, nil for plaintext, or an error if the
// certificate can't be loaded.
func Server(t loader.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"http/1.1"},
	}, nil
}

// Peer returns the TLS configurations of the peer listener and of the client that connects to other nodes, nil for
// plaintext, or an error if a certificate can't be loaded.
func Peer(t loader.TLS) (server, client *tls.Config, err error) {
	server, err = Server(t)
	if err != nil || server == nil {
		return nil, nil, err
	}
	pem, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, errors.Errorf("%s holds no certificate", t.CAFile)
	}
	server.ClientAuth = tls.RequireAndVerifyClientCert
	server.ClientCAs = pool
	client = &tls.Config{
		Certificates:       server.Certificates,
		RootCAs:            pool,
		MinVersion:         tls.VersionTLS13,
		ClientSessionCache: tls.NewLRUClientSessionCache(0),
	}
	return server, client, nil
}
