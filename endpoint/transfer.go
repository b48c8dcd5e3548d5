package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivewind/chivewind/internal/httpclient"
)

// Causes of a canceled or rejected transfer.
var (
	errFirstToken    = errors.New("no first token within the limit")
	errBetweenTokens = errors.New("no further token within the limit")
	// ErrLengthUnknown is returned for a response with neither a length nor an end marker: a truncated
	// response could not be distinguished from a complete one.
	ErrLengthUnknown = errors.New("answer has neither a length nor an end marker")
)

const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// Transfer is the HTTP exchange of one attempt. It enforces the time limits and classifies failures. It must
// not be used by several goroutines concurrently.
type Transfer struct {
	// Response is the response of the endpoint; its body is read during the transfer.
	Response *http.Response

	client   *httpclient.Client
	ctx      context.Context
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	attempt  *Attempt
	exchange *httpclient.Exchange
	start    time.Time
	// dataReceived is set when the first token of an event stream from an engine, or the header of any other
	// response, has arrived.
	dataReceived atomic.Bool
	result       Result
}

// StartTransfer sends the request, on a new connection if fresh is set. If it returns a nil Transfer, the attempt
// has ended with the returned Result.
func StartTransfer(
	ctx context.Context, c *httpclient.Client, req *http.Request, a *Attempt, fresh bool,
) (*Transfer, Result) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &Transfer{client: c, ctx: ctx, cancel: cancel, attempt: a, start: time.Now()}
	if a.FirstTokenTimeout > 0 {
		t.timer = time.AfterFunc(a.FirstTokenTimeout, t.expire)
	}
	var err error
	t.exchange, err = c.Send(req.WithContext(ctx), fresh)
	if err != nil {
		r := t.Fail(err)
		t.Close()
		return nil, r
	}
	t.Response = t.exchange.Response
	t.result.Status = t.Response.StatusCode
	t.result.Sent = true
	t.result.RetryAfter = retryAfter(t.Response.Header)
	if t.result.Status == http.StatusServiceUnavailable && t.Response.Header.Get(HeaderNotRun) == "true" {
		t.result.NotRun = true
		t.result.Err = errors.New("endpoint refused the request without running it")
		// The endpoint may write the refusal again, as the answer to the next request on the connection.
		t.exchange.CloseConnection()
		t.Close()
		return nil, t.result
	}
	return t, Result{}
}

// expire cancels the transfer when a time limit has passed.
func (t *Transfer) expire() {
	if t.dataReceived.Load() {
		t.cancel(errBetweenTokens)
		return
	}
	t.cancel(errFirstToken)
}

// StopTimer records that data has arrived and stops the timeout while the sink processes it, so that a slow caller
// is not counted as a timeout of the endpoint.
func (t *Transfer) StopTimer() {
	if !t.dataReceived.Load() {
		t.dataReceived.Store(true)
		t.result.FirstTokenAfter = max(time.Since(t.start), 1)
	}
	if t.timer != nil {
		t.timer.Stop()
	}
}

// RestartTimer restarts the timeout between tokens after StopTimer.
func (t *Transfer) RestartTimer() {
	if t.attempt.InterTokenTimeout > 0 && t.timer != nil {
		t.timer.Reset(t.attempt.InterTokenTimeout)
	}
}

// CountToken counts a delivered token.
func (t *Transfer) CountToken() { t.result.Tokens++ }

// Fail returns the result of a transfer that ended with a connection error, a timeout or a cancellation.
func (t *Transfer) Fail(err error) Result {
	r := t.result
	r.Sent = r.Sent || t.exchange.Sent()
	r.Err = err
	switch cause := context.Cause(t.ctx); {
	case errors.Is(cause, errFirstToken):
		r.Timeout = TimeoutFirstToken
		r.Err = cause
		r.Stale = t.exchange.Stale()
	case errors.Is(cause, errBetweenTokens):
		r.Timeout = TimeoutBetweenTokens
		r.Err = cause
	case cause != nil:
		r.Canceled = true
		r.Err = cause
	case r.Sent && httpclient.IsConnectionClosed(err):
		r.Stale = t.exchange.Stale()
		r.Crashed = !r.Stale
	}
	if r.Stale {
		// Other idle connections may be stale as well.
		t.client.CloseIdleConnections()
	}
	return r
}

// Reject returns the result of a transfer whose response is invalid although its connection did not fail.
func (t *Transfer) Reject(err error) Result {
	r := t.result
	r.Err = err
	return r
}

// Complete returns the result of a transfer whose response was received completely.
func (t *Transfer) Complete() Result {
	r := t.result
	r.Complete = true
	return r
}

// Close releases the connection. The connection is closed instead of reused if the response was not read to
// its end.
func (t *Transfer) Close() {
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.exchange != nil && t.exchange.Response != nil {
		_ = t.exchange.Response.Body.Close()
	}
	t.cancel(context.Canceled)
}

// CopyBody copies the response to the sink and verifies that its body is complete.
func (t *Transfer) CopyBody(s Sink) Result {
	if err := s.Head(t.Response.StatusCode, t.Response.Header); err != nil {
		return t.SinkFailed(err)
	}
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	t.StopTimer()
	for {
		t.RestartTimer()
		n, err := t.Response.Body.Read(buf[:])
		if n > 0 {
			t.StopTimer()
			if sinkErr := s.Body(buf[:n]); sinkErr != nil {
				return t.SinkFailed(sinkErr)
			}
		}
		if err == io.EOF {
			return t.checkEnd()
		}
		if err != nil {
			return t.Fail(err)
		}
		if n < len(buf) {
			if sinkErr := s.Flush(); sinkErr != nil {
				return t.SinkFailed(sinkErr)
			}
		}
	}
}

// SinkFailed cancels the transfer because the sink failed, which does not count as a failure of the endpoint.
func (t *Transfer) SinkFailed(err error) Result {
	t.cancel(fmt.Errorf("deliver the answer: %w", err))
	return t.Fail(err)
}

// checkEnd returns the result after the end of the body. A body without a declared length or chunked encoding
// is rejected, because it may have been truncated by the end of the connection.
func (t *Transfer) checkEnd() Result {
	resp := t.Response
	bodiless := resp.Request.Method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !bodiless {
		return t.Reject(ErrLengthUnknown)
	}
	return t.Complete()
}

// retryAfter parses a Retry-After header in seconds. It returns 0 if the header is absent or has another form.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
