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

// client is the drpc.Conn of one daemon over the pool.
type client struct {
	pool    *Pool
	address string
}

var _ drpc.Conn = (*client)(nil)

// ledgerRPC is the one call that must not be repeated by itself: the caller decides.
const ledgerRPC = "/chivewind.peer.Peer/Ledger"

// Close implements drpc.Conn. The connections belong to the pool.
func (c *client) Close() error { return nil }

// Closed implements drpc.Conn.
func (c *client) Closed() <-chan struct{} { return nil }

// Invoke implements drpc.Conn. When an idle connection fails, a new one is tried once.
func (c *client) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	maxIdle := c.pool.cfg.IdleTimeout
	repeatable := rpc != ledgerRPC
	if !repeatable {
		maxIdle = freshIdle
	}
	if conn := c.pool.take(c.address, maxIdle); conn != nil {
		err, healthy := c.invokeIdle(ctx, conn, rpc, enc, in, out)
		if err == nil || healthy {
			return err
		}
		c.pool.discard(c.address)
		if !repeatable || ctx.Err() != nil {
			return c.failed(rpc, errors.Join(ErrInDoubt, err))
		}
	}
	conn, err := c.pool.dial(ctx, c.address)
	if err != nil {
		c.pool.discard(c.address)
		return c.failed(rpc, errors.Join(ErrUnreachable, err))
	}
	err, healthy := c.invoke(ctx, conn, rpc, enc, in, out)
	if err == nil || healthy {
		return err
	}
	return c.failed(rpc, errors.Join(ErrInDoubt, err))
}

// invokeIdle runs a call on a connection that may have gone silent. It leaves half of the caller's
// time for a new connection.
func (c *client) invokeIdle(ctx context.Context, conn *drpcconn.Conn, rpc string, enc drpc.Encoding, in, out drpc.Message) (err error, healthy bool) {
	if deadline, ok := ctx.Deadline(); ok && rpc != ledgerRPC {
		half, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
		ctx = half
	}
	return c.invoke(ctx, conn, rpc, enc, in, out)
}

// invoke runs one call on one connection. healthy says that the connection is back in the pool and
// the error, if any, is the service's own.
func (c *client) invoke(ctx context.Context, conn *drpcconn.Conn, rpc string, enc drpc.Encoding, in, out drpc.Message) (err error, healthy bool) {
	ctx, cancel := context.WithTimeout(ctx, c.pool.cfg.CallTimeout)
	defer cancel()
	err = conn.Invoke(ctx, rpc, enc, in, out)
	if ctx.Err() != nil || isClosed(conn) {
		if err == nil {
			_ = conn.Close()
			return nil, false
		}
		c.pool.count.failures.Inc(1)
		_ = conn.Close()
		return err, false
	}
	c.pool.put(c.address, conn)
	return err, true
}

// NewStream implements drpc.Conn. The stream has its own connection, which ends with it.
func (c *client) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	conn, err := c.pool.dial(ctx, c.address)
	if err != nil {
		return nil, c.failed(rpc, errors.Join(ErrUnreachable, err))
	}
	stream, err := conn.NewStream(ctx, rpc, enc)
	if err != nil {
		_ = conn.Close()
		return nil, c.failed(rpc, errors.Join(ErrInDoubt, err))
	}
	context.AfterFunc(stream.Context(), func() { _ = conn.Close() })
	return &ownedStream{Stream: stream, conn: conn}, nil
}

func (c *client) failed(rpc string, err error) error {
	return oops.With("step", rpc).With("peer", c.address).Wrap(fmt.Errorf("peer call: %w", err))
}

// ownedStream closes its connection with itself. Closing only the stream could wait for a peer
// that does not read.
type ownedStream struct {
	drpc.Stream
	conn *drpcconn.Conn
}

// Close implements drpc.Stream.
func (s *ownedStream) Close() error { return s.conn.Close() }
