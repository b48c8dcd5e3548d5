// Package upstream sends requests to endpoints over HTTP/1.1 connections that it keeps and checks itself.
//
// net/http's client is not used because it cannot tell an answer that belongs to an earlier request from
// the expected one: endpoints may send a second answer, late, on a connection that already carries the
// next request. Here each answer is matched by the id that the endpoint repeats, and an answer to another
// request is skipped.
//
// A request is written at most once. A failure says whether any byte of it may have reached the endpoint.
// Lock order: Client.mu is the only lock; it is not held over I/O.
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
	// DefaultDialTimeout bounds a new connection. Endpoints accept within milliseconds; a longer wait costs
	// the request its latency target.
	DefaultDialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept whose endpoint states no idle timeout in whole seconds.
	defaultIdleTimeout = 500 * time.Millisecond
	// idleTimeoutFraction is the part of the stated idle timeout after which a connection is not used again, so that
	// a request does not cross the endpoint's close.
	idleTimeoutFraction = 0.75
	// maxIdlePerEndpoint bounds the kept connections to one endpoint.
	maxIdlePerEndpoint = 64
)

// Request is one request for an endpoint.
type Request struct {
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Attempt is the id that the endpoint repeats in its answer.
	Attempt string
	// ForceNewConn asks for a new connection.
	ForceNewConn bool
}

// Head is what a Recognizer reads from an answer.
type Head struct {
	// Attempt is the id of the request that the answer belongs to; empty when it is not stated.
	Attempt string
}

// Recognizer decodes the head of an answer.
type Recognizer func(status int, h http.Header) Head

// Error says how a request failed before the head of its answer arrived.
type Error struct {
	// Sent says that a byte of the request may have reached the endpoint.
	Sent bool
	// Reused says that the connection had served other requests before.
	Reused bool
	// Dial says that no connection could be made.
	Dial bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client keeps connections to endpoints. It is safe for concurrent use.
type Client struct {
	recognize   Recognizer
	dialTimeout time.Duration
	dial        func(ctx context.Context, address string) (net.Conn, error)

	mu          sync.Mutex
	idle        map[string][]*conn
	closed      bool
	connsOpened int64
}

// New returns a client without connections.
func New(recognize Recognizer) *Client {
	dialer := &net.Dialer{KeepAlive: -1}
	return &Client{
		recognize: recognize, dialTimeout: DefaultDialTimeout, idle: map[string][]*conn{},
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
}

// ConnsOpened returns the number of connections made so far.
func (c *Client) ConnsOpened() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connsOpened
}

// Forget closes the idle connections to an address, because its endpoint has left.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	idle := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, cn := range idle {
		cn.close()
	}
}

// Close closes all idle connections and keeps none from now on.
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

// Send writes the request to the endpoint at address and waits for the head of its answer. When ctx ends,
// the connection is closed, also while the body is being read.
func (c *Client) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	cn, err := c.connect(ctx, address, r.ForceNewConn)
	if err != nil {
		return nil, &Error{Dial: true, Err: fmt.Errorf("connect to endpoint %s: %w", address, err)}
	}
	stop := context.AfterFunc(ctx, cn.close)
	resp, sent, err := cn.exchange(r, c.recognize)
	if err != nil {
		stop()
		cn.close()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, &Error{Sent: sent, Reused: cn.reused, Err: fmt.Errorf("request to endpoint %s: %w", address, err)}
	}
	resp.release = func(reusable bool) {
		// A close that has begun cannot be stopped, and its connection must not be kept.
		if stop() && reusable {
			c.putIdle(address, cn)
			return
		}
		cn.close()
	}
	return resp, nil
}

// connect returns an idle connection that still works, or a new one.
func (c *Client) connect(ctx context.Context, address string, fresh bool) (*conn, error) {
	for !fresh {
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

// takeIdle removes the idle connection that was used last.
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

// Prune closes idle connections that are no longer usable. It is called now and then, because a
// connection that is never taken again would stay open.
func (c *Client) Prune() {
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
