package httpclient

import (
	"crypto/tls"
	"errors"
	"net"
	"sync"
)

var errSealed = errors.New("httpclient: connection closed for writing")

// conn counts writes, so that a failed exchange can say whether any byte of it was sent.
type conn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts before it writes: a byte that may have left counts as sent.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *conn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal stops all later writes and returns the number of writes before. Without it the transport's
// write goroutine could still send after the exchange was reported as not sent.
func (c *conn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// unwrap returns the counting connection below an optional TLS layer.
func unwrap(n net.Conn) *conn {
	if t, ok := n.(*tls.Conn); ok {
		n = t.NetConn()
	}
	c, _ := n.(*conn)
	return c
}
