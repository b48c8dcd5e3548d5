// Package httpclient sends single HTTP requests to endpoints. It never repeats a request, follows no
// redirects, uses no proxy and says exactly whether any byte of a failed request was sent.
package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	maxIdlePerHost = 128
	maxHeaderBytes = 64 << 10
)

// Client sends requests over pooled or fresh connections.
type Client struct {
	pooled *http.Transport
	fresh  *http.Transport
}

// New returns a client.
func New() *Client {
	return &Client{pooled: transport(false), fresh: transport(true)}
}

func transport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		Protocols:              protocols,
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		TLSHandshakeTimeout:    2 * dialTimeout,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Exchange is one request with its answer.
type Exchange struct {
	// Response is nil when no answer's header arrived.
	Response *http.Response
	// Reused says that the connection had served other requests before.
	Reused bool

	conn *conn
	base uint64
	// answered is set when the first byte of the answer arrived.
	answered atomic.Bool
}

// Send sends the request once. The caller closes the response's body. On a failure the exchange
// still says what was sent.
func (c *Client) Send(req *http.Request, fresh bool) (*Exchange, error) {
	x := &Exchange{}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			x.conn = unwrap(info.Conn)
			x.base = x.conn.count()
			x.Reused = info.Reused
		},
		GotFirstResponseByte: func() { x.answered.Store(true) },
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	preventReplay(req)
	t := c.pooled
	if fresh {
		t = c.fresh
	}
	resp, err := t.RoundTrip(req)
	x.Response = resp
	return x, err
}

// preventReplay gives the request a body that the transport cannot rewind, because the transport
// repeats requests without a body or with GetBody when a reused connection breaks. For methods that
// usually have a body the transport would announce an empty one as chunked; those it does not repeat.
func preventReplay(req *http.Request) {
	req.GetBody = nil
	if req.Body != nil && req.Body != http.NoBody {
		return
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		req.Body = io.NopCloser(eofReader{})
	}
}

type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// Sent says whether a byte of the request may have left. After a failure no further byte is sent.
func (x *Exchange) Sent() bool {
	if x.conn == nil {
		return false
	}
	return x.conn.seal() > x.base
}

// Stale says that the exchange failed in the way in which a pooled connection fails that the other
// side had already closed: it was reused and no byte of an answer arrived.
func (x *Exchange) Stale() bool { return x.Reused && !x.answered.Load() }

// Broken says that the error is a connection closed or reset by the other side.
func Broken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, net.ErrClosed) || serverClosed(err)
}

// serverClosed recognizes transport errors that wrap no exported error.
func serverClosed(err error) bool {
	s := err.Error()
	return s == "http: server closed idle connection" ||
		s == "net/http: HTTP/1.x transport connection broken: EOF"
}
