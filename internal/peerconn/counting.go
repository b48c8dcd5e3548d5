package peerconn

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// counters counts the connections and the TCP bytes of the peer service, including TLS overhead.
type counters struct {
	bytesSent, bytesReceived metrics.Counter
	// connections counts the dials of a pool, including failed ones, or the connections that a server
	// has accepted. failures counts the calls of a pool that failed in the transport, timed out or were
	// canceled; it counts neither failed dials nor failed streams.
	connections, failures metrics.Counter
}

func newCounters(r metrics.Registry, prefix string) counters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	get := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(prefix+name, r) }
	return counters{
		bytesSent: get("bytes_sent"), bytesReceived: get("bytes_received"),
		connections: get("connections"), failures: get("failures"),
	}
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	counters *counters
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.bytesReceived.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.bytesSent.Inc(int64(n))
	return n, err
}

// countingListener counts the bytes of accepted connections.
type countingListener struct {
	net.Listener
	counters *counters
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.counters.connections.Inc(1)
	return &countingConn{Conn: c, counters: l.counters}, nil
}
