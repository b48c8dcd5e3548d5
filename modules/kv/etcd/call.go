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

// maxReply bounds a reply: a listing may hold several values of the largest size.
const maxReply = 128 << 20

// maxErrorReply bounds the body of a refusal.
const maxErrorReply = 64 << 10

// refusal is an answer of the service that is not a success.
type refusal struct {
	status  int
	code    int
	message string
}

func (r *refusal) Error() string {
	return fmt.Sprintf("service answered %d (code %d): %s", r.status, r.code, r.message)
}

// definite says whether the service refused the call before it could take effect. Codes such as
// Unavailable or DeadlineExceeded are not: the service also sends them for a write whose
// replication has not finished.
func (r *refusal) definite() bool {
	switch r.code {
	case etcdjson.CodeInvalidArgument, etcdjson.CodeNotFound, etcdjson.CodePermissionDenied,
		etcdjson.CodeResourceExhausted, etcdjson.CodeFailedPrecondition, etcdjson.CodeOutOfRange,
		etcdjson.CodeUnimplemented, etcdjson.CodeUnauthenticated:
		return true
	}
	return false
}

// write sends a call that changes something to one endpoint. Only when no connection could be
// made does it try the next endpoint.
func (k *KV) write(ctx context.Context, step, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrNotApplied, err)
	}
	ctx, cancel := context.WithTimeout(ctx, k.Timeout.D())
	defer cancel()
	var last error
	for _, endpoint := range k.endpoints() {
		connected, err := k.post(ctx, k.writes, endpoint+path, body, out)
		if err == nil {
			return nil
		}
		last = oops.With("step", step).With("peer", endpoint).Wrap(classifyWrite(connected, err))
		var r *refusal
		if errors.As(err, &r) && r.definite() {
			return last
		}
		k.preferred.Add(1)
		if connected || ctx.Err() != nil {
			return last
		}
	}
	return last
}

// classifyWrite adds the platform's error to the cause of a failed write.
func classifyWrite(connected bool, err error) error {
	var r *refusal
	switch {
	case errors.As(err, &r) && r.code == etcdjson.CodeNotFound:
		return fmt.Errorf("%w: %w: %w", platform.ErrLeaseNotFound, platform.ErrNotApplied, err)
	case !connected, r != nil && r.definite():
		return fmt.Errorf("%w: %w", platform.ErrNotApplied, err)
	default:
		return fmt.Errorf("%w: %w", platform.ErrUnknown, err)
	}
}

// read sends a call without effect, to each endpoint in turn until one answers.
func (k *KV) read(ctx context.Context, step, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, k.Timeout.D())
	defer cancel()
	var last error
	endpoints := k.endpoints()
	for i, endpoint := range endpoints {
		// Each endpoint but the last gets half of the time.
		limit := k.Timeout.D()
		if i < len(endpoints)-1 {
			limit /= 2
		}
		attempt, cancelAttempt := context.WithTimeout(ctx, limit)
		_, err := k.post(attempt, k.reads, endpoint+path, body, out)
		cancelAttempt()
		if err == nil {
			return nil
		}
		last = oops.With("step", step).With("peer", endpoint).Wrap(fmt.Errorf("%w: %w", platform.ErrUnavailable, err))
		var r *refusal
		if errors.As(err, &r) && r.definite() {
			if r.code == etcdjson.CodeNotFound {
				return errors.Join(platform.ErrLeaseNotFound, last)
			}
			return last
		}
		// A silent connection must not be picked again.
		k.reads.CloseIdleConnections()
		k.preferred.Add(1)
	}
	return last
}

// post sends one request once. connected is false only when no byte of it can have been sent.
func (k *KV) post(ctx context.Context, c *http.Client, url string, body []byte, out any) (connected bool, err error) {
	resp, connected, err := k.open(ctx, c, url, body)
	if err != nil {
		return connected, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return true, err
	}
	return true, json.Unmarshal(raw, out)
}

// open sends a request and returns the response of a call that was not refused.
func (k *KV) open(ctx context.Context, c *http.Client, url string, body []byte) (*http.Response, bool, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	// The wrapper hides the reader's type, so that net/http sets no GetBody and cannot replay it.
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
	r := &refusal{status: resp.StatusCode}
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorReply))
	var reply etcdjson.ErrorReply
	if json.Unmarshal(raw, &reply) == nil {
		r.code, r.message = reply.Code, reply.Message
	}
	return nil, true, r
}
