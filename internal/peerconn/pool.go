// Package peerconn carries the peer service over TCP with optional mutual TLS: a pool of
// connections to other daemons and the server side.
//
// drpc runs one RPC at a time on a connection. A call takes an idle connection or dials a new one,
// and each stream has its own connection. A connection in doubt is never used again: a call that
// fails on the transport or times out closes its connection.
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

// Errors of a call. Remote errors of the service are returned as they are.
var (
	// ErrUnreachable means that no connection could be made; the call did not run.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrInDoubt means that a connection failed during a call; the call may have run.
	ErrInDoubt = errors.New("peer connection failed during the call")
	errClosed  = errors.New("connection pool is closed")
)

// Defaults of a pool.
const (
	DefaultDialTimeout = time.Second
	DefaultCallTimeout = 3 * time.Second
	DefaultIdleTimeout = 30 * time.Second
	DefaultMaxIdle     = 4
	// freshIdle is how long a connection may have been idle for a call that must not be repeated.
	freshIdle = time.Second
	// maxMessage bounds a message; the largest are documents of up to 1 MB each.
	maxMessage = 8 << 20
)

// Config holds what a pool needs. Zero durations and counts mean the defaults.
type Config struct {
	// TLS enables mutual TLS.
	TLS *tls.Config
	// Dial replaces the TCP dialer, for tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout bounds a dial with its TLS handshake, and CallTimeout a call.
	DialTimeout time.Duration
	CallTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept, and MaxIdle how many per daemon.
	IdleTimeout time.Duration
	MaxIdle     int
	Metrics     metrics.Registry
}

// Pool implements cluster.Peers.
type Pool struct {
	cfg   Config
	count counters
	now   func() time.Time

	mu     sync.Mutex
	idle   map[string][]*idleConn
	closed bool
	sweep  *time.Timer
}

var _ cluster.Peers = (*Pool)(nil)

// idleConn is a connection without an RPC.
type idleConn struct {
	*drpcconn.Conn
	since time.Time
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
	return &Pool{cfg: cfg, count: newCounters(cfg.Metrics, "peer.client."), now: time.Now, idle: map[string][]*idleConn{}}
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

// Close closes idle connections and refuses new ones. Calls in progress finish.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[string][]*idleConn{}
	if p.sweep != nil {
		p.sweep.Stop()
	}
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	return nil
}

// take returns an idle connection that was used within maxIdle, or nil.
func (p *Pool) take(address string, maxIdle time.Duration) *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		if p.now().Sub(c.since) > maxIdle {
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

// put returns a healthy connection to the pool.
func (p *Pool) put(address string, c *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || isClosed(c) {
		go func() { _ = c.Close() }()
		return
	}
	list := p.idle[address]
	if len(list) >= p.cfg.MaxIdle {
		// The oldest goes: calls that must not be repeated use only fresh connections.
		oldest := list[0]
		list = list[1:]
		go func() { _ = oldest.Close() }()
	}
	p.idle[address] = append(list, &idleConn{Conn: c, since: p.now()})
	if p.sweep == nil {
		p.sweep = time.AfterFunc(p.cfg.IdleTimeout, p.closeIdle)
	}
}

// discard closes the idle connections to an address that has just failed.
func (p *Pool) discard(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// closeIdle closes connections that were idle for too long.
func (p *Pool) closeIdle() {
	var old []*idleConn
	p.mu.Lock()
	for address, list := range p.idle {
		keep := 0
		for keep < len(list) && (p.now().Sub(list[keep].since) >= p.cfg.IdleTimeout || isClosed(list[keep].Conn)) {
			keep++
		}
		old = append(old, list[:keep]...)
		p.idle[address] = list[keep:]
		if keep == len(list) {
			delete(p.idle, address)
		}
	}
	p.sweep = nil
	if len(p.idle) > 0 && !p.closed {
		p.sweep = time.AfterFunc(p.cfg.IdleTimeout, p.closeIdle)
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// dial makes a connection.
func (p *Pool) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	p.mu.Lock()
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return nil, errClosed
	}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	p.count.dials.Inc(1)
	raw, err := p.cfg.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	var conn net.Conn = &countingConn{Conn: raw, count: &p.count}
	if p.cfg.TLS != nil {
		secure := tls.Client(conn, tlsFor(p.cfg.TLS, address))
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, err
		}
		conn = secure
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage}}
}

// tlsFor names the server that the certificate must match: the address that is dialed.
func tlsFor(base *tls.Config, address string) *tls.Config {
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
