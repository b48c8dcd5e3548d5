// Package upstream sends requests to endpoints over a pool of HTTP/1.1 connections.
//
// It does not use the client of net/http, which cannot detect that a response belongs to an earlier request:
// an endpoint may send a late second response on a connection that already carries the next request. This
// package matches each response by the attempt ID that the endpoint echoes, and skips responses to other
// requests.
//
// A request is written at most once. An error states whether any byte of it may have reached the endpoint.
//
// Client.mu is the only lock of the package. It is not held during I/O.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// DefaultDialTimeout limits the time to open a connection. Endpoints accept within milliseconds, and a
	// longer wait would exceed the request's latency target.
	DefaultDialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint states no idle timeout in
	// whole seconds.
	defaultIdleTimeout = 500 * time.Millisecond
	// idleTimeoutFraction is the fraction of the stated idle timeout during which a connection is reused, so
	// that a request is not sent while the endpoint closes the connection.
	idleTimeoutFraction = 0.75
	// maxIdlePerEndpoint limits the idle connections to one endpoint.
	maxIdlePerEndpoint = 64
)

// Request is a request to an endpoint.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body is the body in consecutive parts. It is written from there and must not change, also after Send has returned: a
	// write that the response has overtaken ends later.
	Body [][]byte
	// AttemptID is the ID that the endpoint echoes in its response.
	AttemptID string
	// ForceNewConn prevents the use of an idle connection.
	ForceNewConn bool
	// OnHead, if not nil, is called with the header of each response that arrives during the exchange, also of one to an
	// earlier request.
	OnHead func(ResponseHead)
}

// ResponseHead holds the fields that a HeadParser extracts from a response header.
type ResponseHead struct {
	// AttemptID is the ID of the request that the response belongs to, or "" if the header has none.
	AttemptID string
	// Leaving is set if the endpoint says that it is leaving.
	Leaving bool
	// Pause is the time for which an endpoint that rejected a request wants no further ones from this VM; 0 if it stated
	// none. InvalidPause is its statement if that is malformed.
	Pause        time.Duration
	InvalidPause string
}

// HeadParser parses the status and header of a response.
type HeadParser func(status int, h http.Header) ResponseHead

// Error describes the failure of a request before the header of its response was received.
type Error struct {
	// Sent reports whether a byte of the request may have reached the endpoint.
	Sent bool
	// Reused reports whether the connection had carried earlier requests.
	Reused bool
	// Dial reports whether the connection could not be opened.
	Dial bool
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Client sends requests to endpoints and pools the connections to them. It is safe for concurrent use.
type Client struct {
	parseHead   HeadParser
	dialTimeout time.Duration
	dial        func(ctx context.Context, address string) (net.Conn, error)

	mu          sync.Mutex
	idle        map[string][]*conn
	closed      bool
	connsOpened int64
}

// New returns a Client that matches responses to requests by the attempt IDs that parseHead returns.
func New(parseHead HeadParser) *Client {
	dialer := &net.Dialer{KeepAlive: -1}
	return &Client{
		parseHead: parseHead, dialTimeout: DefaultDialTimeout, idle: map[string][]*conn{},
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
}

// ConnsOpened returns the number of connections opened so far.
func (c *Client) ConnsOpened() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connsOpened
}

// CloseIdle closes the idle connections to the address of an endpoint that was removed.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	idle := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, cn := range idle {
		cn.close()
	}
}

// Close closes all idle connections. Connections in use are closed after their current response.
func (c *Client) Close() {
	c.mu.Lock()
	all := c.idle
	c.idle, c.closed = map[string][]*conn{}, true
	c.mu.Unlock()
	for _, idle := range all {
		for _, cn := range idle {
			cn.close()
		}
	}
}

// Send writes the request to the endpoint at address and returns when the header of the response has been
// received. When ctx ends, the connection is closed, even while the body is being read. Errors are of type
// *Error.
func (c *Client) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	cn, err := c.connect(ctx, address, r.ForceNewConn)
	if err != nil {
		return nil, &Error{Dial: true, Err: fmt.Errorf("connect to endpoint %s: %w", address, err)}
	}
	stop := context.AfterFunc(ctx, cn.close)
	resp, sent, err := cn.exchange(r, c.parseHead)
	if err != nil {
		stop()
		cn.close()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, &Error{Sent: sent, Reused: cn.reused, Err: fmt.Errorf("request to endpoint %s: %w", address, err)}
	}
	resp.release = func(reusable bool) {
		// If ctx has ended, the connection is being closed and must not be reused.
		if stop() && reusable {
			c.putIdle(address, cn)
			return
		}
		cn.close()
	}
	return resp, nil
}

// connect returns a healthy idle connection, or opens a new one.
func (c *Client) connect(ctx context.Context, address string, forceNew bool) (*conn, error) {
	for !forceNew {
		cn := c.takeIdle(address)
		if cn == nil {
			break
		}
		if time.Now().Before(cn.usableUntil) && cn.healthy() {
			cn.reused = true
			return cn, nil
		}
		cn.close()
	}
	ctx, cancel := context.WithTimeout(ctx, c.dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.connsOpened++
	c.mu.Unlock()
	return newConn(raw), nil
}

// ProbeResult is what a probe has found out about an address.
type ProbeResult int

// Refuses means that the address refuses connections: no process listens there. Listens means that a connection can be
// opened, and Unknown that neither is certain.
const (
	Unknown ProbeResult = iota
	Refuses
	Listens
)

// Probe opens a connection to the address. It is kept for a later request.
func (c *Client) Probe(ctx context.Context, address string) ProbeResult {
	cn, err := c.connect(ctx, address, true)
	if err != nil {
		if IsConnectionRefused(err) {
			return Refuses
		}
		return Unknown
	}
	c.putIdle(address, cn)
	return Listens
}

// takeIdle removes and returns the most recently used idle connection, or nil if there is none.
func (c *Client) takeIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[address]
	if len(idle) == 0 {
		return nil
	}
	cn := idle[len(idle)-1]
	idle[len(idle)-1] = nil
	c.idle[address] = idle[:len(idle)-1]
	return cn
}

// putIdle returns a connection to the pool. If the pool of the endpoint is full, it closes the connection that
// was used least recently.
func (c *Client) putIdle(address string, cn *conn) {
	cn.usableUntil = time.Now().Add(cn.idleTimeout)
	var dropped *conn
	c.mu.Lock()
	idle := c.idle[address]
	switch {
	case c.closed:
		dropped = cn
	case len(idle) >= maxIdlePerEndpoint:
		dropped = idle[0]
		copy(idle, idle[1:])
		idle[len(idle)-1] = cn
	default:
		c.idle[address] = append(idle, cn)
	}
	c.mu.Unlock()
	if dropped != nil {
		dropped.close()
	}
}

// CloseExpired closes the idle connections whose idle timeout has passed. It must be called periodically, because a
// connection is otherwise closed only when it is taken for a request.
func (c *Client) CloseExpired() {
	now := time.Now()
	var expired []*conn
	c.mu.Lock()
	for address, idle := range c.idle {
		kept := idle[:0]
		for _, cn := range idle {
			if now.Before(cn.usableUntil) {
				kept = append(kept, cn)
			} else {
				expired = append(expired, cn)
			}
		}
		clear(idle[len(kept):])
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
	c.mu.Unlock()
	for _, cn := range expired {
		cn.close()
	}
}
