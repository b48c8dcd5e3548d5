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
	// maxUnsent bounds the endpoints that are tried when no connection can be made.
	maxUnsent = 4
	// minUseful is the least remaining time in which an endpoint can still answer.
	minUseful = 15 * time.Millisecond
	// noEndpointRetryAfter is when endpoints that registered lately may take requests.
	noEndpointRetryAfter = 500 * time.Millisecond
	// refusedRetryAfter is when a slot is likely to be free after an endpoint refused.
	refusedRetryAfter = 300 * time.Millisecond
	// suspectRetryAfter is when a request that crashed endpoints may be tried again.
	suspectRetryAfter = 10 * time.Second
)

// end says how a request ended. Exactly one of the fields matters: an own answer, an answer that was relayed,
// or neither when the caller is gone or its answer was cut.
type end struct {
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
	s.arrived(req)
	answer := &relay{w: w, s: s, req: req}
	e := s.run(ctx, req, answer)
	if e.reply != nil && answer.started {
		e = end{status: answer.status, reason: e.reply.reason, detail: e.reply.detail, cut: true}
	}
	s.finished(r, req, e)
	switch {
	case e.cut:
		panic(http.ErrAbortHandler)
	case e.reply != nil:
		s.write(w, req.caller, e.reply)
	}
}

func (s *Server) arrived(req *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.budget.Request(now, req.pool.Name)
	if req.pool.Engine != nil {
		s.board.Arrived(now, &req.wanted)
	}
}

// run makes attempts until one ends the request.
func (s *Server) run(ctx context.Context, req *request, answer *relay) end {
	fingerprint := poison.Of(req.workspace.Name, req.method+" "+req.target, req.body)
	var avoid []uint32
	for unsent := 0; ; {
		if e, ok := s.blocked(ctx, req, fingerprint); ok {
			return e
		}
		req.wanted.Avoid = avoid
		choice, attempt, refused := s.place(ctx, req)
		if refused != nil {
			return refusedEnd(req, *refused, unsent)
		}
		res := s.attempt(ctx, req, choice, attempt, answer)
		s.release(attempt, res.outcome, req, fingerprint, choice)
		if res.end != nil {
			return *res.end
		}
		avoid = append(avoid, choice.Hash)
		s.o.Log.Info("attempt failed", "request", req.caller.Attempt, "endpoint", choice.Endpoint.ID, "sent", res.sent, "not_run", res.notRun, "cause", res.cause)
		if !res.sent {
			if unsent++; unsent >= maxUnsent {
				return end{reply: notRunUnlessSent(req, NoEndpointReached, noEndpointRetryAfter)}
			}
			continue
		}
		if e, stop := s.giveUp(ctx, req, res); stop {
			return e
		}
	}
}

// refusedEnd is the end of a request that got no endpoint. Only an earlier attempt changes it, as it may have
// run; the end of a request whose time was up or whose caller left while it waited stays as it is.
func refusedEnd(req *request, e end, unsent int) end {
	if e.reply == nil || e.reply.status != http.StatusServiceUnavailable {
		return e
	}
	reason := e.reply.reason
	if unsent > 0 && reason == NoEndpoint {
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

// blocked says whether a request must not be sent any more.
func (s *Server) blocked(ctx context.Context, req *request, f poison.Fingerprint) (end, bool) {
	if ctx.Err() != nil || time.Until(req.deadline) < minUseful {
		return s.expired(ctx, req), true
	}
	s.mu.Lock()
	crashes := s.suspects.Crashes(time.Now(), f)
	s.mu.Unlock()
	if crashes >= poison.Limit {
		return end{reply: notRunUnlessSent(req, CrashedEndpoints, suspectRetryAfter)}, true
	}
	return end{}, false
}

// expired is the end of a request whose time is up or whose caller has left.
func (s *Server) expired(ctx context.Context, req *request) end {
	if errors.Is(ctx.Err(), context.Canceled) {
		return end{cut: true, reason: CallerLeft}
	}
	if req.sends == 0 {
		return end{reply: notRun(NoTimeLeft, refusedRetryAfter)}
	}
	return end{reply: &reply{status: http.StatusGatewayTimeout, reason: req.limit}}
}

// release records the end of an attempt.
func (s *Server) release(t *placed, o placement.Outcome, req *request, f poison.Fingerprint, c placement.Choice) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.local.End(now, o)
	s.tell(t, true, o)
	s.fleet.MarkDirty()
	if o == placement.Unreachable && req.sends > 0 {
		id := uint64(c.Endpoint.Born)
		if s.suspects.Add(now, f, c.Endpoint.ID, crashID(c.Endpoint.ID, id)) {
			s.crashes = append(s.crashes, &peer.Crash{Request: uint64(f), Endpoint: c.Endpoint.ID, Id: id})
		}
	}
}

func crashID(endpoint string, born uint64) string { return fmt.Sprintf("%s/%d", endpoint, born) }

// result says how one attempt ended. end is nil when the request may go on.
type result struct {
	end     *end
	outcome placement.Outcome
	// sent says that the endpoint may have received the request.
	sent bool
	// notRun says that the endpoint stated that it did not run it.
	notRun bool
	cause  string
}

// attempt sends the request to one endpoint.
func (s *Server) attempt(ctx context.Context, req *request, c placement.Choice, t *placed, answer *relay) result {
	req.endpoint, req.read, req.predicted = c.Endpoint.ID, c.Read, c.Wait
	out := Outgoing{
		EndpointID: c.Endpoint.ID, Workspace: req.workspace.Name, Urgency: req.urgency, Engine: req.pool.Engine != nil,
		Remaining: time.Until(req.deadline), FetchFrom: s.address(c.FetchFrom), LastEvent: answer.lastEvent,
	}
	if out.LastEvent == "" {
		out.LastEvent = req.caller.LastEvent
	}
	resp, err := s.client.Send(ctx, c.Endpoint.Address, &upstream.Request{
		Method: req.method, Target: req.target, Host: req.host, Body: req.body, Attempt: req.caller.Attempt,
		Header: s.o.Wire.EndpointHeader(req.header, out),
	})
	if err != nil {
		return s.sendFailed(ctx, req, err)
	}
	req.sends++
	head := s.o.Wire.ReadAnswer(resp.Status, resp.Header)
	if head.NotRun {
		resp.Close()
		outcome := placement.Refused
		if head.OtherEndpoint {
			outcome = placement.Gone
		}
		return result{outcome: outcome, sent: true, notRun: true, cause: fmt.Sprintf("refused with status %d", resp.Status)}
	}
	return answer.relay(ctx, resp, head, t)
}

func (s *Server) sendFailed(ctx context.Context, req *request, err error) result {
	var failure *upstream.Error
	sent := !errors.As(err, &failure) || failure.Sent
	if sent {
		req.sends++
	}
	if ctx.Err() != nil {
		e := s.expired(ctx, req)
		return result{end: &e, outcome: placement.Abandoned}
	}
	outcome := placement.Unreachable
	if upstream.Refused(err) {
		outcome = placement.Gone
	}
	return result{outcome: outcome, sent: sent, cause: err.Error()}
}

// giveUp decides whether a failed attempt ends the request.
func (s *Server) giveUp(ctx context.Context, req *request, res result) (end, bool) {
	if ctx.Err() != nil {
		return s.expired(ctx, req), true
	}
	final := end{reply: &reply{status: http.StatusBadGateway, reason: EndpointFailed, detail: res.cause}}
	req.mayHaveRun = req.mayHaveRun || !res.notRun
	if !req.mayHaveRun {
		final = end{reply: notRun(EndpointRefused, refusedRetryAfter)}
		final.reply.detail = res.cause
	}
	repeatable := res.notRun || req.route.Idempotence != traffic.AtMostOnce
	if !repeatable || req.sends >= req.route.MaxAttempts || !s.takeRetry(req) {
		return final, true
	}
	s.stats.count("chivewind_entry_retries_total", "class", req.route.Class)
	return end{}, false
}

func (s *Server) takeRetry(req *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Take(time.Now(), req.pool.Name)
}

// finished counts and logs the end of a request.
func (s *Server) finished(r *http.Request, req *request, e end) {
	status, reason, detail := e.status, e.reason, e.detail
	if e.reply != nil {
		status, reason, detail = e.reply.status, e.reply.reason, e.reply.detail
	}
	class := req.route.Class
	s.stats.ended(class, status, reason)
	total := time.Since(req.arrival)
	s.stats.observe("chivewind_entry_duration_microseconds", class, total)
	if req.firstEvent > 0 {
		s.stats.observe("chivewind_entry_first_event_microseconds", class, req.firstEvent)
	}
	if reason == Served && !s.ordinary.Allow() {
		s.stats.count("chivewind_entry_log_lines_left_out_total")
		return
	}
	s.o.Log.Info("request ended", "request", req.caller.Attempt, "class", class, "tier", req.tier, "workspace", req.workspace.Name,
		"version", req.version, "status", status, "reason", string(reason), "detail", detail, "cut", e.cut, "endpoint", req.endpoint, "placed_by", req.placedBy, "sends", req.sends,
		"read", req.read, "waited_ms", req.waited.Milliseconds(), "predicted_ms", req.predicted.Milliseconds(), "first_ms", req.firstEvent.Milliseconds(),
		"gap_ms", req.longestGap.Milliseconds(), "events", req.events, "total_ms", total.Milliseconds(), "left", r.Context().Err() != nil)
}

// event records progress of an attempt.
func (s *Server) event(t *placed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !t.local.First()
	t.local.Event(time.Now())
	if first {
		s.tell(t, false, placement.Served)
	}
}

// address returns an endpoint's address; empty for none.
func (s *Server) address(hash uint32) string {
	if hash == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.Address(hash)
}

func (s *Server) retryLeft(req *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Left(time.Now(), req.pool.Name)
}
