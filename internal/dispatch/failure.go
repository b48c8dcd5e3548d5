package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
)

// Limits of the time to the first token or byte. The class's latency target is not a limit: an attempt is
// ended only when a working endpoint would have responded long before.
const (
	// firstTokenFactor times the target is the timeout, bounded by minFirstTokenTimeout and
	// maxFirstTokenTimeout. It is never less than minTargetFactor times the target.
	firstTokenFactor     = 5
	minTargetFactor      = 2
	minFirstTokenTimeout = 5 * time.Second
	maxFirstTokenTimeout = time.Minute
	// wholeResponseFactor times the total target, and at least minWholeResponseTimeout, is the timeout of a
	// response that has no token before its end.
	wholeResponseFactor     = 3
	minWholeResponseTimeout = time.Minute
)

// firstTokenTimeout returns the time after which an attempt without a first token is ended. A non-streaming
// response of an engine has no token before its end, so its timeout covers the whole response.
func firstTokenTimeout(r *Request, assembling bool) time.Duration {
	total := r.Class.Total.D()
	if r.Pool.Kind == config.KindEngine && !r.Stream && !assembling {
		return max(wholeResponseFactor*total, minWholeResponseTimeout)
	}
	target := r.Class.FirstToken.D()
	if r.Pool.Kind == config.KindPlain {
		// A plain service may use the whole time before its first byte.
		target = total
	}
	if target == 0 {
		return maxFirstTokenTimeout
	}
	limit := min(max(firstTokenFactor*target, minFirstTokenTimeout), maxFirstTokenTimeout)
	return max(limit, minTargetFactor*target)
}

func overloadedError(message string, after time.Duration) *Error {
	return &Error{Status: http.StatusServiceUnavailable, Code: CodeOverloaded, Message: message, RetryAfter: after}
}

func callerGoneError() *Error {
	return &Error{Status: statusCallerGone, Code: CodeCallerGone, Message: errCallerGone.Error()}
}

// acquireFailed returns the result of a request that got no slot.
func (r *run) acquireFailed(ctx context.Context, err error) finalResult {
	var shed *ShedError
	if errors.As(err, &shed) {
		r.dispatcher.counters.shed.Inc(1)
		r.shed = true
		return finalResult{err: overloadedError(shed.Error(), shed.RetryAfter)}
	}
	if ctx.Err() != nil {
		return *r.canceledResult(ctx)
	}
	return finalResult{err: overloadedError("no scheduler can be reached: "+err.Error(), time.Second)}
}

// canceledResult returns the result of a request whose deadline has passed or whose caller has disconnected.
func (r *run) canceledResult(ctx context.Context) *finalResult {
	if errors.Is(context.Cause(ctx), errDeadline) {
		return &finalResult{err: &Error{
			Status: http.StatusGatewayTimeout, Code: CodeDeadlineExceeded, Message: errDeadline.Error(),
		}}
	}
	return &finalResult{err: callerGoneError()}
}

// finalFailure returns the result of a request whose last attempt failed.
func (r *run) finalFailure(res endpoint.Result) *finalResult {
	switch {
	case res.NotRun || !res.Sent:
		return &finalResult{err: overloadedError("no endpoint accepted the request", max(res.RetryAfter, time.Second))}
	case res.Complete && r.relay.deliverable():
		// No other response is available, so the engine's own error is passed on.
		return &finalResult{complete: true, status: res.Status}
	case res.Timeout != endpoint.TimeoutNone:
		return &finalResult{err: &Error{
			Status: http.StatusGatewayTimeout, Code: CodeEndpointFailed,
			Message: "the endpoint went silent: " + res.Err.Error(),
		}}
	}
	message := "the endpoint failed"
	if res.Err != nil {
		message += ": " + res.Err.Error()
	}
	return &finalResult{err: &Error{Status: http.StatusBadGateway, Code: CodeEndpointFailed, Message: message}}
}
