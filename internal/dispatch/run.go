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
	// maxAttempts bounds the attempts of one request, whatever the budget allows.
	maxAttempts = 8
	// maxExpiredGrants bounds the grants that expire before the attempt starts.
	maxExpiredGrants = 4
)

// errPreempted is the cause of an attempt's end when the scheduler took its slot back.
var errPreempted = errors.New("the scheduler took the slot back")

// run is one request in progress. It is used by one goroutine.
type run struct {
	dispatcher  *Dispatcher
	req         *Request
	relay       *relay
	fingerprint poison.Fingerprint
	// pendingAnnouncements tells the end of this request's announcements of suspects.
	pendingAnnouncements []<-chan struct{}
	// beforeAttempt is called once a slot is held, before each attempt; the attempt is made when it
	// returns true. The context that it returns is the attempt's.
	beforeAttempt func(context.Context) (context.Context, *finalResult)

	attemptNumber uint32
	expiredGrants int
	avoid         []string
	avoidZone     string
	// mayHaveRun says that an endpoint may have run the request.
	mayHaveRun bool
	suspected  bool
	preempted  bool

	// wasteReason says why the next attempt computes tokens again.
	wasteReason telemetry.Waste
	retries     int
	shed        bool
}

// finalResult is the end of a request before its caller is told.
type finalResult struct {
	complete bool
	// status is the HTTP status of a complete answer.
	status int
	err    *Error
}

func (r *run) attemptName() string {
	return r.req.AttemptID + "/" + strconv.FormatUint(uint64(r.attemptNumber), 10)
}

// runIdempotent runs an idempotent request to its end.
func (r *run) runIdempotent(ctx context.Context) Result {
	v := r.runAttempts(ctx)
	if !v.complete || v.status >= http.StatusInternalServerError {
		r.awaitAnnouncements()
	}
	return r.deliver(v)
}

// deliver completes the caller's answer and names the outcome.
func (r *run) deliver(v finalResult) Result {
	if !v.complete {
		return Result{Outcome: r.failureOutcome(), Err: v.err}
	}
	outcome := Completed
	if v.status >= http.StatusInternalServerError {
		outcome = Failed
	}
	if err := r.relay.finish(outcome); err != nil {
		return Result{Outcome: Failed, Err: callerGoneError()}
	}
	return Result{Outcome: outcome}
}

// failureOutcome is the outcome of an idempotent request without an answer.
func (r *run) failureOutcome() Outcome {
	if r.mayHaveRun {
		return Failed
	}
	return NotRun
}

// runAttempts makes runAttempts until the request has an answer or must end without one.
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
			var v *finalResult
			if sendCtx, v = r.beforeAttempt(ctx); v != nil {
				releaseUnused(slot)
				return *v
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
		if v := r.afterAttempt(sendCtx, e, res); v != nil {
			return *v
		}
	}
}

// releaseUnused returns a slot that was not used. That nothing was sent says nothing about the endpoint.
func releaseUnused(slot Slot) { slot.Finish(peer.Outcome_OUTCOME_CANCELED, 0, 0, 0) }

// startExpired says that the time to start an attempt has passed. The wall clock is checked too, because the
// monotonic one may stand still while the VM is suspended.
func startExpired(now, startBy time.Time) bool {
	return now.After(startBy) || now.Round(0).After(startBy.Round(0))
}

// usableEndpoint returns the granted endpoint. An endpoint that is unknown here or cannot continue the answer
// is given back and avoided.
func (r *run) usableEndpoint(slot Slot) (config.Endpoint, bool) {
	e, ok := r.dispatcher.opts.Snapshot().Endpoints[slot.Endpoint()]
	tokens, _ := r.relay.delivered()
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

// acquire asks the scheduler for a slot.
func (r *run) acquire(ctx context.Context) (Slot, error) {
	if r.poolExhausted() {
		return nil, &ShedError{Reason: "no further endpoint can run the request", RetryAfter: time.Second}
	}
	tokens, _ := r.relay.delivered()
	a := &peer.Acquire{
		Attempt: &peer.Attempt{RequestId: r.req.AttemptID, Number: r.attemptNumber},
		Class:   r.req.Class.Name, Workspace: r.req.Workspace,
		Model: r.req.Pool.Model, Adapter: r.req.Adapter, Zone: r.dispatcher.opts.Zone,
		PromptTokens: uint32(r.req.PromptTokens), MaxTokens: uint32(r.req.MaxTokens), ResumedTokens: uint32(tokens),
		WaitedUs: uint64(time.Since(r.req.Arrival).Microseconds()),
		Blocks:   r.req.Blocks, Avoid: r.avoid, AvoidZone: r.avoidZone,
		Suspect: r.suspected, Preempted: r.preempted || !r.preemptible(),
	}
	if !r.req.Deadline.IsZero() {
		a.RemainingUs = uint64(max(time.Until(r.req.Deadline).Microseconds(), 1))
	}
	return r.dispatcher.opts.Scheduler.Acquire(ctx, r.req.Pool.Name, a)
}

// runAttempt sends the request to an endpoint once and returns the slot.
func (r *run) runAttempt(ctx context.Context, e config.Endpoint, slot Slot) endpoint.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := r.relay.beginAttempt(r.attemptNumber, slot)
	if r.preemptible() {
		resumes := r.poolCanResume()
		go func() {
			select {
			case <-slot.Preempted():
				s.preempt(cancel, resumes)
			case <-ctx.Done():
			}
		}()
	}
	tokens, text := r.relay.delivered()
	if r.mayHaveRun {
		r.relay.addWasted(r.wasteReason, r.req.PromptTokens+tokens)
	}
	a := &endpoint.Attempt{
		Request: &r.req.Request, Endpoint: e, Number: r.attemptNumber, Tier: r.req.Class.Tier,
		Assemble: r.relay.assembling, Tokens: tokens, Text: text,
		FirstToken: firstTokenTimeout(r.req, r.relay.assembling), BetweenTokens: r.dispatcher.opts.InterToken,
	}
	begun := time.Now()
	res := r.dispatcher.opts.Kinds[r.req.Pool.Kind].Do(ctx, a, s)
	outcome := res.Outcome()
	switch {
	case errors.Is(res.Err, errPreempted):
		outcome = peer.Outcome_OUTCOME_PREEMPTED
	case errors.Is(res.Err, errGap):
		outcome = peer.Outcome_OUTCOME_FAILED
	case res.Complete && res.Status == http.StatusTooManyRequests && r.retryStatus(res.Status):
		outcome = peer.Outcome_OUTCOME_REFUSED
	}
	tokens, _ = r.relay.delivered()
	slot.Finish(outcome, tokens, res.FirstTokenAfter, time.Since(begun))
	return res
}

// preemptible says whether a canceled attempt can be made up for. What the caller has of a streamed
// answer must be continuable, and the request must be one that may be repeated.
func (r *run) preemptible() bool { return r.req.retryable() && (r.req.Continuable || !r.req.Stream) }

// afterAttempt decides what follows an attempt. It returns nil when another attempt follows.
func (r *run) afterAttempt(ctx context.Context, e config.Endpoint, res endpoint.Result) *finalResult {
	r.mayHaveRun = r.mayHaveRun || res.Started()
	r.wasteReason = telemetry.Retried
	if res.Crashed {
		r.recordCrash(e.ID)
	}
	if ctx.Err() == nil && r.retryUnassembled(res) {
		return nil
	}
	switch {
	case res.Complete && !r.retryStatus(res.Status) && r.relay.deliverable():
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
	v := r.decideRetry(res)
	if v != nil && v.err != nil && r.relay.finishReceived() {
		// Only token counts are missing, and no endpoint can supply them.
		return &finalResult{complete: true, status: http.StatusOK}
	}
	return v
}

// retryUnassembled asks for the whole answer as the caller did when it cannot be assembled: its tokens have
// no text, or the engine rejects the request in the form of a stream.
func (r *run) retryUnassembled(res endpoint.Result) bool {
	l := r.relay
	if !l.assembling {
		return false
	}
	opaque := errors.Is(res.Err, errTokenWithoutText)
	if opaque {
		r.dispatcher.unassemblableModels.Store(r.req.Pool.Model, true)
	}
	tokens, _ := l.delivered()
	rejected := tokens == 0 && res.Complete && (res.Status == http.StatusBadRequest || res.Status == http.StatusUnprocessableEntity)
	if !opaque && !rejected {
		return false
	}
	l.assembling = false
	l.discardAssembly(telemetry.Retried)
	return true
}

// retryStatus says whether a complete answer of an engine is a failure of the engine. Answers of
// plain services are passed as they are.
func (r *run) retryStatus(status int) bool {
	return r.req.Pool.Kind == config.KindEngine &&
		(status >= http.StatusInternalServerError || status == http.StatusTooManyRequests)
}

// decideRetry decides whether another attempt follows a failed one.
func (r *run) decideRetry(res endpoint.Result) *finalResult {
	now := time.Now()
	switch {
	case r.relay.maxTokensReached():
		return r.resumeOrFinish(res)
	case r.dispatcher.suspects.crashes(r.fingerprint) >= poison.Limit:
		r.dispatcher.counters.stopped.Inc(1)
		return &finalResult{err: repeatedCrashError()}
	case !retry.Safe(retry.Failure{NonIdempotent: !r.req.retryable(), Started: res.Started()}):
		return r.finalFailure(res)
	case r.attemptNumber >= maxAttempts, r.poolExhausted(), !retry.Useful(now, r.req.Deadline, res.FirstTokenAfter):
		return r.finalFailure(res)
	}
	if v := r.resumeOrFinish(res); v != nil {
		return v
	}
	// A request of which nothing was sent cost no endpoint anything, so that it needs no budget.
	if res.Sent && !r.dispatcher.takeRetry(r.req.Class.Name) {
		return r.finalFailure(res)
	}
	r.dispatcher.counters.retries.Inc(1)
	r.retries++
	return nil
}

// resumeOrFinish returns nil when the answer can be repeated or continued by another attempt.
func (r *run) resumeOrFinish(res endpoint.Result) *finalResult {
	l := r.relay
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.headerSent && !l.maxTokensReachedLocked():
		if l.tokens > 0 {
			r.dispatcher.counters.resumes.Inc(1)
		}
		return nil
	case l.tokens == 0 && r.req.Stream:
		return nil
	case l.tokens == 0, l.hasTextlessToken, !r.req.Continuable:
		return r.finalFailure(res)
	case l.maxTokensReachedLocked():
		if err := l.finishAtMaxTokens(); err != nil {
			return &finalResult{err: callerGoneError()}
		}
		return &finalResult{complete: true, status: http.StatusOK}
	}
	r.dispatcher.counters.resumes.Inc(1)
	return nil
}
