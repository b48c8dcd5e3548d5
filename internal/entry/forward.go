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
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/traffic"
)

const (
	// maxConnectFailures bounds the endpoints that are tried when no connection can be made.
	maxConnectFailures = 4
	// minRemaining is the least remaining time in which an endpoint can still answer.
	minRemaining = 15 * time.Millisecond
	// noEndpointRetryAfter is when endpoints that registered lately may take requests.
	noEndpointRetryAfter = 500 * time.Millisecond
	// refusedRetryAfter is when a slot is likely to be free after an endpoint refused.
	refusedRetryAfter = 300 * time.Millisecond
	// crashRetryAfter is when a request that crashed endpoints may be tried again.
	crashRetryAfter = 10 * time.Second
)

// completion says how a request ended. Exactly one of the fields matters: an own answer, an answer that was relayed,
// or neither when the caller is gone or its answer was cut.
type completion struct {
	reply *reply
	// status is the status of the relayed answer.
	status int
	reason Reason
	detail string
	// cut says that the caller's connection must be closed, because its answer is not complete.
	cut bool
}

// forward sends a request to endpoints until one has answered, and answers the caller.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, req *request) {
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	s.recordArrival(req)
	relay := &responseRelay{w: w, s: s, req: req}
	e := s.runAttempts(ctx, req, relay)
	if e.reply != nil && relay.started {
		e = completion{status: relay.status, reason: e.reply.reason, detail: e.reply.detail, cut: true}
	}
	s.recordCompletion(r, req, e)
	switch {
	case e.cut:
		panic(http.ErrAbortHandler)
	case e.reply != nil:
		s.write(w, req.caller, e.reply)
	}
}

func (s *Server) recordArrival(req *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.budget.Request(now, req.pool.Name)
	if req.pool.Engine != nil {
		s.board.Arrived(now, &req.placeReq)
	}
}

// runAttempts makes attempts until one ends the request.
func (s *Server) runAttempts(ctx context.Context, req *request, relay *responseRelay) completion {
	fingerprint := poison.Of(req.workspace.Name, req.method+" "+req.target, req.body)
	var avoid []uint32
	for connectFailures := 0; ; {
		if e, ok := s.checkSend(ctx, req, fingerprint); ok {
			return e
		}
		req.placeReq.Avoid = avoid
		choice, attempt, refused := s.place(ctx, req)
		if refused != nil {
			return placementRefused(req, *refused, connectFailures)
		}
		res := s.attempt(ctx, req, choice, attempt, relay)
		s.recordAttemptEnd(attempt, res.outcome, req, fingerprint, choice)
		if res.completion != nil {
			return *res.completion
		}
		avoid = append(avoid, choice.Hash)
		s.opts.Log.Info("attempt failed", "request", req.caller.Attempt, "endpoint", choice.Endpoint.ID, "sent", res.sent, "not_run", res.notRun, "cause", res.cause)
		if !res.sent {
			if connectFailures++; connectFailures >= maxConnectFailures {
				return completion{reply: notRunUnlessSent(req, NoEndpointReached, noEndpointRetryAfter)}
			}
			continue
		}
		if e, stop := s.stopAfter(ctx, req, res); stop {
			return e
		}
	}
}

// placementRefused is the end of a request that got no endpoint. Only an earlier attempt changes it, as it may have
// run; the end of a request whose time was up or whose caller left while it waited stays as it is.
func placementRefused(req *request, e completion, connectFailures int) completion {
	if e.reply == nil || e.reply.status != http.StatusServiceUnavailable {
		return e
	}
	reason := e.reply.reason
	if connectFailures > 0 && reason == NoEndpoint {
		reason = NoEndpointReached
	}
	e.reply = notRunUnlessSent(req, reason, e.reply.retryAfter)
	return e
}

// notRunUnlessSent is the answer for a request that cannot be sent any further.
func notRunUnlessSent(req *request, reason Reason, retryAfter time.Duration) *reply {
	if req.sends > 0 {
		return &reply{status: http.StatusBadGateway, reason: reason}
	}
	return notRun(reason, retryAfter)
}

// checkSend says whether a request must not be sent any more.
func (s *Server) checkSend(ctx context.Context, req *request, f poison.Fingerprint) (completion, bool) {
	if ctx.Err() != nil || time.Until(req.deadline) < minRemaining {
		return s.contextEnded(ctx, req), true
	}
	s.mu.Lock()
	crashes := s.suspects.Crashes(time.Now(), f)
	s.mu.Unlock()
	if crashes >= poison.Limit {
		return completion{reply: notRunUnlessSent(req, CrashedEndpoints, crashRetryAfter)}, true
	}
	return completion{}, false
}

// contextEnded is the end of a request whose time is up or whose caller has left.
func (s *Server) contextEnded(ctx context.Context, req *request) completion {
	if errors.Is(ctx.Err(), context.Canceled) {
		return completion{cut: true, reason: CallerLeft}
	}
	if req.sends == 0 {
		return completion{reply: notRun(NoTimeLeft, refusedRetryAfter)}
	}
	return completion{reply: &reply{status: http.StatusGatewayTimeout, reason: req.timeoutReason}}
}

// recordAttemptEnd records the end of an attempt.
func (s *Server) recordAttemptEnd(t *placedAttempt, o placement.Outcome, req *request, f poison.Fingerprint, c placement.Choice) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.ticket.End(now, o)
	s.sendProgress(t, true, o)
	s.fleet.MarkDirty()
	if o == placement.Unreachable && req.sends > 0 {
		id := uint64(c.Endpoint.Born)
		if s.suspects.Add(now, f, c.Endpoint.ID, crashID(c.Endpoint.ID, id)) {
			s.crashes = append(s.crashes, &peer.Crash{Request: uint64(f), Endpoint: c.Endpoint.ID, Id: id})
		}
	}
}

func crashID(endpoint string, born uint64) string { return fmt.Sprintf("%s/%d", endpoint, born) }

// attemptResult says how one attempt ended. end is nil when the request may go on.
type attemptResult struct {
	completion *completion
	outcome    placement.Outcome
	// sent says that the endpoint may have received the request.
	sent bool
	// notRun says that the endpoint stated that it did not run it.
	notRun bool
	cause  string
}

// attempt sends the request to one endpoint.
func (s *Server) attempt(ctx context.Context, req *request, c placement.Choice, t *placedAttempt, relay *responseRelay) attemptResult {
	req.endpoint, req.prefillTokens, req.predictedWait = c.Endpoint.ID, c.Read, c.Wait
	out := Outgoing{
		EndpointID: c.Endpoint.ID, Workspace: req.workspace.Name, Urgency: req.priority, Engine: req.pool.Engine != nil,
		Remaining: time.Until(req.deadline), FetchFrom: s.endpointAddress(c.FetchFrom), LastEvent: relay.lastEvent,
	}
	if out.LastEvent == "" {
		out.LastEvent = req.caller.LastEvent
	}
	resp, err := s.client.Send(ctx, c.Endpoint.Address, &upstream.Request{
		Method: req.method, Target: req.target, Host: req.host, Body: req.body, Attempt: req.caller.Attempt,
		Header: s.opts.Wire.EndpointHeader(req.header, out),
	})
	if err != nil {
		return s.sendFailed(ctx, req, err)
	}
	req.sends++
	head := s.opts.Wire.ReadAnswer(resp.Status, resp.Header)
	if head.NotRun {
		resp.Close()
		outcome := placement.Refused
		if head.OtherEndpoint {
			outcome = placement.Gone
		}
		return attemptResult{outcome: outcome, sent: true, notRun: true, cause: fmt.Sprintf("refused with status %d", resp.Status)}
	}
	return relay.copyResponse(ctx, resp, head, t)
}

func (s *Server) sendFailed(ctx context.Context, req *request, err error) attemptResult {
	var failure *upstream.Error
	sent := !errors.As(err, &failure) || failure.Sent
	if sent {
		req.sends++
	}
	if ctx.Err() != nil {
		e := s.contextEnded(ctx, req)
		return attemptResult{completion: &e, outcome: placement.Abandoned}
	}
	outcome := placement.Unreachable
	if upstream.Refused(err) {
		outcome = placement.Gone
	}
	return attemptResult{outcome: outcome, sent: sent, cause: err.Error()}
}

// stopAfter decides whether a failed attempt ends the request.
func (s *Server) stopAfter(ctx context.Context, req *request, res attemptResult) (completion, bool) {
	if ctx.Err() != nil {
		return s.contextEnded(ctx, req), true
	}
	final := completion{reply: &reply{status: http.StatusBadGateway, reason: EndpointFailed, detail: res.cause}}
	req.mayHaveRun = req.mayHaveRun || !res.notRun
	if !req.mayHaveRun {
		final = completion{reply: notRun(EndpointRefused, refusedRetryAfter)}
		final.reply.detail = res.cause
	}
	repeatable := res.notRun || req.route.Idempotence != traffic.AtMostOnce
	if !repeatable || req.sends >= req.route.MaxAttempts || !s.takeRetry(req) {
		return final, true
	}
	s.stats.count("chivewind_entry_retries_total", "class", req.route.Class)
	return completion{}, false
}

func (s *Server) takeRetry(req *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Take(time.Now(), req.pool.Name)
}

// recordCompletion counts and logs the end of a request.
func (s *Server) recordCompletion(r *http.Request, req *request, e completion) {
	status, reason, detail := e.status, e.reason, e.detail
	if e.reply != nil {
		status, reason, detail = e.reply.status, e.reply.reason, e.reply.detail
	}
	class := req.route.Class
	s.stats.countRequest(class, status, reason)
	total := time.Since(req.arrival)
	s.stats.observe("chivewind_entry_duration_microseconds", class, total)
	if req.firstEvent > 0 {
		s.stats.observe("chivewind_entry_first_event_microseconds", class, req.firstEvent)
	}
	if reason == Served && !s.servedLogLimiter.Allow() {
		s.stats.count("chivewind_entry_log_lines_left_out_total")
		return
	}
	s.opts.Log.Info("request ended", "request", req.caller.Attempt, "class", class, "tier", req.tier, "workspace", req.workspace.Name,
		"version", req.tableVersion, "status", status, "reason", string(reason), "detail", detail, "cut", e.cut, "endpoint", req.endpoint, "placed_by", req.placedBy, "sends", req.sends,
		"read", req.prefillTokens, "waited_ms", req.waitTime.Milliseconds(), "predicted_ms", req.predictedWait.Milliseconds(), "first_ms", req.firstEvent.Milliseconds(),
		"gap_ms", req.longestGap.Milliseconds(), "events", req.events, "total_ms", total.Milliseconds(), "left", r.Context().Err() != nil)
}

// recordEvent records progress of an attempt.
func (s *Server) recordEvent(t *placedAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !t.ticket.First()
	t.ticket.Event(time.Now())
	if first {
		s.sendProgress(t, false, placement.Served)
	}
}

// endpointAddress returns an endpoint's endpointAddress; empty for none.
func (s *Server) endpointAddress(hash uint32) string {
	if hash == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.Address(hash)
}

func (s *Server) retryAvailable(req *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Left(time.Now(), req.pool.Name)
}
