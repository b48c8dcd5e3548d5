// Package connlimit limits the connections of callers, in total and by address, and the memory of the kernel's buffers
// for them.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// reservedFiles is the number of descriptors that are kept free for files and for connections to other daemons and to
	// the store.
	reservedFiles = 200
	// callerPart is the part of the other descriptors for callers. Each of their requests may need a connection to an
	// endpoint as well.
	callerPart = 0.5
	// ConnectionBytes is the memory that the runtime holds for one connection: the stack of its goroutine, the buffers of
	// the HTTP server and a header of typical size.
	ConnectionBytes = 16 << 10
	// memoryPart is the part of the memory of the process for connections.
	memoryPart = 0.15
	// addressPart is the part of the connections that one address may hold.
	addressPart = 0.75
	// buffersPerMemory is the number of connections whose receive buffers may be full at a time: together they hold two
	// such parts of the memory of the process for 1,000 connections, since the kernel doubles the size.
	buffersPerMemory = 3000
	// minBuffer and maxBuffer limit the size of a socket's buffers in bytes. minBuffer lets a link of 100 Mbit/s with 2 ms
	// of latency be used fully.
	minBuffer, maxBuffer = 32 << 10, 256 << 10
	// reusableTime is the idle time within which compliant callers reuse a connection, with a margin. Only connections
	// that have been idle for longer are closed in favour of new ones.
	reusableTime = 13 * time.Second
)

// Limits are the limits of a Listener.
type Limits struct {
	// Total and PerAddress are numbers of connections.
	Total, PerAddress int
	// Buffer is the size of the kernel's send and receive buffers of a connection in bytes; 0 leaves them to the kernel.
	Buffer int
}

// LimitsFor derives the limits from the memory of the process in bytes and from its descriptor limit. If the memory is 0, it
// is unknown and limits nothing.
func LimitsFor(memory int64, files uint64) Limits {
	total := float64(files-min(files, reservedFiles)) * callerPart
	buffer := int64(0)
	if memory > 0 {
		total = min(total, float64(memory)*memoryPart/ConnectionBytes)
		buffer = min(max(memory/buffersPerMemory, minBuffer), maxBuffer)
	}
	l := Limits{Total: max(int(total), 1), Buffer: int(buffer)}
	l.PerAddress = max(int(float64(l.Total)*addressPart), 1)
	return l
}

// FileLimit returns the descriptor limit of the process.
func FileLimit() uint64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 1024
	}
	return limit.Cur
}

// Counts are the numbers of connections closed since the start, by reason.
type Counts struct {
	// OverTotal and OverAddress are new connections that exceeded a limit; Idle are idle ones that gave way to new ones.
	OverTotal, OverAddress, Idle int64
}

// Listener is a net.Listener that enforces Limits. It is safe for concurrent use.
type Listener struct {
	net.Listener
	limits Limits
	// hold is called with the memory that a connection needs, negative when it is closed.
	hold func(bytes int64)

	mu        sync.Mutex
	conns     map[*conn]struct{}
	addresses map[netip.Addr]int
	counts    Counts
}

// Listen listens on an IPv4 address.
func Listen(address string, l Limits, hold func(bytes int64)) (*Listener, error) {
	// Accepted sockets inherit the buffer sizes of the listening one, which saves system calls for each connection.
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if l.Buffer == 0 {
			return nil
		}
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
				if e := syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, l.Buffer); e != nil {
					err = e
				}
			}
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	inner, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return New(inner, l, hold), nil
}

// New returns a Listener that accepts the connections of another one.
func New(inner net.Listener, l Limits, hold func(bytes int64)) *Listener {
	return &Listener{Listener: inner, limits: l, hold: hold, conns: map[*conn]struct{}{}, addresses: map[netip.Addr]int{}}
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	address  netip.Addr
	// idleSince is the time in Unix nanoseconds since when the connection has had no request; 0 while it has one.
	idleSince atomic.Int64
	closed    atomic.Bool
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.remove(c)
	}
	return c.Conn.Close()
}

// CloseWrite closes the writing side, which the HTTP server does before it closes a connection with unread bytes.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Accept implements net.Listener. Connections that exceed a limit are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, listener: l}
		if a, ok := raw.RemoteAddr().(*net.TCPAddr); ok {
			c.address = a.AddrPort().Addr().Unmap()
		}
		admitted, victim := l.admit(c, time.Now())
		if victim != nil {
			_ = victim.Close()
		}
		if admitted {
			l.hold(ConnectionBytes)
			return c, nil
		}
		_ = raw.Close()
	}
}

// admit adds a connection unless it exceeds a limit. If an idle connection is to be closed in its favour, that is returned.
func (l *Listener) admit(c *conn, now time.Time) (admitted bool, victim *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	overAddress := l.addresses[c.address] >= l.limits.PerAddress
	if overAddress || len(l.conns) >= l.limits.Total {
		if victim = l.longestIdle(now, c.address, overAddress); victim == nil {
			if overAddress {
				l.counts.OverAddress++
			} else {
				l.counts.OverTotal++
			}
			return false, nil
		}
		l.counts.Idle++
	}
	l.conns[c] = struct{}{}
	l.addresses[c.address]++
	return true, victim
}

// longestIdle returns the connection that has been idle for the longest time, of one address if sameAddress is set. It is
// nil if callers may still reuse all of them.
func (l *Listener) longestIdle(now time.Time, address netip.Addr, sameAddress bool) *conn {
	oldest := now.Add(-reusableTime).UnixNano()
	var victim *conn
	for c := range l.conns {
		since := c.idleSince.Load()
		if since != 0 && since <= oldest && !c.closed.Load() && (!sameAddress || c.address == address) {
			oldest, victim = since, c
		}
	}
	return victim
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	_, known := l.conns[c]
	if known {
		delete(l.conns, c)
		if l.addresses[c.address]--; l.addresses[c.address] == 0 {
			delete(l.addresses, c.address)
		}
	}
	l.mu.Unlock()
	if known {
		l.hold(-ConnectionBytes)
	}
}

// StateChanged records the state of a connection. It is the ConnState hook of the HTTP server.
func (l *Listener) StateChanged(raw net.Conn, s http.ConnState) {
	if t, ok := raw.(interface{ NetConn() net.Conn }); ok {
		raw = t.NetConn() // the connection below a TLS connection
	}
	c, ok := raw.(*conn)
	switch {
	case !ok:
	case s == http.StateIdle:
		c.idleSince.Store(time.Now().UnixNano())
	case s == http.StateActive:
		c.idleSince.Store(0)
	}
}

// Status returns the number of open connections and the counts.
func (l *Listener) Status() (open int, counts Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.counts
}
