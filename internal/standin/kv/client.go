package kv

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/chivewind/chivewind/internal/etcdjson"
	"github.com/chivewind/chivewind/platform"
)

// DefaultTimeout is the initial timeout of a Client's calls.
const DefaultTimeout = 2 * time.Second

// progressInterval is the time between progress notifications of a watch, and the maximum time until it notices that
// the service is down.
const progressInterval = 2 * time.Second

// Client is an in-process platform.KV backed by a Store. Each client has its own faults, so that a test can
// isolate one of several daemons.
type Client struct {
	*Faults
	// timeout limits each call, in nanoseconds.
	timeout atomic.Int64
	store   *Store
}

var _ platform.KV = (*Client)(nil)

// NewClient returns a client of a store.
func NewClient(s *Store) *Client {
	c := &Client{Faults: &Faults{}, store: s}
	c.SetTimeout(DefaultTimeout)
	return c
}

// SetTimeout sets the timeout of subsequent calls.
func (c *Client) SetTimeout(d time.Duration) { c.timeout.Store(int64(d)) }

// Store returns the client's store.
func (c *Client) Store() *Store { return c.store }

// call performs one call and maps its failure to an error of package platform. Apart from a lease that does not exist,
// a failed read is unavailable, and a failed write was either not applied or has an unknown outcome.
func (c *Client) call(ctx context.Context, count func(*Counters), write bool, run func() error) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.timeout.Load()))
	defer cancel()
	result := make(chan error, 1)
	err := c.apply(ctx, count, write, func() { result <- run() })
	if err == nil {
		err = <-result
	}
	var refused *RefusedError
	switch {
	case err == nil:
		return nil
	case err == errLeaseNotFound:
		return errors.Join(platform.ErrLeaseNotFound, platform.ErrNotApplied)
	case !write:
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	case err == errServiceDown || errors.As(err, &refused):
		return fmt.Errorf("%w: %w", platform.ErrNotApplied, err)
	default:
		return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
	}
}

// callWithResult performs one call that returns a value.
func callWithResult[T any](
	ctx context.Context, c *Client, count func(*Counters), write bool, run func() (T, error),
) (T, error) {
	// The call may outlive its timeout, so the result is passed through a channel.
	result := make(chan T, 1)
	err := c.call(ctx, count, write, func() error {
		v, err := run()
		result <- v
		return err
	})
	if err != nil {
		var zero T
		return zero, err
	}
	return <-result, nil
}

// Range implements platform.KV.
func (c *Client) Range(ctx context.Context, r platform.RangeRequest) (platform.RangeReply, error) {
	return callWithResult(ctx, c, func(n *Counters) { n.Ranges++ }, false, func() (platform.RangeReply, error) {
		return c.store.Range(r), nil
	})
}

// Txn implements platform.KV.
func (c *Client) Txn(ctx context.Context, t platform.Txn) (platform.TxnReply, error) {
	return callWithResult(ctx, c, func(n *Counters) { n.Txns++ }, true, func() (platform.TxnReply, error) {
		return c.store.Txn(t)
	})
}

// Grant implements platform.KV.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return callWithResult(ctx, c, func(n *Counters) { n.Grants++ }, true, func() (platform.LeaseID, error) {
		return c.store.Grant(ttl), nil
	})
}

// KeepAlive implements platform.KV.
func (c *Client) KeepAlive(ctx context.Context, id platform.LeaseID) (time.Duration, error) {
	return callWithResult(ctx, c, func(n *Counters) { n.KeepAlives++ }, false, func() (time.Duration, error) {
		return c.store.KeepAlive(id)
	})
}

// Revoke implements platform.KV.
func (c *Client) Revoke(ctx context.Context, id platform.LeaseID) error {
	return c.call(ctx, func(n *Counters) { n.Revokes++ }, true, func() error { return c.store.Revoke(id) })
}

// Watch implements platform.KV.
func (c *Client) Watch(ctx context.Context, prefix string, from int64) (<-chan platform.WatchReply, error) {
	err := c.call(ctx, func(n *Counters) { n.Watches++ }, false, func() error { return nil })
	if err != nil {
		return nil, err
	}
	out := make(chan platform.WatchReply)
	go func() {
		defer close(out)
		err := c.store.watch(ctx, c.Faults, prefix, from, func(r platform.WatchReply) error {
			select {
			case out <- r:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
		if err == nil || ctx.Err() != nil {
			return
		}
		if e, ok := errors.AsType[*RefusedError](err); ok && e.Code == etcdjson.CodeOutOfRange {
			err = errors.Join(platform.ErrCompacted, err)
		}
		err = fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
		select {
		case out <- platform.WatchReply{Err: err}:
		case <-ctx.Done():
		}
	}()
	return out, nil
}

// watch sends changes and progress notifications until ctx ends, the service goes down, send fails, or the history
// that it has not sent yet is compacted. from is the first revision to report; 0 means the next one.
func (s *Store) watch(ctx context.Context, f *Faults, prefix string, from int64, send func(platform.WatchReply) error) error {
	after := from - 1
	if from <= 0 {
		after = s.Revision()
	}
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	for {
		if f.isDown() {
			return errServiceDown
		}
		replies, revision, changed, err := s.changesAfter(prefix, after)
		if err != nil {
			return err
		}
		if !f.isWatchSilent() {
			for _, r := range replies {
				if err := send(r); err != nil {
					return err
				}
			}
			after = max(after, revision)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-progress.C:
			if !f.isWatchSilent() && !f.isDown() {
				if err := send(platform.WatchReply{Revision: after}); err != nil {
					return err
				}
			}
		}
	}
}
