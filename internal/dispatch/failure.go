package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
)

// Limits of the time to the first token or byte. The class's target is a target, not a limit: an
// attempt is given up only when a working endpoint would long have answered.
const (
	firstTokenFactor  = 5
	leastFactor       = 2
	minFirstToken     = 5 * time.Second
	maxFirstToken     = time.Minute
	wholeAnswerFactor = 3
	minWholeAnswer    = time.Minute
)

// firstTokenLimit returns the time after which an attempt without a first token is given up. An
// engine's answer that is not streamed has no token before its end.
func firstTokenLimit(r *Request, assembling bool) time.Duration {
	total := r.Class.Total.D()
	if r.Pool.Kind == config.KindEngine && !r.Stream && !assembling {
		return max(wholeAnswerFactor*total, minWholeAnswer)
	}
	target := r.Class.FirstToken.D()
	if r.Pool.Kind == config.KindPlain {
		// A plain service may take the whole time before its first byte.
		target = total
	}
	if target == 0 {
		return maxFirstToken
	}
	limit := min(max(firstTokenFactor*target, minFirstToken), maxFirstToken)
	return max(limit, leastFactor*target)
}

func overloaded(message string, after time.Duration) *Error {
	return &Error{Status: http.StatusServiceUnavailable, Code: CodeOverloaded, Message: message, RetryAfter: after}
}

func gone() *Error {
	return &Error{Status: statusCallerGone, Code: CodeCallerGone, Message: errCallerGone.Error()}
}

// notGranted ends a request that got no slot.
func (r *run) notGranted(ctx context.Context, err error) verdict {
	var shed *ShedError
	if errors.As(err, &shed) {
		r.d.counters.shed.Inc(1)
		r.shed = true
		return verdict{err: overloaded(shed.Error(), shed.RetryAfter)}
	}
	if ctx.Err() != nil {
		return *r.canceled(ctx)
	}
	return verdict{err: overloaded("no scheduler can be reached: "+err.Error(), time.Second)}
}

// canceled ends a request whose caller is gone or whose deadline has passed.
func (r *run) canceled(ctx context.Context) *verdict {
	if errors.Is(context.Cause(ctx), errDeadline) {
		return &verdict{err: &Error{Status: http.StatusGatewayTimeout, Code: CodeDeadline, Message: errDeadline.Error()}}
	}
	return &verdict{err: gone()}
}

// giveUp ends a request after a failed attempt.
func (r *run) giveUp(res endpoint.Result) *verdict {
	switch {
	case res.NotRun || !res.Sent:
		return &verdict{err: overloaded("no endpoint accepted the request", max(res.RetryAfter, time.Second))}
	case res.Complete && r.relay.deliverable():
		// The engine's own error is the best answer there is.
		return &verdict{complete: true, status: res.Status}
	case res.Timeout != endpoint.TimeoutNone:
		return &verdict{err: &Error{Status: http.StatusGatewayTimeout, Code: CodeEndpointFailed, Message: "the endpoint went silent: " + res.Err.Error()}}
	}
	message := "the endpoint failed"
	if res.Err != nil {
		message += ": " + res.Err.Error()
	}
	return &verdict{err: &Error{Status: http.StatusBadGateway, Code: CodeEndpointFailed, Message: message}}
}
