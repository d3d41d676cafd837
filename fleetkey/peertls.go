package fleetkey

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"time"
)

// peerCertLifetime is far longer than the lifetime of a VM; certificates are revoked by key rotation.
const peerCertLifetime = 10 * 365 * 24 * time.Hour

// PeerTLS returns the TLS configuration for connections between processes of the fleet, for both client and
// server. Each process issues its own certificate, signed by a certificate authority whose key every
// process derives from the fleet key, so that no issuing service is needed. ip is the process's own
// address.
func (r *Ring) PeerTLS(ip netip.Addr, protocols ...string) (*tls.Config, error) {
	pool := x509.NewCertPool()
	for _, id := range r.IDs() {
		ca, _, err := r.peerAuthority(id)
		if err != nil {
			return nil, fmt.Errorf("creating peer authority %d: %w", id, err)
		}
		pool.AddCert(ca)
	}
	cert, err := r.peerCertificate(ip)
	if err != nil {
		return nil, fmt.Errorf("issuing peer certificate: %w", err)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
	}, nil
}

// peerAuthority returns the certificate authority derived from a fleet key. Ed25519 signatures are
// deterministic, so every process generates the same certificate.
func (r *Ring) peerAuthority(id uint8) (*x509.Certificate, ed25519.PrivateKey, error) {
	seed, err := r.Derive(id, PurposePeer, "authority", ed25519.SeedSize)
	if err != nil {
		return nil, nil, err
	}
	key := ed25519.NewKeyFromSeed(seed)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(int64(id) + 1),
		Subject:               pkix.Name{CommonName: fmt.Sprintf("endiveflow peers %d", id)},
		NotBefore:             time.Unix(0, 0),
		NotAfter:              time.Unix(0, 0).AddDate(100, 0, 0),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(nil, template, template, key.Public(), key)
	if err != nil {
		return nil, nil, fmt.Errorf("signing authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, nil, fmt.Errorf("parsing authority: %w", err)
	}
	return cert, key, nil
}

func (r *Ring) peerCertificate(ip netip.Addr) (tls.Certificate, error) {
	ca, caKey, err := r.peerAuthority(r.active)
	if err != nil {
		return tls.Certificate{}, err
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("generating key: %w", err)
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("generating serial number: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: "endiveflow peer " + ip.String()},
		// The clocks of VMs differ; an allowance of an hour lets peers with a slow clock accept a new
		// process.
		NotBefore:   time.Now().Add(-time.Hour),
		NotAfter:    time.Now().Add(peerCertLifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{ip.AsSlice()},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca, public, caKey)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("signing: %w", err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}
