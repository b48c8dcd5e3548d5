// Package certs builds TLS configurations from files and reads renewed files without a restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"
)

// checkInterval is the time between looks at the files.
const checkInterval = 10 * time.Second

// Pair is a certificate with its key, read again when its files change.
type Pair struct {
	certFile, keyFile string

	// mu guards the fields below. It is held over the read of two small files.
	mu       sync.Mutex
	current  *tls.Certificate
	modified time.Time
	checked  time.Time
}

// NewPair reads the files.
func NewPair(certFile, keyFile string) (*Pair, error) {
	p := &Pair{certFile: certFile, keyFile: keyFile}
	_, err := p.get()
	return p, err
}

// get returns the newest readable certificate. A renewed pair that cannot be read leaves the old one.
func (p *Pair) get() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil && time.Since(p.checked) < checkInterval {
		return p.current, nil
	}
	p.checked = time.Now()
	info, err := os.Stat(p.certFile)
	if err == nil && p.current != nil && info.ModTime().Equal(p.modified) {
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
		p.modified = info.ModTime()
	}
	return p.current, nil
}

// Server returns a configuration for callers and operators.
func Server(p *Pair) *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.get() },
	}
}

// Mutual returns a configuration for both sides of connections between daemons. The name in a
// daemon's certificate is not compared, because daemons are addressed by IP; the chain must end at
// the given authority.
func Mutual(p *Pair, caFile string) (*tls.Config, error) {
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
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.get() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.get() },
		// The standard check compares names; VerifyConnection checks the chain alone.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyChain(s, pool) },
	}, nil
}

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
