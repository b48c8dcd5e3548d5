package certs

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/certs/certstest"
)

// handshake runs a TLS handshake over a pipe and returns the errors of both sides.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	for _, c := range []net.Conn{a, b} {
		c.SetDeadline(time.Now().Add(2 * time.Second))
	}
	done := make(chan error, 1)
	go func() {
		s := tls.Server(a, server)
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte{1})
		}
		a.Close()
		done <- err
	}()
	c := tls.Client(b, client)
	clientErr = c.Handshake()
	if clientErr == nil {
		// In TLS 1.3 a server reports a rejected client certificate only after the client's handshake.
		_, clientErr = c.Read(make([]byte, 1))
	}
	b.Close()
	return <-done, clientErr
}

func mutualConfig(t *testing.T, a *certstest.Authority, name, caFile string) *tls.Config {
	t.Helper()
	cert, key, _ := a.Issue(name)
	pair, err := NewKeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	c, err := MutualConfig(pair, caFile)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestMutual guards against daemons that accept a peer with a certificate of another authority or without
// a certificate.
func TestMutual(t *testing.T) {
	dir := t.TempDir()
	ours, others := certstest.New(t, dir, "ours"), certstest.New(t, dir, "others")
	server := mutualConfig(t, ours, "server", ours.File)
	for _, c := range []struct {
		desc   string
		client *tls.Config
		ok     bool
	}{
		{"same authority", mutualConfig(t, ours, "client", ours.File), true},
		{"client of another authority", mutualConfig(t, others, "foreign", ours.File), false},
		{"client that trusts another authority", mutualConfig(t, ours, "misled", others.File), false},
		{"client without a certificate", &tls.Config{InsecureSkipVerify: true}, false},
	} {
		serverErr, clientErr := handshake(t, server, c.client)
		if ok := serverErr == nil && clientErr == nil; ok != c.ok {
			t.Errorf("%s: server %v, client %v", c.desc, serverErr, clientErr)
		}
	}
}

// TestRenewal guards against a daemon that needs a restart to use a renewed certificate, and against one
// that stops serving because a renewed file cannot be loaded.
func TestRenewal(t *testing.T) {
	a := certstest.New(t, t.TempDir(), "ours")
	cert, key, first := a.Issue("server")
	pair, err := NewKeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	serial := func() int64 {
		t.Helper()
		// Moves the last check back, so that certificate checks the file again.
		pair.lastCheck = pair.lastCheck.Add(-fileCheckInterval)
		c, err := pair.certificate()
		if err != nil {
			t.Fatal(err)
		}
		return c.Leaf.SerialNumber.Int64()
	}
	if got := serial(); got != first {
		t.Errorf("serial %d, want %d", got, first)
	}
	_, _, second := a.Issue("server")
	renewed := time.Now().Add(time.Minute)
	if err := os.Chtimes(cert, renewed, renewed); err != nil {
		t.Fatal(err)
	}
	if got := serial(); got != second {
		t.Errorf("after the renewal serial %d, want %d", got, second)
	}
	if err := errors.Join(os.WriteFile(cert, []byte("damaged"), 0o600), os.Chtimes(cert, renewed.Add(time.Minute), renewed.Add(time.Minute))); err != nil {
		t.Fatal(err)
	}
	if got := serial(); got != second {
		t.Errorf("with a damaged file serial %d, want %d", got, second)
	}
}
