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
	// maxLateGrants bounds the grants that expire before the attempt starts.
	maxLateGrants = 4
)

// errPreempted is the cause of an attempt's end when the scheduler took its slot back.
var errPreempted = errors.New("the scheduler took the slot back")

// run is one request in progress. It is used by one goroutine.
type run struct {
	d           *Dispatcher
	r           *Request
	relay       *relay
	fingerprint poison.Fingerprint
	// announced tells the end of this request's announcements of suspects.
	announced []<-chan struct{}
	// prepare is called once a slot is held, before each attempt; the attempt is made when it
	// returns true. The context that it returns is the attempt's.
	prepare func(context.Context) (context.Context, *verdict)

	number     uint32
	lateGrants int
	avoid      []string
	avoidZone  string
	// started says that an endpoint may have run the request.
	started   bool
	suspect   bool
	preempted bool

	// rework says why the next attempt computes tokens again.
	rework  telemetry.Waste
	retries int
	shed    bool
}

// verdict is the end of a request before its caller is told.
type verdict struct {
	complete bool
	// status is the HTTP status of a complete answer.
	status int
	err    *Error
}

func (r *run) attemptName() string {
	return r.r.AttemptID + "/" + strconv.FormatUint(uint64(r.number), 10)
}

// loop runs an idempotent request to its end.
func (r *run) loop(ctx context.Context) Result {
	v := r.attempts(ctx)
	if !v.complete || v.status >= http.StatusInternalServerError {
		r.awaitAnnounced()
	}
	return r.deliver(v)
}

// deliver completes the caller's answer and names the outcome.
func (r *run) deliver(v verdict) Result {
	if !v.complete {
		return Result{Outcome: r.failure(), Err: v.err}
	}
	outcome := Completed
	if v.status >= http.StatusInternalServerError {
		outcome = Failed
	}
	if err := r.relay.finish(outcome); err != nil {
		return Result{Outcome: Failed, Err: gone()}
	}
	return Result{Outcome: outcome}
}

// failure is the outcome of an idempotent request without an answer.
func (r *run) failure() Outcome {
	if r.started {
		return Failed
	}
	return NotRun
}

// attempts makes attempts until the request has an answer or must end without one.
func (r *run) attempts(ctx context.Context) verdict {
	defer r.relay.end()
	for {
		r.number++
		slot, err := r.acquire(ctx)
		if err != nil {
			return r.notGranted(ctx, err)
		}
		e, usable := r.usable(slot)
		if !usable {
			continue
		}
		sendCtx := ctx
		if r.prepare != nil {
			var v *verdict
			if sendCtx, v = r.prepare(ctx); v != nil {
				releaseUnused(slot)
				return *v
			}
		}
		if late(time.Now(), slot.StartBy()) {
			releaseUnused(slot)
			if r.lateGrants++; r.lateGrants > maxLateGrants {
				return verdict{err: overloaded("no endpoint could be reached in time", time.Second)}
			}
			continue
		}
		res := r.attempt(sendCtx, e, slot)
		if v := r.judge(sendCtx, e, res); v != nil {
			return *v
		}
	}
}

// releaseUnused returns a slot that was not used. That nothing was sent says nothing about the endpoint.
func releaseUnused(slot Slot) { slot.Finish(peer.Outcome_OUTCOME_CANCELED, 0, 0, 0) }

// late says that the time to start an attempt has passed. The wall clock is checked too, because the
// monotonic one may stand still while the VM is suspended.
func late(now, startBy time.Time) bool {
	return now.After(startBy) || now.Round(0).After(startBy.Round(0))
}

// usable returns the granted endpoint. An endpoint that is unknown here or cannot continue the answer
// is given back and avoided.
func (r *run) usable(slot Slot) (config.Endpoint, bool) {
	e, ok := r.d.o.Snapshot().Endpoints[slot.Endpoint()]
	tokens, _ := r.relay.delivered()
	if ok && (tokens == 0 || e.Has(config.CapResume)) {
		return e, true
	}
	if ok && r.relay.assembling {
		r.relay.restart(r.rework)
		return e, true
	}
	releaseUnused(slot)
	r.avoid = append(r.avoid, slot.Endpoint())
	return e, false
}

// acquire asks the scheduler for a slot.
func (r *run) acquire(ctx context.Context) (Slot, error) {
	if r.exhausted() {
		return nil, &ShedError{Reason: "no further endpoint can run the request", RetryAfter: time.Second}
	}
	tokens, _ := r.relay.delivered()
	a := &peer.Acquire{
		Attempt: &peer.Attempt{RequestId: r.r.AttemptID, Number: r.number},
		Class:   r.r.Class.Name, Workspace: r.r.Workspace,
		Model: r.r.Pool.Model, Adapter: r.r.Adapter, Zone: r.d.o.Zone,
		PromptTokens: uint32(r.r.PromptTokens), MaxTokens: uint32(r.r.MaxTokens), ResumedTokens: uint32(tokens),
		WaitedUs: uint64(time.Since(r.r.Arrival).Microseconds()),
		Blocks:   r.r.Blocks, Avoid: r.avoid, AvoidZone: r.avoidZone,
		Suspect: r.suspect, Preempted: r.preempted || !r.mayPreempt(),
	}
	if !r.r.Deadline.IsZero() {
		a.RemainingUs = uint64(max(time.Until(r.r.Deadline).Microseconds(), 1))
	}
	return r.d.o.Scheduler.Acquire(ctx, r.r.Pool.Name, a)
}

// attempt sends the request to an endpoint once and returns the slot.
func (r *run) attempt(ctx context.Context, e config.Endpoint, slot Slot) endpoint.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := r.relay.begin(r.number, slot)
	if r.mayPreempt() {
		resumes := r.poolResumes()
		go func() {
			select {
			case <-slot.Preempted():
				s.preempt(cancel, resumes)
			case <-ctx.Done():
			}
		}()
	}
	tokens, text := r.relay.delivered()
	if r.started {
		r.relay.waste(r.rework, r.r.PromptTokens+tokens)
	}
	a := &endpoint.Attempt{
		Request: &r.r.Request, Endpoint: e, Number: r.number, Tier: r.r.Class.Tier,
		Assemble: r.relay.assembling, Tokens: tokens, Text: text,
		FirstToken: firstTokenLimit(r.r, r.relay.assembling), BetweenTokens: r.d.o.InterToken,
	}
	begun := time.Now()
	res := r.d.o.Kinds[r.r.Pool.Kind].Do(ctx, a, s)
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

// mayPreempt says whether a canceled attempt can be made up for. What the caller has of a streamed
// answer must be continuable, and the request must be one that may be repeated.
func (r *run) mayPreempt() bool { return r.r.repeatable() && (r.r.Continuable || !r.r.Stream) }

// judge decides what follows an attempt. It returns nil when another attempt follows.
func (r *run) judge(ctx context.Context, e config.Endpoint, res endpoint.Result) *verdict {
	r.started = r.started || res.Started()
	r.rework = telemetry.Retried
	if res.Crashed {
		r.crashed(e.ID)
	}
	if ctx.Err() == nil && r.unassembled(res) {
		return nil
	}
	switch {
	case res.Complete && !r.retryStatus(res.Status) && r.relay.deliverable():
		if res.Status < http.StatusInternalServerError {
			r.cleared()
		}
		return &verdict{complete: true, status: res.Status}
	case r.relay.whole():
		return &verdict{complete: true, status: http.StatusOK}
	case ctx.Err() != nil || errors.Is(res.Err, errCallerGone):
		return r.canceled(ctx)
	case errors.Is(res.Err, errPreempted):
		r.d.counters.preemptions.Inc(1)
		r.preempted = true
		r.rework = telemetry.Preempted
		return r.continuable(res)
	case res.Stale && r.r.repeatable() && r.number < maxAttempts:
		return nil
	}
	r.d.o.Log.Debug("attempt failed", "request", r.attemptName(), "endpoint", e.ID, "error", res.Err)
	r.avoid = append(r.avoid, e.ID)
	r.avoidZone = r.otherZone(e.Zone)
	v := r.retry(res)
	if v != nil && v.err != nil && r.relay.ended() {
		// Only token counts are missing, and no endpoint can supply them.
		return &verdict{complete: true, status: http.StatusOK}
	}
	return v
}

// unassembled asks for the whole answer as the caller did when it cannot be assembled: its tokens have
// no text, or the engine rejects the request in the form of a stream.
func (r *run) unassembled(res endpoint.Result) bool {
	l := r.relay
	if !l.assembling {
		return false
	}
	opaque := errors.Is(res.Err, errOpaque)
	if opaque {
		r.d.opaque.Store(r.r.Pool.Model, true)
	}
	tokens, _ := l.delivered()
	rejected := tokens == 0 && res.Complete && (res.Status == http.StatusBadRequest || res.Status == http.StatusUnprocessableEntity)
	if !opaque && !rejected {
		return false
	}
	l.assembling = false
	l.restart(telemetry.Retried)
	return true
}

// retryStatus says whether a complete answer of an engine is a failure of the engine. Answers of
// plain services are passed as they are.
func (r *run) retryStatus(status int) bool {
	return r.r.Pool.Kind == config.KindEngine &&
		(status >= http.StatusInternalServerError || status == http.StatusTooManyRequests)
}

// retry decides whether another attempt follows a failed one.
func (r *run) retry(res endpoint.Result) *verdict {
	now := time.Now()
	switch {
	case r.relay.atBound():
		return r.continuable(res)
	case r.d.suspects.crashes(r.fingerprint) >= poison.Limit:
		r.d.counters.stopped.Inc(1)
		return &verdict{err: repeatedCrash()}
	case !retry.Safe(retry.Failure{NonIdempotent: !r.r.repeatable(), Started: res.Started()}):
		return r.giveUp(res)
	case r.number >= maxAttempts, r.exhausted(), !retry.Useful(now, r.r.Deadline, res.FirstTokenAfter):
		return r.giveUp(res)
	}
	if v := r.continuable(res); v != nil {
		return v
	}
	// A request of which nothing was sent cost no endpoint anything, so that it needs no budget.
	if res.Sent && !r.d.takeRetry(r.r.Class.Name) {
		return r.giveUp(res)
	}
	r.d.counters.retries.Inc(1)
	r.retries++
	return nil
}

// continuable returns nil when the answer can be repeated or continued by another attempt.
func (r *run) continuable(res endpoint.Result) *verdict {
	l := r.relay
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.started && !l.bounded():
		if l.tokens > 0 {
			r.d.counters.resumes.Inc(1)
		}
		return nil
	case l.tokens == 0 && r.r.Stream:
		return nil
	case l.tokens == 0, l.opaque, !r.r.Continuable:
		return r.giveUp(res)
	case l.bounded():
		if err := l.finishAtBound(); err != nil {
			return &verdict{err: gone()}
		}
		return &verdict{complete: true, status: http.StatusOK}
	}
	r.d.counters.resumes.Inc(1)
	return nil
}
