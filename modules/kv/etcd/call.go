package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/samber/oops"

	"github.com/chivewind/chivewind/internal/etcdjson"
	"github.com/chivewind/chivewind/platform"
)

// maxReplyBytes is the maximum size of a reply. A range may contain several values of the maximum size.
const maxReplyBytes = 128 << 20

// maxErrorReplyBytes is the maximum size of an error response body.
const maxErrorReplyBytes = 64 << 10

// statusError is a response of the service with a status other than 200.
type statusError struct {
	status int
	// code is the gRPC status code of the reply, or 0 if the reply has none.
	code    int
	message string
}

func (r *statusError) Error() string {
	return fmt.Sprintf("service answered %d (code %d): %s", r.status, r.code, r.message)
}

// notApplied reports whether the service rejected the call before it could take effect. It is false for
// codes such as Unavailable or DeadlineExceeded, which the service also sends for a write whose
// replication has not finished.
func (r *statusError) notApplied() bool {
	switch r.code {
	case etcdjson.CodeInvalidArgument, etcdjson.CodeNotFound, etcdjson.CodePermissionDenied,
		etcdjson.CodeResourceExhausted, etcdjson.CodeFailedPrecondition, etcdjson.CodeOutOfRange,
		etcdjson.CodeUnimplemented, etcdjson.CodeUnauthenticated:
		return true
	}
	return false
}

// write sends a call with side effects. It tries the next endpoint only if no connection to the current
// one could be made, so that the call is sent at most once.
func (k *KV) write(ctx context.Context, step, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrNotApplied, err)
	}
	ctx, cancel := context.WithTimeout(ctx, k.Timeout.D())
	defer cancel()
	var lastErr error
	for _, endpoint := range k.endpointsByPreference() {
		connected, err := k.post(ctx, k.unpooledClient, endpoint+path, body, out)
		if err == nil {
			return nil
		}
		lastErr = oops.With("step", step).With("peer", endpoint).Wrap(classifyWrite(connected, err))
		var r *statusError
		if errors.As(err, &r) && r.notApplied() {
			return lastErr
		}
		k.failureCount.Add(1)
		if connected || ctx.Err() != nil {
			return lastErr
		}
	}
	return lastErr
}

// classifyWrite wraps the cause of a failed write in the matching error of package platform.
func classifyWrite(connected bool, err error) error {
	var r *statusError
	switch {
	case errors.As(err, &r) && r.code == etcdjson.CodeNotFound:
		return fmt.Errorf("%w: %w: %w", platform.ErrLeaseNotFound, platform.ErrNotApplied, err)
	case !connected, r != nil && r.notApplied():
		return fmt.Errorf("%w: %w", platform.ErrNotApplied, err)
	default:
		return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
	}
}

// read sends a call that may be repeated, such as a range or a lease renewal, to one endpoint after another
// until one succeeds or rejects it.
func (k *KV) read(ctx context.Context, step, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, k.Timeout.D())
	defer cancel()
	var lastErr error
	endpoints := k.endpointsByPreference()
	for i, endpoint := range endpoints {
		// Each endpoint but the last gets at most half of the timeout, so that one unresponsive endpoint
		// leaves time for the next. Two unresponsive ones use up the timeout.
		limit := k.Timeout.D()
		if i < len(endpoints)-1 {
			limit /= 2
		}
		attemptCtx, cancelAttempt := context.WithTimeout(ctx, limit)
		_, err := k.post(attemptCtx, k.readClient, endpoint+path, body, out)
		cancelAttempt()
		if err == nil {
			return nil
		}
		lastErr = oops.With("step", step).With("peer", endpoint).Wrap(fmt.Errorf("%w: %w", platform.ErrUnavailable, err))
		var r *statusError
		if errors.As(err, &r) && r.notApplied() {
			if r.code == etcdjson.CodeNotFound {
				return errors.Join(platform.ErrLeaseNotFound, lastErr)
			}
			return lastErr
		}
		// Do not reuse a connection that may be unresponsive.
		k.readClient.CloseIdleConnections()
		k.failureCount.Add(1)
		if ctx.Err() != nil {
			// The remaining endpoints have not been asked, so the next call prefers one of them.
			return lastErr
		}
	}
	return lastErr
}

// post sends one request once and decodes the reply into out. connected is false only if no byte of the
// request can have been sent.
func (k *KV) post(ctx context.Context, c *http.Client, url string, body []byte, out any) (connected bool, err error) {
	resp, connected, err := k.send(ctx, c, url, body)
	if err != nil {
		return connected, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return true, err
	}
	return true, json.Unmarshal(raw, out)
}

// send sends a request and returns the response if its status is 200, else a *statusError. The boolean is
// false only if no byte of the request can have been sent.
func (k *KV) send(ctx context.Context, c *http.Client, url string, body []byte) (*http.Response, bool, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	// NopCloser hides the type of the reader, so that net/http sets no GetBody and cannot resend the body.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, false, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return nil, connected.Load(), err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, true, nil
	}
	defer resp.Body.Close()
	r := &statusError{status: resp.StatusCode}
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorReplyBytes))
	var reply etcdjson.ErrorReply
	if json.Unmarshal(raw, &reply) == nil {
		r.code, r.message = reply.Code, reply.Message
	}
	return nil, true, r
}
