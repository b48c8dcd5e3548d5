package clustertest

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// errRefused is the error of a dial to an address without a listener.
var errRefused = errors.New("connection refused")

// Network is an in-memory network with fault injection for tests in virtual time. Daemons are
// identified by their addresses. A cut is directional: datagrams are dropped, open connections that
// write across it are blackholed for good, and dials block until their context is done.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
	datagrams map[string]*Datagrams
	conns     []*conn
	cuts      map[direction]bool
}

type direction struct{ from, to string }

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*Listener{}, datagrams: map[string]*Datagrams{}, cuts: map[direction]bool{},
	}
}

// Cut drops all traffic from one address to another.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[direction{from, to}] = true
}

// CutBoth drops all traffic between two addresses in both directions.
func (n *Network) CutBoth(a, b string) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// Heal removes all cuts. Connections that lost bytes stay blackholed.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

// CloseConns closes the connections of an address, as the exit of its process does.
func (n *Network) CloseConns(address string) {
	for _, c := range n.connsOf(address) {
		_ = c.Close()
	}
}

// BlackholeConns blackholes the existing connections of an address for good; new connections work.
func (n *Network) BlackholeConns(address string) {
	for _, c := range n.connsOf(address) {
		c.out.blackhole()
	}
}

// connsOf returns both ends of the connections of an address.
func (n *Network) connsOf(address string) []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var conns []*conn
	for _, c := range n.conns {
		if c.local == address || c.remote == address {
			conns = append(conns, c)
		}
	}
	return conns
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[direction{from, to}]
}

// Listen accepts connections to an address.
func (n *Network) Listen(address string) *Listener {
	l := &Listener{network: n, address: address, accept: make(chan net.Conn, 64), done: make(chan struct{})}
	n.mu.Lock()
	n.listeners[address] = l
	n.mu.Unlock()
	return l
}

// Dialer returns a function that dials from an address. A dial across a cut in either direction blocks
// until its context is done.
func (n *Network) Dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if n.isCut(from, to) || n.isCut(to, from) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil {
			return nil, errRefused
		}
		inbound, outbound := newStream(), newStream()
		dialed := &conn{network: n, local: from, remote: to, in: inbound, out: outbound}
		accepted := &conn{network: n, local: to, remote: from, in: outbound, out: inbound}
		select {
		case l.accept <- accepted:
		case <-l.done:
			return nil, errRefused
		}
		n.mu.Lock()
		n.conns = append(n.conns, dialed, accepted)
		n.mu.Unlock()
		return dialed, nil
	}
}

// Listener is a net.Listener of a Network.
type Listener struct {
	network *Network
	address string
	accept  chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
		l.network.mu.Unlock()
		close(l.done)
	})
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return addr(l.address) }

// addr is an address in the network.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "memory" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

// conn is one end of a connection.
type conn struct {
	network       *Network
	local, remote string
	in, out       *stream
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	return c.out.write(b, c.network.isCut(c.local, c.remote))
}

// Close implements net.Conn. The other end reads to the end of its data and then gets net.ErrClosed,
// unless the direction towards it is cut.
func (c *conn) Close() error {
	c.in.close()
	if !c.network.isCut(c.local, c.remote) {
		c.out.close()
	}
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return addr(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }

// SetDeadline implements net.Conn; deadlines are not supported.
func (c *conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// stream is the byte stream of one direction of a connection.
type stream struct {
	mu         sync.Mutex
	wake       *sync.Cond
	data       []byte
	closed     bool
	blackholed bool
}

func newStream() *stream {
	s := &stream{}
	s.wake = sync.NewCond(&s.mu)
	return s
}

func (s *stream) read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.data) == 0 && !s.closed {
		s.wake.Wait()
	}
	if len(s.data) == 0 {
		return 0, net.ErrClosed
	}
	n := copy(b, s.data)
	s.data = s.data[n:]
	return n, nil
}

func (s *stream) write(b []byte, cut bool) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, net.ErrClosed
	}
	s.blackholed = s.blackholed || cut
	if !s.blackholed {
		s.data = append(s.data, b...)
		s.wake.Broadcast()
	}
	return len(b), nil
}

func (s *stream) blackhole() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blackholed = true
}

func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.wake.Broadcast()
}
