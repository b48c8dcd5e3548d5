// Package clustertest holds an in-memory network with faults and a fake of the membership view, for
// tests in virtual time of code that talks to other daemons.
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

// Network connects daemons that are named by their addresses. A cut is directional: datagrams are
// lost, open connections go silent for good and dials hang until their context ends.
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

// Cut drops everything that one address sends to another.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[direction{from, to}] = true
}

// CutBoth drops everything between two addresses.
func (n *Network) CutBoth(a, b string) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// Heal removes all cuts. Connections that lost bytes stay silent.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

// Break closes the open connections of an address, as the death of its process does.
func (n *Network) Break(address string) {
	for _, c := range n.open(address) {
		_ = c.Close()
	}
}

// Silence makes the open connections of an address silent for good; new ones work.
func (n *Network) Silence(address string) {
	for _, c := range n.open(address) {
		c.out.silence()
	}
}

// open returns both ends of the connections of an address.
func (n *Network) open(address string) []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*conn
	for _, c := range n.conns {
		if c.local == address || c.remote == address {
			list = append(list, c)
		}
	}
	return list
}

func (n *Network) cut(from, to string) bool {
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

// Dialer returns the dial function of the daemon at an address.
func (n *Network) Dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if n.cut(from, to) || n.cut(to, from) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil {
			return nil, errRefused
		}
		a, b := newHalf(), newHalf()
		near := &conn{network: n, local: from, remote: to, in: a, out: b}
		far := &conn{network: n, local: to, remote: from, in: b, out: a}
		select {
		case l.accept <- far:
		case <-l.done:
			return nil, errRefused
		}
		n.mu.Lock()
		n.conns = append(n.conns, near, far)
		n.mu.Unlock()
		return near, nil
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
	in, out       *half
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	return c.out.write(b, c.network.cut(c.local, c.remote))
}

// Close implements net.Conn. The other end sees it unless the direction is cut.
func (c *conn) Close() error {
	c.in.close()
	if !c.network.cut(c.local, c.remote) {
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

// half is one direction of a connection.
type half struct {
	mu     sync.Mutex
	wake   *sync.Cond
	data   []byte
	closed bool
	silent bool
}

func newHalf() *half {
	h := &half{}
	h.wake = sync.NewCond(&h.mu)
	return h
}

func (h *half) read(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.data) == 0 && !h.closed {
		h.wake.Wait()
	}
	if len(h.data) == 0 {
		return 0, net.ErrClosed
	}
	n := copy(b, h.data)
	h.data = h.data[n:]
	return n, nil
}

func (h *half) write(b []byte, cut bool) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return 0, net.ErrClosed
	}
	h.silent = h.silent || cut
	if !h.silent {
		h.data = append(h.data, b...)
		h.wake.Broadcast()
	}
	return len(b), nil
}

func (h *half) silence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent = true
}

func (h *half) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.wake.Broadcast()
}
