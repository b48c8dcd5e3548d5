package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/chivewind/chivewind/internal/placement"
	"github.com/chivewind/chivewind/internal/poison"
	"github.com/chivewind/chivewind/internal/upstream"
	"github.com/chivewind/chivewind/traffic"
)

const (
	// maxConnectFailures is the number of attempts without a connection after which no further endpoint is tried.
	maxConnectFailures = 4
	// minRemaining is the remaining time below which no attempt is made, because no endpoint could respond in time.
	minRemaining = 15 * time.Millisecond
	// noEndpointRetryAfter is the time after which newly registered endpoints may accept requests.
	noEndpointRetryAfter = 500 * time.Millisecond
	// refusedRetryAfter is the time after which an endpoint that refused a request probably has a free slot.
	refusedRetryAfter = 300 * time.Millisecond
	// crashRetryAfter is the time after which a request that crashed endpoints may be retried.
	crashRetryAfter = 10 * time.Second
)

// completion describes how a request ended. Either reply is to be sent, or an endpoint's response was relayed, or
// cut is set because the caller has disconnected or its response is incomplete.
type completion struct {
	// reply is the daemon's own response; if it is not nil, it provides the status, reason and detail.
	reply *reply
	// status is the status of the relayed response; 0 if there was none.
	status int
	reason Reason
	detail string
	// cut is set when the caller's connection must be closed because the response is incomplete.
	cut bool
}

// errShuttingDown is the cause of the end of requests at the end of a graceful shutdown.
var errShuttingDown = errors.New("the daemon is stopping")

// forward sends a request to endpoints until one has responded, and responds to the caller.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, req *request) {
	ctx, end := context.WithCancelCause(r.Context())
	defer end(nil)
	defer context.AfterFunc(s.ending, func() { end(errShuttingDown) })()
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	s.recordArrival(req)
	relay := &responseRelay{w: w, s: s, req: req}
	done := s.runAttempts(ctx, req, relay)
	if done.reply != nil && relay.started {
		done = completion{status: relay.status, reason: done.reply.reason, detail: done.reply.detail, cut: true}
	}
	s.recordCompletion(r, req, done)
	switch {
	case done.cut:
		panic(http.ErrAbortHandler)
	case done.reply != nil:
		s.write(w, req.caller, done.reply)
	}
}

// recordArrival counts the request for the retry budget and for placement.
func (s *Server) recordArrival(req *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.budget.CountRequest(now, req.pool.Name)
	if req.pool.Engine != nil {
		s.placer.RecordArrival(now, &req.placeReq)
	}
}

// runAttempts makes attempts until the request has ended.
func (s *Server) runAttempts(ctx context.Context, req *request, relay *responseRelay) completion {
	req.fingerprint = poison.FingerprintOf(req.workspace.Name, req.method+" "+req.target, req.body...)
	var avoid []uint32
	for connectFailures := 0; ; {
		if end, ok := s.checkSend(ctx, req); ok {
			return end
		}
		req.placeReq.Avoid = avoid
		choice, attempt, refused := s.place(ctx, req)
		if refused != nil {
			s.addPause(req, refused)
			return placementRefused(req, *refused, connectFailures)
		}
		res := s.attempt(ctx, req, choice, attempt, relay)
		s.recordAttemptEnd(attempt, res, req, choice)
		if res.completion != nil {
			return *res.completion
		}
		avoid = append(avoid, choice.Hash)
		s.opts.Log.Info("attempt failed", "request", req.caller.AttemptID, "endpoint", choice.Endpoint.ID, "sent", res.sent, "not_run", res.notRun, "cause", res.cause)
		if !res.sent {
			if connectFailures++; connectFailures >= maxConnectFailures {
				return completion{reply: notRunUnlessExecuted(req, NoEndpointReached, noEndpointRetryAfter)}
			}
			continue
		}
		if end, stop := s.endOrRetry(ctx, req, res); stop {
			return end
		}
	}
}

// placementRefused returns the completion of a request for which place returned the completion end. If end is a 503
// and an endpoint may have executed the request in an earlier attempt, the result is a 502 instead. NoEndpoint becomes
// NoEndpointReached if connections to endpoints have failed. A completion that is not a 503 is returned unchanged: the
// deadline passed or the caller disconnected while the request was held.
func placementRefused(req *request, end completion, connectFailures int) completion {
	if end.reply == nil || end.reply.status != http.StatusServiceUnavailable {
		return end
	}
	reason := end.reply.reason
	if connectFailures > 0 && reason == NoEndpoint {
		reason = NoEndpointReached
	}
	end.reply = notRunUnlessExecuted(req, reason, end.reply.retryAfter)
	return end
}

// notRunUnlessExecuted returns the reply to a request that cannot be sent to another endpoint: a 502 if an endpoint may
// have executed it, otherwise a 503, which states that it has not been executed.
func notRunUnlessExecuted(req *request, reason Reason, retryAfter time.Duration) *reply {
	if req.mayHaveRun {
		return &reply{status: http.StatusBadGateway, reason: reason}
	}
	return notRun(reason, retryAfter)
}

// checkSend checks before an attempt that the deadline allows it and that neither the request nor a part of its prompt
// crashes endpoints. It returns true with the completion if the request must not be sent.
func (s *Server) checkSend(ctx context.Context, req *request) (completion, bool) {
	if ctx.Err() != nil || time.Until(req.deadline) < minRemaining {
		return s.contextEnded(ctx, req), true
	}
	if refusal := s.crashRefusal(req); refusal != nil {
		return completion{reply: refusal}, true
	}
	return completion{}, false
}

// contextEnded returns the completion of a request whose deadline has passed or is less than minRemaining away, whose
// caller has disconnected, or which EndRequests has ended.
func (s *Server) contextEnded(ctx context.Context, req *request) completion {
	if errors.Is(context.Cause(ctx), errShuttingDown) {
		if req.sends == 0 {
			return completion{reply: notRun(ShuttingDown, stopRetryAfter)}
		}
		return completion{reply: &reply{status: http.StatusBadGateway, reason: ShuttingDown}}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return completion{cut: true, reason: CallerDisconnected}
	}
	if req.sends == 0 {
		return completion{reply: notRun(NoTimeLeft, refusedRetryAfter)}
	}
	return completion{reply: &reply{status: http.StatusGatewayTimeout, reason: req.timeoutReason}}
}

// recordAttemptEnd reports the end of an attempt to placement and to the scheduler. If the connection was lost after the
// request had been sent, the endpoint may have crashed because of the request.
func (s *Server) recordAttemptEnd(placed *placedAttempt, res attemptResult, req *request, c placement.Choice) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	placed.ticket.End(now, res.outcome)
	s.sendProgress(placed, true, res.outcome)
	s.fleet.RequestReport()
	switch {
	case res.outcome == placement.Unreachable && res.sent:
		s.recordLostRequest(now, placed, req, c)
	case res.answered:
		s.recordAnswer(now, req)
	}
}

// attemptResult describes how one attempt ended.
type attemptResult struct {
	// completion is not nil when the attempt has ended the request.
	completion *completion
	outcome    placement.Outcome
	// sent is set when the endpoint may have received the request.
	sent bool
	// notRun is set when the endpoint stated that it did not execute the request.
	notRun bool
	// answered is set when the endpoint's answer is a success and complete without doubt.
	answered bool
	// cause describes the failure, for logs.
	cause string
}

// attempt sends the request to one endpoint and relays its response. In the last phase of a graceful shutdown it does not
// send a request that no endpoint may have executed yet: the rest of the phase is for those in progress.
func (s *Server) attempt(ctx context.Context, req *request, c placement.Choice, placed *placedAttempt, relay *responseRelay) attemptResult {
	if s.refusing.Load() && !req.mayHaveRun {
		return attemptResult{completion: &completion{reply: notRun(ShuttingDown, stopRetryAfter)}, outcome: placement.Canceled}
	}
	req.endpoint, req.prefillTokens, req.predictedWait = c.Endpoint.ID, c.PrefillTokens, c.Wait
	out := EndpointRequest{
		EndpointID: c.Endpoint.ID, Workspace: req.workspace.Name, Priority: req.priority, Engine: req.pool.Engine != nil,
		Remaining: time.Until(req.deadline), FetchFrom: s.endpointAddress(c.FetchFrom), LastEventID: relay.lastEvent,
	}
	if out.LastEventID == "" {
		out.LastEventID = req.caller.LastEventID
	}
	resp, err := s.client.Send(ctx, c.Endpoint.Address, &upstream.Request{
		Method: req.method, Target: req.target, Host: req.host, Body: req.body, AttemptID: req.caller.AttemptID,
		Header: s.opts.HeaderCodec.EndpointHeader(req.header, out),
		OnHead: func(h upstream.ResponseHead) { s.recordEndpointState(req, c, h) },
	})
	if err != nil {
		return s.sendFailed(ctx, req, err)
	}
	req.sends++
	info := s.opts.HeaderCodec.ReadResponse(resp.Status, resp.Header)
	if info.NotRun {
		resp.Close()
		outcome := placement.Refused
		if info.OtherEndpoint {
			outcome = placement.Gone
		}
		return attemptResult{outcome: outcome, sent: true, notRun: true, cause: fmt.Sprintf("refused with status %d", resp.Status)}
	}
	return relay.copyResponse(ctx, resp, info, placed)
}

// sendFailed returns the result of an attempt that got no response.
func (s *Server) sendFailed(ctx context.Context, req *request, err error) attemptResult {
	var failure *upstream.Error
	sent := !errors.As(err, &failure) || failure.Sent
	if sent {
		req.sends++
	}
	if ctx.Err() != nil {
		end := s.contextEnded(ctx, req)
		return attemptResult{completion: &end, outcome: placement.Canceled}
	}
	outcome := placement.Unreachable
	if upstream.IsConnectionRefused(err) {
		outcome = placement.Gone
	}
	return attemptResult{outcome: outcome, sent: sent, cause: err.Error()}
}

// endOrRetry decides whether a failed attempt ends the request, and returns true with the completion if it does. If it
// returns false, a retry has been taken from the budget and the request may be sent again.
func (s *Server) endOrRetry(ctx context.Context, req *request, res attemptResult) (completion, bool) {
	if ctx.Err() != nil {
		return s.contextEnded(ctx, req), true
	}
	final := completion{reply: &reply{status: http.StatusBadGateway, reason: EndpointFailed, detail: res.cause}}
	req.mayHaveRun = req.mayHaveRun || !res.notRun
	if !req.mayHaveRun {
		final = completion{reply: notRun(EndpointRefused, refusedRetryAfter)}
		final.reply.detail = res.cause
	}
	retryable := res.notRun || req.route.Idempotence != traffic.AtMostOnce
	if !retryable || req.sends >= req.route.MaxAttempts || !s.takeRetry(req) {
		return final, true
	}
	s.stats.count("chivewind_entry_retries_total", "class", req.route.Class)
	return completion{}, false
}

// takeRetry takes a retry from the budget, which counts requests and retries by pool. It returns false if none is left.
func (s *Server) takeRetry(req *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Take(time.Now(), req.pool.Name)
}

// recordCompletion updates the metrics of an ended request and logs it. Log lines of served requests are limited to
// servedLogsPerSecond.
func (s *Server) recordCompletion(r *http.Request, req *request, end completion) {
	status, reason, detail := end.status, end.reason, end.detail
	if end.reply != nil {
		status, reason, detail = end.reply.status, end.reply.reason, end.reply.detail
	}
	class := req.route.Class
	s.stats.countRequest(class, status, reason)
	total := time.Since(req.arrival)
	s.stats.observe("chivewind_entry_duration_microseconds", class, total)
	if req.timeToFirstEvent > 0 {
		s.stats.observe("chivewind_entry_first_event_microseconds", class, req.timeToFirstEvent)
	}
	if reason == Served && !s.servedLogLimiter.Allow() {
		s.stats.count("chivewind_entry_log_lines_left_out_total")
		return
	}
	s.opts.Log.Info("request ended", "request", req.caller.AttemptID, "class", class, "tier", req.tier, "workspace", req.workspace.Name,
		"version", req.tableVersion, "status", status, "reason", string(reason), "detail", detail, "cut", end.cut, "endpoint", req.endpoint, "placed_by", req.placedBy, "sends", req.sends,
		"prompt", req.placeReq.Chain.Total, "read", req.prefillTokens, "waited_ms", req.waitTime.Milliseconds(), "predicted_ms", req.predictedWait.Milliseconds(), "first_ms", req.timeToFirstEvent.Milliseconds(),
		"gap_ms", req.longestGap.Milliseconds(), "events", req.events, "total_ms", total.Milliseconds(), "left", r.Context().Err() != nil)
}

// recordEvent reports to placement that an endpoint has sent data, and the first time also to the scheduler.
func (s *Server) recordEvent(placed *placedAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	first := !placed.ticket.FirstEventSeen()
	placed.ticket.Event(now)
	if first {
		placed.firstEventAt = now
		s.sendProgress(placed, false, placement.Served)
	}
}

// endpointAddress returns the address of the endpoint with the hash; empty if the hash is 0 or unknown.
func (s *Server) endpointAddress(hash uint32) string {
	if hash == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.Address(hash)
}

// retryAvailable reports whether takeRetry would return true.
func (s *Server) retryAvailable(req *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Available(time.Now(), req.pool.Name)
}
