package peerconn

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivewind/chivewind/internal/cluster/clustertest"
	"github.com/chivewind/chivewind/peer"
)

const (
	clientAddress = "10.0.0.1:7000"
	serverAddress = "10.0.0.2:7000"
)

// startServer starts a server that counts the calls and answers each after wait.
func startServer(t *testing.T, n *clustertest.Network, calls *atomic.Int64, wait time.Duration) *Server {
	t.Helper()
	answer := func() {
		calls.Add(1)
		time.Sleep(wait)
	}
	s, err := NewServer(ServerConfig{Listener: n.Listen(serverAddress), Service: &ServiceFuncs{
		OnStatus: func(context.Context, *peer.StatusRequest) (*peer.StatusReply, error) {
			answer()
			return &peer.StatusReply{MemberId: "b"}, nil
		},
		OnLedger: func(context.Context, *peer.LedgerRequest) (*peer.LedgerReply, error) {
			answer()
			return &peer.LedgerReply{}, nil
		},
	}})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return s
}

func clientOf(t *testing.T, p *Pool) peer.DRPCPeerClient {
	t.Helper()
	c, err := p.Client(t.Context(), &peer.Member{Id: "b", PeerAddress: serverAddress})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestCalls guards against calls on a connection that failed, against retried ledger calls, and
// against dials while a usable connection is idle.
func TestCalls(t *testing.T) {
	status := func(ctx context.Context, c peer.DRPCPeerClient) error {
		_, err := c.Status(ctx, &peer.StatusRequest{})
		return err
	}
	ledger := func(ctx context.Context, c peer.DRPCPeerClient) error {
		_, err := c.Ledger(ctx, &peer.LedgerRequest{})
		return err
	}
	for _, tc := range []struct {
		desc  string
		call  func(context.Context, peer.DRPCPeerClient) error
		idle  time.Duration
		fault func(*clustertest.Network, *Server)
		want  error
		dials int64
		calls int64
	}{
		{desc: "healthy", call: status, dials: 1, calls: 2},
		{desc: "idle connection silent", call: status, dials: 2, calls: 2,
			fault: func(n *clustertest.Network, _ *Server) { n.BlackholeConns(serverAddress) }},
		{desc: "idle connection broken", call: status, dials: 2, calls: 2,
			fault: func(n *clustertest.Network, _ *Server) { n.CloseConns(serverAddress) }},
		{desc: "ledger call, connection just used goes silent", call: ledger, dials: 1, calls: 1, want: ErrOutcomeUnknown,
			fault: func(n *clustertest.Network, _ *Server) { n.BlackholeConns(serverAddress) }},
		{desc: "ledger call, connection idle for long", call: ledger, dials: 2, calls: 2, idle: 2 * time.Second,
			fault: func(n *clustertest.Network, _ *Server) { n.BlackholeConns(serverAddress) }},
		{desc: "peer cut off", call: status, dials: 2, calls: 1, want: ErrUnreachable,
			fault: func(n *clustertest.Network, _ *Server) { n.CutBoth(clientAddress, serverAddress) }},
		{desc: "peer gone", call: status, dials: 2, calls: 1, want: ErrUnreachable,
			fault: func(_ *clustertest.Network, s *Server) { _ = s.Stop(context.Background()) }},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := clustertest.NewNetwork()
				var calls atomic.Int64
				s := startServer(t, n, &calls, 0)
				p := NewPool(Config{Dial: n.Dialer(clientAddress)})
				c := clientOf(t, p)
				if err := status(t.Context(), c); err != nil {
					t.Fatal(err)
				}
				time.Sleep(tc.idle)
				if tc.fault != nil {
					tc.fault(n, s)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				err := tc.call(ctx, c)
				if !errors.Is(err, tc.want) || (tc.want == nil && err != nil) {
					t.Errorf("error %v, want %v", err, tc.want)
				}
				if got := p.counters.connections.Count(); got != tc.dials {
					t.Errorf("%d dials, want %d", got, tc.dials)
				}
				if got := calls.Load(); got != tc.calls {
					t.Errorf("server saw %d calls, want %d", got, tc.calls)
				}
				_ = p.Close()
				_ = s.Stop(context.Background())
			})
		})
	}
}

// TestTimeout guards against the reuse of a connection whose call timed out: drpc closes such a
// connection, so the next call on it would fail.
func TestTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := clustertest.NewNetwork()
		var calls atomic.Int64
		s := startServer(t, n, &calls, time.Second)
		p := NewPool(Config{Dial: n.Dialer(clientAddress)})
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		if _, err := clientOf(t, p).Status(ctx, &peer.StatusRequest{}); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("error %v, want ErrOutcomeUnknown", err)
		}
		p.mu.Lock()
		idle := len(p.idle[serverAddress])
		p.mu.Unlock()
		if idle != 0 {
			t.Errorf("%d idle connections after a timeout, want none", idle)
		}
		_ = p.Close()
		_ = s.Stop(context.Background())
	})
}

// TestIdleClose guards against idle connections that are never closed.
func TestIdleClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := clustertest.NewNetwork()
		var calls atomic.Int64
		s := startServer(t, n, &calls, 0)
		p := NewPool(Config{Dial: n.Dialer(clientAddress)})
		if _, err := clientOf(t, p).Status(t.Context(), &peer.StatusRequest{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2*DefaultIdleTimeout + time.Second)
		p.mu.Lock()
		if len(p.idle) != 0 {
			t.Errorf("%d idle connections, want none", len(p.idle))
		}
		p.mu.Unlock()
		_ = p.Close()
		_ = s.Stop(context.Background())
	})
}

// TestFullPool guards against a pool that keeps its oldest connections when it is full: recently
// used ones would be closed after each call, and each ledger call would dial.
func TestFullPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := clustertest.NewNetwork()
		var calls atomic.Int64
		s := startServer(t, n, &calls, 0)
		p := NewPool(Config{Dial: n.Dialer(clientAddress)})
		ledger := func() {
			if _, err := clientOf(t, p).Ledger(t.Context(), &peer.LedgerRequest{}); err != nil {
				t.Fatal(err)
			}
		}
		for range DefaultMaxIdle {
			ledger()
			time.Sleep(2 * nonRetryableMaxIdle)
		}
		before := p.counters.connections.Count()
		for range 3 {
			ledger()
		}
		if dials := p.counters.connections.Count() - before; dials != 1 {
			t.Errorf("%d dials for three calls in a row, want 1", dials)
		}
		_ = p.Close()
		_ = s.Stop(context.Background())
	})
}

// certificate returns a self-signed certificate for 127.0.0.1.
func certificate(t *testing.T) (tls.Certificate, *x509.Certificate) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, leaf
}

// TestMutualTLS guards against a server that accepts a client without a certificate.
func TestMutualTLS(t *testing.T) {
	cert, leaf := certificate(t)
	roots := x509.NewCertPool()
	roots.AddCert(leaf)
	s, err := NewServer(ServerConfig{
		Address: "127.0.0.1:0",
		TLS: &tls.Config{
			Certificates: []tls.Certificate{cert}, ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert,
		},
		Service: &ServiceFuncs{OnStatus: func(context.Context, *peer.StatusRequest) (*peer.StatusReply, error) {
			return &peer.StatusReply{}, nil
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer s.Stop(context.Background())
	for _, tc := range []struct {
		desc  string
		certs []tls.Certificate
		ok    bool
	}{{"with a certificate", []tls.Certificate{cert}, true}, {"without a certificate", nil, false}} {
		p := NewPool(Config{TLS: &tls.Config{RootCAs: roots, Certificates: tc.certs}})
		c, err := p.Client(t.Context(), &peer.Member{PeerAddress: s.Address()})
		if err != nil {
			t.Fatal(err)
		}
		if _, err = c.Status(t.Context(), &peer.StatusRequest{}); (err == nil) != tc.ok {
			t.Errorf("%s: error %v", tc.desc, err)
		}
		_ = p.Close()
	}
}
