// Package certstest issues certificates for tests.
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

// Authority is a certificate authority that issues certificates for 127.0.0.1.
type Authority struct {
	t          testing.TB
	dir        string
	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	lastSerial int64
	// File is the path of the authority's certificate.
	File string
}

// New returns an authority that writes its certificate, and those that it issues, to dir.
func New(t testing.TB, dir, name string) *Authority {
	t.Helper()
	a := &Authority{t: t, dir: dir, lastSerial: 1, File: filepath.Join(dir, name+"-ca.crt")}
	template := a.newTemplate(name)
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
	a.writePEM(a.File, "CERTIFICATE", der)
	return a
}

// Issue writes a certificate and its private key as PEM files, replacing earlier files of the same name. It
// returns their paths and the serial number.
func (a *Authority) Issue(name string) (certFile, keyFile string, serial int64) {
	a.t.Helper()
	template := a.newTemplate(name)
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
	a.writePEM(keyFile, "EC PRIVATE KEY", rawKey)
	a.writePEM(certFile, "CERTIFICATE", der)
	return certFile, keyFile, template.SerialNumber.Int64()
}

func (a *Authority) newTemplate(name string) *x509.Certificate {
	a.lastSerial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.lastSerial), Subject: pkix.Name{CommonName: name},
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

func (a *Authority) writePEM(file, kind string, der []byte) {
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}
