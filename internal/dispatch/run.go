package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/internal/poison"
	"github.com/chivewind/chivewind/internal/retry"
	"github.com/chivewind/chivewind/internal/telemetry"
	"github.com/chivewind/chivewind/peer"
)

const (
	// maxAttempts limits the attempts of one request regardless of the retry budget.
	maxAttempts = 8
	// maxExpiredGrants limits the grants of one request that expire before their attempts are started.
	maxExpiredGrants = 4
)

// errPreempted is the cancellation cause of an attempt whose slot the scheduler revoked.
var errPreempted = errors.New("the scheduler took the slot back")

// run holds the state of one request in progress. It is used by a single goroutine.
type run struct {
	dispatcher  *Dispatcher
	req         *Request
	relay       *relay
	fingerprint poison.Fingerprint
	// pendingAnnouncements holds the done channels of the announcements about this request.
	pendingAnnouncements []<-chan struct{}
	// beforeAttempt, if set, is called before each attempt while the slot is held. It returns the
	// context of the attempt, or a final result when the attempt must not be made.
	beforeAttempt func(context.Context) (context.Context, *finalResult)

	attemptNumber uint32
	expiredGrants int
	// avoid holds the IDs of endpoints that must not run the next attempt.
	avoid []string
	// avoidZone is the availability zone of the endpoint that failed last, or "" if the pool has no other zone or
	// all endpoints of its other zones are avoided.
	avoidZone string
	// mayHaveRun reports whether an endpoint may have run the request.
	mayHaveRun bool
	// suspected reports whether crashes of endpoints are attributed to the request.
	suspected bool
	// preempted reports whether an attempt has been preempted.
	preempted bool

	// wasteReason is the reason under which the tokens that the next attempt computes again are counted as
	// wasted.
	wasteReason telemetry.WasteReason
	retries     int
	shed        bool
}

// finalResult is the result of a request after its last attempt, before it is delivered to the caller.
type finalResult struct {
	complete bool
	// status is the HTTP status of a complete response.
	status int
	err    *Error
}

func (r *run) attemptName() string {
	return r.req.InternalID + "/" + strconv.FormatUint(uint64(r.attemptNumber), 10)
}

// runIdempotent runs an idempotent request and delivers its result.
func (r *run) runIdempotent(ctx context.Context) Result {
	final := r.runAttempts(ctx)
	if !final.complete || final.status >= http.StatusInternalServerError {
		r.awaitAnnouncements()
	}
	return r.deliver(final)
}

// deliver finishes the response to the caller and returns the outcome.
func (r *run) deliver(final finalResult) Result {
	if !final.complete {
		return Result{Outcome: r.failureOutcome(), Err: final.err}
	}
	outcome := Completed
	if final.status >= http.StatusInternalServerError {
		outcome = Failed
	}
	if err := r.relay.finish(outcome); err != nil {
		return Result{Outcome: Failed, Err: callerGoneError()}
	}
	return Result{Outcome: outcome}
}

// failureOutcome returns the outcome of an idempotent request without a response.
func (r *run) failureOutcome() Outcome {
	if r.mayHaveRun {
		return Failed
	}
	return NotRun
}

// runAttempts makes attempts until the request has a response or must fail.
func (r *run) runAttempts(ctx context.Context) finalResult {
	defer r.relay.endAttempts()
	for {
		r.attemptNumber++
		slot, err := r.acquire(ctx)
		if err != nil {
			return r.acquireFailed(ctx, err)
		}
		e, usable := r.usableEndpoint(slot)
		if !usable {
			continue
		}
		sendCtx := ctx
		if r.beforeAttempt != nil {
			var final *finalResult
			if sendCtx, final = r.beforeAttempt(ctx); final != nil {
				releaseUnused(slot)
				return *final
			}
		}
		if startExpired(time.Now(), slot.StartBy()) {
			releaseUnused(slot)
			if r.expiredGrants++; r.expiredGrants > maxExpiredGrants {
				return finalResult{err: overloadedError("no endpoint could be reached in time", time.Second)}
			}
			continue
		}
		res := r.runAttempt(sendCtx, e, slot)
		if final := r.afterAttempt(sendCtx, e, res); final != nil {
			return *final
		}
	}
}

// releaseUnused releases a slot that was not used. It reports the outcome as canceled, because an unsent
// request is no evidence about the endpoint.
func releaseUnused(slot Slot) { slot.Finish(peer.Outcome_OUTCOME_CANCELED, 0, 0, 0) }

// startExpired reports whether the time to start an attempt has passed. It also compares wall clock times,
// because the monotonic clock may stop while the VM is suspended.
func startExpired(now, startBy time.Time) bool {
	return now.After(startBy) || now.Round(0).After(startBy.Round(0))
}

// usableEndpoint returns the endpoint of the slot and whether it can run the next attempt. The slot of an
// endpoint that is not in the configuration or cannot resume the response is released, and the endpoint is
// avoided from then on. A response that is still being assembled is restarted instead.
func (r *run) usableEndpoint(slot Slot) (config.Endpoint, bool) {
	e, ok := r.dispatcher.opts.Snapshot().Endpoints[slot.Endpoint()]
	tokens, _ := r.relay.received()
	if ok && (tokens == 0 || e.Has(config.CapResume)) {
		return e, true
	}
	if ok && r.relay.assembling {
		r.relay.discardAssembly(r.wasteReason)
		return e, true
	}
	releaseUnused(slot)
	r.avoid = append(r.avoid, slot.Endpoint())
	return e, false
}

// acquire requests a slot from the scheduler.
func (r *run) acquire(ctx context.Context) (Slot, error) {
	if r.poolExhausted() {
		return nil, &ShedError{Reason: "no further endpoint can run the request", RetryAfter: time.Second}
	}
	tokens, _ := r.relay.received()
	// Schedulers do not preempt a request that is marked as preempted. The mark is also set when the request
	// could not be continued after a preemption.
	a := &peer.Acquire{
		Attempt: &peer.Attempt{RequestId: r.req.InternalID, Number: r.attemptNumber},
		Class:   r.req.Class.Name, Workspace: r.req.Workspace,
		Model: r.req.Pool.Model, Adapter: r.req.Adapter, Zone: r.dispatcher.opts.Zone,
		PromptTokens: uint32(r.req.PromptTokens), MaxTokens: uint32(r.req.MaxTokens), ResumedTokens: uint32(tokens),
		WaitedUs: uint64(time.Since(r.req.Arrival).Microseconds()),
		Blocks:   r.req.PrefixHashes, Avoid: r.avoid, AvoidZone: r.avoidZone,
		Suspect: r.suspected, Preempted: r.preempted || !r.preemptible(),
	}
	if !r.req.Deadline.IsZero() {
		a.RemainingUs = uint64(max(time.Until(r.req.Deadline).Microseconds(), 1))
	}
	return r.dispatcher.opts.Scheduler.Acquire(ctx, r.req.Pool.Name, a)
}

// runAttempt sends the request to the endpoint once and releases the slot.
func (r *run) runAttempt(ctx context.Context, e config.Endpoint, slot Slot) endpoint.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := r.relay.beginAttempt(r.attemptNumber, slot)
	if r.preemptible() {
		canResume := r.poolCanResume()
		go func() {
			select {
			case <-slot.Preempted():
				s.preempt(cancel, canResume)
			case <-ctx.Done():
			}
		}()
	}
	tokens, text := r.relay.received()
	if r.mayHaveRun {
		r.relay.addWasted(r.wasteReason, r.req.PromptTokens+tokens)
	}
	a := &endpoint.Attempt{
		Request: &r.req.Request, Endpoint: e, Number: r.attemptNumber, Tier: r.req.Class.Tier,
		Assemble: r.relay.assembling, Tokens: tokens, Text: text,
		FirstTokenTimeout: firstTokenTimeout(r.req, r.relay.assembling),
		InterTokenTimeout: r.dispatcher.opts.InterTokenTimeout,
	}
	start := time.Now()
	res := r.dispatcher.opts.EndpointKinds[r.req.Pool.Kind].Do(ctx, a, s)
	outcome := res.Outcome()
	switch {
	case errors.Is(res.Err, errPreempted):
		outcome = peer.Outcome_OUTCOME_PREEMPTED
	case errors.Is(res.Err, errGap):
		outcome = peer.Outcome_OUTCOME_FAILED
	case res.Complete && res.Status == http.StatusTooManyRequests && r.isFailureStatus(res.Status):
		outcome = peer.Outcome_OUTCOME_REFUSED
	}
	tokens, _ = r.relay.received()
	slot.Finish(outcome, tokens, res.FirstTokenAfter, time.Since(start))
	return res
}

// preemptible reports whether a canceled attempt can be replaced by another one: the request may run more
// than once, and the part of a stream that the caller already has can be continued.
func (r *run) preemptible() bool { return r.req.retryable() && (r.req.Resumable || !r.req.Stream) }

// afterAttempt evaluates an attempt. It returns nil when another attempt is to be made.
func (r *run) afterAttempt(ctx context.Context, e config.Endpoint, res endpoint.Result) *finalResult {
	r.mayHaveRun = r.mayHaveRun || res.MayHaveRun()
	r.wasteReason = telemetry.Retried
	if res.Crashed {
		r.recordCrash(e.ID)
	}
	if ctx.Err() == nil && r.retryUnassembled(res) {
		return nil
	}
	switch {
	case res.Complete && !r.isFailureStatus(res.Status) && r.relay.deliverable():
		if res.Status < http.StatusInternalServerError {
			r.clearSuspicion()
		}
		return &finalResult{complete: true, status: res.Status}
	case r.relay.complete():
		return &finalResult{complete: true, status: http.StatusOK}
	case ctx.Err() != nil || errors.Is(res.Err, errCallerGone):
		return r.canceledResult(ctx)
	case errors.Is(res.Err, errPreempted):
		r.dispatcher.counters.preemptions.Inc(1)
		r.preempted = true
		r.wasteReason = telemetry.Preempted
		return r.resumeOrFinish(res)
	case res.Stale && r.req.retryable() && r.attemptNumber < maxAttempts:
		return nil
	}
	r.dispatcher.opts.Log.Debug("attempt failed", "request", r.attemptName(), "endpoint", e.ID, "error", res.Err)
	r.avoid = append(r.avoid, e.ID)
	r.avoidZone = r.zoneToAvoid(e.Zone)
	final := r.decideRetry(res)
	if final != nil && final.err != nil && r.relay.finishReasonReceived() {
		// Only the token counts are missing, and no endpoint can supply them.
		return &finalResult{complete: true, status: http.StatusOK}
	}
	return final
}

// retryUnassembled stops assembling the response and returns true when it cannot be assembled from a stream,
// because a token had no text or the engine rejected the streaming request. The next attempt then sends the
// request in the form that the caller asked for.
func (r *run) retryUnassembled(res endpoint.Result) bool {
	l := r.relay
	if !l.assembling {
		return false
	}
	textless := errors.Is(res.Err, errTokenWithoutText)
	if textless {
		r.dispatcher.unassemblableModels.Store(r.req.Pool.Model, true)
	}
	tokens, _ := l.received()
	rejected := tokens == 0 && res.Complete &&
		(res.Status == http.StatusBadRequest || res.Status == http.StatusUnprocessableEntity)
	if !textless && !rejected {
		return false
	}
	l.assembling = false
	l.discardAssembly(telemetry.Retried)
	return true
}

// isFailureStatus reports whether a complete response of an engine with this status counts as a failed attempt.
// Responses of plain services are passed through.
func (r *run) isFailureStatus(status int) bool {
	return r.req.Pool.Kind == config.KindEngine &&
		(status >= http.StatusInternalServerError || status == http.StatusTooManyRequests)
}

// decideRetry returns nil when a failed attempt is to be followed by another one, and the final result
// otherwise.
func (r *run) decideRetry(res endpoint.Result) *finalResult {
	now := time.Now()
	switch {
	case r.relay.maxTokensReached():
		return r.resumeOrFinish(res)
	case r.dispatcher.suspects.crashes(r.fingerprint) >= poison.CrashLimit:
		r.dispatcher.counters.stopped.Inc(1)
		return &finalResult{err: repeatedCrashError()}
	case !retry.Safe(retry.Failure{NonIdempotent: !r.req.retryable(), MayHaveRun: res.MayHaveRun()}):
		return r.finalFailure(res)
	case r.attemptNumber >= maxAttempts, r.poolExhausted(), !retry.FitsDeadline(now, r.req.Deadline, res.FirstTokenAfter):
		return r.finalFailure(res)
	}
	if final := r.resumeOrFinish(res); final != nil {
		return final
	}
	// An attempt that sent nothing caused no load on an endpoint, so it is not charged to the retry budget.
	if res.Sent && !r.dispatcher.takeRetry(r.req.Class.Name) {
		return r.finalFailure(res)
	}
	r.dispatcher.counters.retries.Inc(1)
	r.retries++
	return nil
}

// resumeOrFinish returns nil when another attempt can repeat or continue the response, and the final result
// otherwise. A response that already has the maximum number of tokens is finished here.
func (r *run) resumeOrFinish(res endpoint.Result) *finalResult {
	switch r.continuation() {
	case cannotContinue:
		return r.finalFailure(res)
	case finishedAtMaxTokens:
		return &finalResult{complete: true, status: http.StatusOK}
	case callerLeft:
		return &finalResult{err: callerGoneError()}
	}
	return nil
}

// continuation says how a response can go on after a failed attempt.
type continuation int

const (
	// canContinue: another attempt can repeat or continue the response.
	canContinue continuation = iota
	cannotContinue
	// finishedAtMaxTokens: the response had the maximum number of tokens and has been finished.
	finishedAtMaxTokens
	// callerLeft: the caller disconnected before the response could be finished.
	callerLeft
)

// continuation determines how the response can go on, and finishes it if it has the maximum number of tokens. It holds
// the relay's mutex, so it must not call other methods of the relay that lock it.
func (r *run) continuation() continuation {
	l := r.relay
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.headerSent && !l.maxTokensReachedLocked():
		if l.tokens > 0 {
			r.dispatcher.counters.resumes.Inc(1)
		}
		return canContinue
	case l.tokens == 0 && r.req.Stream && !l.bodySent:
		return canContinue
	case l.tokens == 0, l.bodySent, l.hasTextlessToken, !r.req.Resumable:
		return cannotContinue
	case l.maxTokensReachedLocked():
		if err := l.finishAtMaxTokens(); err != nil {
			return callerLeft
		}
		return finishedAtMaxTokens
	}
	r.dispatcher.counters.resumes.Inc(1)
	return canContinue
}
