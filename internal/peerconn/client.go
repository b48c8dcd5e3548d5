package peerconn

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// client implements drpc.Conn for one daemon on top of the pool.
type client struct {
	pool    *Pool
	address string
}

var _ drpc.Conn = (*client)(nil)

// ledgerRPC is the only RPC that is not retried here: its callers decide whether to retry.
const ledgerRPC = "/chivewind.peer.Peer/Ledger"

// Close implements drpc.Conn. It does nothing, since the connections belong to the pool.
func (c *client) Close() error { return nil }

// Closed implements drpc.Conn.
func (c *client) Closed() <-chan struct{} { return nil }

// Invoke implements drpc.Conn. If an idle connection fails, a call that may be retried is tried
// once more on a new connection.
func (c *client) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	maxIdle := c.pool.cfg.IdleTimeout
	retryable := rpc != ledgerRPC
	if !retryable {
		maxIdle = nonRetryableMaxIdle
	}
	if conn := c.pool.takeIdle(c.address, maxIdle); conn != nil {
		err, reusable := c.invokeIdle(ctx, conn, rpc, enc, in, out)
		if err == nil || reusable {
			return err
		}
		c.pool.closeIdleTo(c.address)
		if !retryable || ctx.Err() != nil {
			return c.wrapError(rpc, errors.Join(ErrOutcomeUnknown, err))
		}
	}
	conn, err := c.pool.dial(ctx, c.address)
	if err != nil {
		c.pool.closeIdleTo(c.address)
		return c.wrapError(rpc, errors.Join(ErrUnreachable, err))
	}
	err, reusable := c.invoke(ctx, conn, rpc, enc, in, out)
	if err == nil || reusable {
		return err
	}
	return c.wrapError(rpc, errors.Join(ErrOutcomeUnknown, err))
}

// invokeIdle runs a call on an idle connection, whose peer may have become unreachable. A call that
// may be retried uses at most half of the caller's remaining time, to leave the rest for a new
// connection.
func (c *client) invokeIdle(ctx context.Context, conn *drpcconn.Conn, rpc string, enc drpc.Encoding, in, out drpc.Message) (err error, reusable bool) {
	if deadline, ok := ctx.Deadline(); ok && rpc != ledgerRPC {
		half, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
		ctx = half
	}
	return c.invoke(ctx, conn, rpc, enc, in, out)
}

// invoke runs one call on a connection. If reusable is true, the connection is back in the pool and
// the error, if any, is that of the remote service.
func (c *client) invoke(ctx context.Context, conn *drpcconn.Conn, rpc string, enc drpc.Encoding, in, out drpc.Message) (err error, reusable bool) {
	ctx, cancel := context.WithTimeout(ctx, c.pool.cfg.CallTimeout)
	defer cancel()
	err = conn.Invoke(ctx, rpc, enc, in, out)
	if ctx.Err() != nil || isClosed(conn) {
		if err == nil {
			_ = conn.Close()
			return nil, false
		}
		c.pool.counters.failures.Inc(1)
		_ = conn.Close()
		return err, false
	}
	c.pool.putIdle(c.address, conn)
	return err, true
}

// NewStream implements drpc.Conn. The stream has a dedicated connection, which is closed with it.
func (c *client) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	conn, err := c.pool.dial(ctx, c.address)
	if err != nil {
		return nil, c.wrapError(rpc, errors.Join(ErrUnreachable, err))
	}
	stream, err := conn.NewStream(ctx, rpc, enc)
	if err != nil {
		_ = conn.Close()
		return nil, c.wrapError(rpc, errors.Join(ErrOutcomeUnknown, err))
	}
	context.AfterFunc(stream.Context(), func() { _ = conn.Close() })
	return &dedicatedStream{Stream: stream, conn: conn}, nil
}

func (c *client) wrapError(rpc string, err error) error {
	return oops.With("step", rpc).With("peer", c.address).Wrap(fmt.Errorf("peer call: %w", err))
}

// dedicatedStream closes its connection on Close. Closing only the stream could block on a peer
// that does not read.
type dedicatedStream struct {
	drpc.Stream
	conn *drpcconn.Conn
}

// Close implements drpc.Stream.
func (s *dedicatedStream) Close() error { return s.conn.Close() }
