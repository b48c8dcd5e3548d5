// Package certs builds TLS configurations from certificate files and reloads renewed certificates
// without a restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"
)

// fileCheckInterval is the minimum time between checks whether the certificate file has changed.
const fileCheckInterval = 10 * time.Second

// KeyPair is a certificate and its private key. It is reloaded when the certificate file changes.
type KeyPair struct {
	certFile, keyFile string

	// mu guards the fields below. It is held while the two files are read, since they are small.
	mu        sync.Mutex
	current   *tls.Certificate
	modTime   time.Time
	lastCheck time.Time
}

// NewKeyPair loads a certificate and its private key from PEM files.
func NewKeyPair(certFile, keyFile string) (*KeyPair, error) {
	p := &KeyPair{certFile: certFile, keyFile: keyFile}
	_, err := p.certificate()
	return p, err
}

// certificate returns the current certificate. It reloads the pair first if the certificate file has changed. If
// a renewed pair cannot be loaded, the previous one stays in use.
func (p *KeyPair) certificate() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil && time.Since(p.lastCheck) < fileCheckInterval {
		return p.current, nil
	}
	p.lastCheck = time.Now()
	info, err := os.Stat(p.certFile)
	if err == nil && p.current != nil && info.ModTime().Equal(p.modTime) {
		return p.current, nil
	}
	cert, loadErr := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if loadErr != nil {
		if p.current != nil {
			return p.current, nil
		}
		return nil, oops.With("step", "read the certificate").With("file", p.certFile).Wrap(loadErr)
	}
	p.current = &cert
	if err == nil {
		p.modTime = info.ModTime()
	}
	return p.current, nil
}

// ServerConfig returns the TLS configuration of the listeners for callers and operators.
func ServerConfig(p *KeyPair) *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.certificate() },
	}
}

// MutualConfig returns the mutual TLS configuration for both sides of connections between daemons. Both sides
// verify that the peer's certificate chains to the authority in caFile. The name in the certificate is
// not verified, because daemons are addressed by IP.
func MutualConfig(p *KeyPair, caFile string) (*tls.Config, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, oops.With("step", "read the certificate authority").Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, oops.With("step", "read the certificate authority").With("file", caFile).Errorf("no certificate in the file")
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		ClientAuth:           tls.RequireAndVerifyClientCert,
		ClientCAs:            pool,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.certificate() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.certificate() },
		// The standard verification also compares host names; VerifyConnection verifies only the chain.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyChain(s, pool) },
	}, nil
}

// verifyChain verifies that the peer's certificate chains to one of the roots.
func verifyChain(s tls.ConnectionState, roots *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return oops.With("step", "verify the peer's certificate").Errorf("the peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
