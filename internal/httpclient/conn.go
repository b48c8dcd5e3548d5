package httpclient

import (
	"crypto/tls"
	"errors"
	"net"
	"sync"
)

var errWritesStopped = errors.New("httpclient: connection closed for writing")

// countingConn counts writes, so that a failed exchange can report whether any byte of it was sent.
type countingConn struct {
	net.Conn
	mu            sync.Mutex
	writes        uint64
	writesStopped bool
}

// Write counts the write before it is made, so that a partial or failed write counts as sent.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesStopped {
		c.mu.Unlock()
		return 0, errWritesStopped
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countingConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// stopWrites makes all later writes fail and returns the number of earlier ones. Otherwise the
// transport's write goroutine could still send bytes after the exchange was reported as not sent.
func (c *countingConn) stopWrites() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesStopped = true
	return c.writes
}

// countingConnOf returns the countingConn of a connection, which may have a TLS layer on top.
func countingConnOf(n net.Conn) *countingConn {
	if t, ok := n.(*tls.Conn); ok {
		n = t.NetConn()
	}
	c, _ := n.(*countingConn)
	return c
}
