package standin

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
	"os"
	"path/filepath"
	"time"
)

const (
	// certificateLifetime is long enough for a demo or a day of tests.
	certificateLifetime = 24 * time.Hour
	// certificateBackdate tolerates clocks that differ.
	certificateBackdate = time.Hour
)

// Names of the files that WriteFiles writes.
const (
	CertificateFile = "service.crt"
	PrivateKeyFile  = "service.key"
)

// Certificate is a self-signed certificate of a service, for tests and the demo.
type Certificate struct {
	// CertPEM and KeyPEM are the PEM forms of the certificate and its private key.
	CertPEM, KeyPEM []byte
}

// NewCertificate issues a certificate for the DNS names and for 127.0.0.1.
func NewCertificate(names ...string) (Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Certificate{}, fmt.Errorf("generating key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: "endiveflow stand-in"},
		NotBefore:             time.Now().Add(-certificateBackdate),
		NotAfter:              time.Now().Add(certificateLifetime),
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		IsCA:                  true,
		BasicConstraintsValid: true,
		DNSNames:              names,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return Certificate{}, fmt.Errorf("signing certificate: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Certificate{}, fmt.Errorf("encoding key: %w", err)
	}
	return Certificate{
		CertPEM: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		KeyPEM:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// ServerTLS returns the TLS configuration of a server that uses the certificate.
func (c Certificate) ServerTLS() (*tls.Config, error) {
	pair, err := tls.X509KeyPair(c.CertPEM, c.KeyPEM)
	if err != nil {
		return nil, fmt.Errorf("loading certificate: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}, nil
}

// ClientTLS returns the TLS configuration of a client that trusts only the certificate.
func (c Certificate) ClientTLS(serverName string) *tls.Config {
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(c.CertPEM)
	return &tls.Config{RootCAs: pool, ServerName: serverName, MinVersion: tls.VersionTLS13}
}

// WriteFiles writes the certificate and its key into a directory.
func (c Certificate) WriteFiles(dir string) error {
	if err := os.WriteFile(filepath.Join(dir, CertificateFile), c.CertPEM, 0o600); err != nil {
		return fmt.Errorf("writing certificate: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, PrivateKeyFile), c.KeyPEM, 0o600); err != nil {
		return fmt.Errorf("writing private key: %w", err)
	}
	return nil
}
