// Package httpclient sends single HTTP requests to endpoints. It does not resend a request, apart from the cases
// described at preventReplay, follows no redirects, uses no proxy and reports whether any byte of a failed
// request may have been sent.
package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chivewind/chivewind/internal/responsehead"
)

const (
	dialTimeout         = time.Second
	idleTimeout         = 30 * time.Second
	maxIdleConnsPerHost = 128
	maxHeaderBytes      = 64 << 10
)

// Client sends requests over pooled or new HTTP/1 connections.
type Client struct {
	pooled *http.Transport
	fresh  *http.Transport
}

// New returns a client.
func New() *Client {
	return &Client{pooled: newTransport(false), fresh: newTransport(true)}
}

func newTransport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		Protocols:              protocols,
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		TLSHandshakeTimeout:    2 * dialTimeout,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// CloseIdleConnections closes the idle connections of the pool.
func (c *Client) CloseIdleConnections() { c.pooled.CloseIdleConnections() }

// Exchange is one request with its response.
type Exchange struct {
	// Response is nil if no response header was received.
	Response *http.Response
	// Reused is set if the connection has served earlier requests.
	Reused bool

	conn *countingConn
	// writesBefore is the number of writes on conn before this exchange.
	writesBefore uint64
	// responseStarted is set when the first byte of the response arrives.
	responseStarted atomic.Bool
}

// Send sends the request once, on a new connection if fresh is set or needsFreshConnection requires it. A response with an
// invalid head is an error. The caller must close the response body. The exchange is not nil even if an error is
// returned, so that Sent and Stale can be called.
func (c *Client) Send(req *http.Request, fresh bool) (*Exchange, error) {
	x := &Exchange{}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			x.conn = countingConnOf(info.Conn)
			x.writesBefore = x.conn.writeCount()
			x.Reused = info.Reused
		},
		GotFirstResponseByte: func() { x.responseStarted.Store(true) },
		// An error ends the exchange.
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return responsehead.CheckFields(h) },
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	preventReplay(req)
	t := c.pooled
	if fresh || needsFreshConnection(req) {
		t = c.fresh
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return x, err
	}
	if err := responsehead.Check(resp); err != nil {
		x.CloseConnection()
		_ = resp.Body.Close()
		return x, err
	}
	x.Response = resp
	return x, nil
}

// preventReplay gives the request a body that the transport cannot rewind, because the transport resends
// requests without a body or with GetBody when a reused connection breaks. A request without a body stays
// as it is if its method usually has one, such as POST, because the transport would send an added empty body with
// a chunked encoding, which some services reject. On a reused connection the transport resends such a request if
// it wrote nothing of it, or if the request has an idempotency key; see needsFreshConnection.
func preventReplay(req *http.Request) {
	req.GetBody = nil
	if req.Body == http.NoBody {
		req.Body = nil
	}
	if req.Body != nil {
		return
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		req.Body = io.NopCloser(eofReader{})
	}
}

// needsFreshConnection reports whether the transport would take the request's idempotency key for permission to resend it
// when a reused connection breaks. Transports never resend requests on new connections.
func needsFreshConnection(req *http.Request) bool {
	return req.Body == nil && (req.Header.Get("Idempotency-Key") != "" || req.Header.Get("X-Idempotency-Key") != "")
}

// eofReader is an empty body that the transport does not recognize as such.
type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// Sent reports whether any byte of the request may have been sent. It also stops further writes on the
// connection, so that the result of a failed exchange stays valid.
func (x *Exchange) Sent() bool {
	if x.conn == nil {
		return false
	}
	return x.conn.stopWrites() > x.writesBefore
}

// CloseConnection closes the connection, so that it is not used for another request.
func (x *Exchange) CloseConnection() {
	if x.conn != nil {
		_ = x.conn.Close()
	}
}

// Stale reports whether a failed exchange looks like one on a pooled connection that the server had
// already closed: the connection was reused and no byte of a response arrived.
func (x *Exchange) Stale() bool { return x.Reused && !x.responseStarted.Load() }

// IsConnectionClosed reports whether the error means that the connection was closed or reset.
func IsConnectionClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, net.ErrClosed) || serverClosed(err)
}

// serverClosed recognizes errors of closed connections for which net/http exports no error value.
func serverClosed(err error) bool {
	s := err.Error()
	return s == "http: server closed idle connection" ||
		s == "net/http: HTTP/1.x transport connection broken: EOF"
}
