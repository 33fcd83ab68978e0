package faultinjector_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// writeCertificates writes a self-signed CA certificate for peers and returns the paths of the certificate and the key.
func writeCertificates(t *testing.T) (certificate, key string) {
	is := is.New(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "peers"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		BasicConstraintsValid: true,
		IsCA:                  true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	is.NoErr(err)
	pkcs8, err := x509.MarshalPKCS8PrivateKey(private)
	is.NoErr(err)
	dir := t.TempDir()
	certificate = filepath.Join(dir, "peer.pem")
	key = filepath.Join(dir, "peer.key")
	writePEM(t, certificate, "CERTIFICATE", der)
	writePEM(t, key, "PRIVATE KEY", pkcs8)
	return certificate, key
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	is := is.New(t)
	block := &pem.Block{
		Type:  kind,
		Bytes: der,
	}
	is.NoErr(os.WriteFile(path, pem.EncodeToMemory(block), 0o600))
}

// TestMutualTLS runs a fleet with mutual TLS between nodes; clients without a peer certificate must be refused.
func TestMutualTLS(t *testing.T) {
	certificate, key := writeCertificates(t)
	x := start(t, layout{
		booking:  2,
		dispatch: 2,
		nested:   true,
		peerTLS:  fmt.Sprintf(", TLS: {CertificateFile: %q, KeyFile: %q, CAFile: %q}", certificate, key, certificate),
	})
	x.checkAllComplete(x.load(2*time.Second, time.Second, nil, x.stream("/deposits", 40)))
	clients := map[string]*http.Client{
		"plaintext": {},
		"no certificate": {
			Transport: &http.Transport{
				TLSClientConfig: &tls.Config{
					InsecureSkipVerify: true, // the server must refuse this client, not the client the server
				},
			},
		},
	}
	for name, client := range clients {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			scheme := "https"
			if name == "plaintext" {
				scheme = "http"
			}
			res, err := client.Post(scheme+"://"+x.Instances[0].Peer+"/Call", "", strings.NewReader(""))
			if err == nil {
				is.NoErr(res.Body.Close())
				is.True(res.StatusCode >= http.StatusBadRequest)
			}
		})
	}
}
