// Package peerconn implements the connection pool and the server of the peer service, over TCP with
// optional mutual TLS.
//
// drpc runs one RPC at a time on a connection. A call uses an idle connection or dials a new one,
// and each stream has its own connection. A connection on which a call failed in the transport, timed
// out or was canceled is closed and never reused.
package peerconn

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/chivewind/chivewind/internal/cluster"
	"github.com/chivewind/chivewind/peer"
)

// Errors of a call. Errors of the remote service are returned unchanged.
var (
	// ErrUnreachable means that no connection was established. The call did not run, except that a call
	// that may be retried may have run on an idle connection that failed before.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrOutcomeUnknown means that the connection failed during a call, or that the call timed out or
	// was canceled. The call may have run.
	ErrOutcomeUnknown = errors.New("peer connection failed during the call")
	errClosed         = errors.New("connection pool is closed")
)

// Defaults of a pool.
const (
	DefaultDialTimeout = time.Second
	DefaultCallTimeout = 3 * time.Second
	DefaultIdleTimeout = 30 * time.Second
	DefaultMaxIdle     = 4
	// nonRetryableMaxIdle is the maximum idle time of a connection that is reused for a call that
	// must not be retried. Such a call fails if the idle connection turns out to be broken.
	nonRetryableMaxIdle = time.Second
	// maxMessageBytes bounds a message. The largest ones carry several documents of the configuration,
	// each of which has at most platform.MaxValueSize bytes (1 MiB).
	maxMessageBytes = 8 << 20
)

// Config configures a Pool. Zero durations and counts mean the defaults.
type Config struct {
	// TLS enables mutual TLS.
	TLS *tls.Config
	// Dial replaces the TCP dialer, for tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout bounds a dial including its TLS handshake, and CallTimeout bounds a call.
	DialTimeout time.Duration
	CallTimeout time.Duration
	// IdleTimeout is how long an idle connection may be reused; it is closed within twice that time.
	// MaxIdle is how many idle connections are kept per daemon.
	IdleTimeout time.Duration
	MaxIdle     int
	Metrics     metrics.Registry
}

// Pool implements cluster.Peers.
type Pool struct {
	cfg      Config
	counters counters
	now      func() time.Time

	mu         sync.Mutex
	idle       map[string][]*idleConn
	closed     bool
	sweepTimer *time.Timer
}

var _ cluster.Peers = (*Pool)(nil)

// idleConn is an open connection that is not in use.
type idleConn struct {
	*drpcconn.Conn
	idleSince time.Time
}

// NewPool returns a pool without connections.
func NewPool(cfg Config) *Pool {
	if cfg.Dial == nil {
		dialer := &net.Dialer{}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	setDefault(&cfg.DialTimeout, DefaultDialTimeout)
	setDefault(&cfg.CallTimeout, DefaultCallTimeout)
	setDefault(&cfg.IdleTimeout, DefaultIdleTimeout)
	setDefault(&cfg.MaxIdle, DefaultMaxIdle)
	return &Pool{
		cfg: cfg, counters: newCounters(cfg.Metrics, "peer.client."), now: time.Now, idle: map[string][]*idleConn{},
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Client implements cluster.Peers. The client dials on its first call.
func (p *Pool) Client(_ context.Context, member *peer.Member) (peer.DRPCPeerClient, error) {
	if member == nil || member.PeerAddress == "" {
		return nil, oops.With("step", "find peer address").With("peer", member.GetId()).Wrap(ErrUnreachable)
	}
	return peer.NewDRPCPeerClient(&client{pool: p, address: member.PeerAddress}), nil
}

// Close closes the idle connections and refuses new ones. Calls in progress finish.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[string][]*idleConn{}
	if p.sweepTimer != nil {
		p.sweepTimer.Stop()
	}
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	return nil
}

// takeIdle returns an idle connection that was last used within maxIdle, or nil.
func (p *Pool) takeIdle(address string, maxIdle time.Duration) *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		if p.now().Sub(c.idleSince) > maxIdle {
			return nil
		}
		list = list[:len(list)-1]
		p.idle[address] = list
		if !isClosed(c.Conn) {
			return c.Conn
		}
	}
	return nil
}

// putIdle returns a reusable connection to the pool.
func (p *Pool) putIdle(address string, c *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || isClosed(c) {
		go func() { _ = c.Close() }()
		return
	}
	list := p.idle[address]
	if len(list) >= p.cfg.MaxIdle {
		// The oldest is closed, since calls that must not be retried use only recently used ones.
		oldest := list[0]
		list = list[1:]
		go func() { _ = oldest.Close() }()
	}
	p.idle[address] = append(list, &idleConn{Conn: c, idleSince: p.now()})
	if p.sweepTimer == nil {
		p.sweepTimer = time.AfterFunc(p.cfg.IdleTimeout, p.closeExpired)
	}
}

// closeIdleTo closes the idle connections to an address after a failure.
func (p *Pool) closeIdleTo(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// closeExpired closes the connections that have been idle for IdleTimeout, and schedules the next
// sweep.
func (p *Pool) closeExpired() {
	var old []*idleConn
	p.mu.Lock()
	for address, list := range p.idle {
		keep := 0
		for keep < len(list) && (p.now().Sub(list[keep].idleSince) >= p.cfg.IdleTimeout || isClosed(list[keep].Conn)) {
			keep++
		}
		old = append(old, list[:keep]...)
		p.idle[address] = list[keep:]
		if keep == len(list) {
			delete(p.idle, address)
		}
	}
	p.sweepTimer = nil
	if len(p.idle) > 0 && !p.closed {
		p.sweepTimer = time.AfterFunc(p.cfg.IdleTimeout, p.closeExpired)
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// dial opens a connection. It fails after Close.
func (p *Pool) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	p.mu.Lock()
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return nil, errClosed
	}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	p.counters.connections.Inc(1)
	raw, err := p.cfg.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	var conn net.Conn = &countingConn{Conn: raw, counters: &p.counters}
	if p.cfg.TLS != nil {
		tlsConn := tls.Client(conn, tlsConfigFor(p.cfg.TLS, address))
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, err
		}
		conn = tlsConn
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// tlsConfigFor returns a copy of base with the host of the dialed address as the server name, or base
// itself if it has a server name or the address has no port.
func tlsConfigFor(base *tls.Config, address string) *tls.Config {
	if base.ServerName != "" {
		return base
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return base
	}
	c := base.Clone()
	c.ServerName = host
	return c
}

func isClosed(c drpc.Conn) bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}
