// Package certstest makes certificates for tests.
package certstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Authority is a certificate authority that signs certificates for 127.0.0.1.
type Authority struct {
	t    testing.TB
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	next int64
	// File is the authority's certificate.
	File string
}

// New returns an authority that keeps its files in dir.
func New(t testing.TB, dir, name string) *Authority {
	t.Helper()
	a := &Authority{t: t, dir: dir, next: 1, File: filepath.Join(dir, name+"-ca.crt")}
	template := a.template(name)
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	a.key = a.newKey()
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.write(a.File, "CERTIFICATE", der)
	return a
}

// Issue writes a certificate and its key, replacing files of the same name. It returns the serial.
func (a *Authority) Issue(name string) (certFile, keyFile string, serial int64) {
	a.t.Helper()
	template := a.template(name)
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	key := a.newKey()
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	rawKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	certFile, keyFile = filepath.Join(a.dir, name+".crt"), filepath.Join(a.dir, name+".key")
	a.write(keyFile, "EC PRIVATE KEY", rawKey)
	a.write(certFile, "CERTIFICATE", der)
	return certFile, keyFile, template.SerialNumber.Int64()
}

func (a *Authority) template(name string) *x509.Certificate {
	a.next++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.next), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
}

func (a *Authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return key
}

func (a *Authority) write(file, kind string, der []byte) {
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}
