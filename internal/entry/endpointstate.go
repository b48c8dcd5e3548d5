package entry

import (
	"math/rand/v2"
	"time"

	"github.com/chivewind/chivewind/internal/placement"
	"github.com/chivewind/chivewind/internal/upstream"
	"github.com/chivewind/chivewind/peer"
)

const (
	// pausedRetryAfter is the shortest time after which a request for which all endpoints were paused may be retried.
	pausedRetryAfter = 300 * time.Millisecond
	// pausedRetrySpread is the part of the time until the end of a pause, and at most maxPausedRetrySpread, over which the
	// retries after it are spread.
	pausedRetrySpread    = 0.5
	maxPausedRetrySpread = time.Second
	// maxLeavingNews is the number of endpoints that a report names as leaving.
	maxLeavingNews = 64
)

// recordEndpointState applies what the header of a response says about the endpoint. It takes effect before the
// response is relayed, without the store and other daemons.
func (s *Server) recordEndpointState(req *request, c placement.Choice, h upstream.ResponseHead) {
	if !h.Leaving && h.Pause == 0 && h.InvalidPause == "" {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Leaving && s.setLeaving(now, c.Hash, true) {
		s.opts.Log.Info("endpoint says that it is leaving", "request", req.caller.AttemptID, "endpoint", c.Endpoint.ID, "started_at_ms", c.Endpoint.StartedAtMs)
		s.client.CloseIdle(c.Endpoint.Address)
		s.fleet.RequestReport()
	}
	switch {
	case h.InvalidPause != "":
		s.stats.count("chivewind_entry_invalid_pauses_total")
		s.opts.Log.Info("malformed pause of an endpoint ignored", "request", req.caller.AttemptID, "endpoint", c.Endpoint.ID, "pause", h.InvalidPause)
	case h.Pause > 0 && s.placer.Pause(now, c.Hash, h.Pause):
		s.stats.count("chivewind_entry_endpoint_pauses_total")
		s.opts.Log.Info("endpoint wants a pause", "request", req.caller.AttemptID, "endpoint", c.Endpoint.ID, "pause_ms", min(h.Pause, placement.MaxPause).Milliseconds())
	}
}

// setLeaving records that an endpoint is leaving. It returns false if that was known; otherwise the following reports
// name the endpoint if report is set. The caller holds mu.
func (s *Server) setLeaving(now time.Time, endpoint uint32, report bool) bool {
	if !s.placer.SetLeaving(now, endpoint) {
		return false
	}
	s.stats.count("chivewind_entry_leaving_endpoints_total")
	if report {
		s.leavingNews.Add(now, endpoint)
	}
	return true
}

// fillLeaving adds the endpoints that have lately said that they are leaving. The caller holds mu.
func (s *Server) fillLeaving(now time.Time, r *peer.Report) {
	r.Leaving = s.leavingNews.Latest(now, maxLeavingNews)
}

// handleLeaving applies what another daemon reported about leaving endpoints. The caller holds mu.
func (s *Server) handleLeaving(now time.Time, r *peer.Report) {
	if len(r.Leaving) == 0 {
		return
	}
	forward := s.fleet.ForwardsNews()
	for _, endpoint := range r.Leaving {
		s.setLeaving(now, endpoint, forward)
	}
}

// addPause changes the completion of a request for which no endpoint was found to state the time until an endpoint that
// asked for a pause takes requests again.
func (s *Server) addPause(req *request, end *completion) {
	if end.reply == nil || end.reply.reason != NoEndpoint {
		return
	}
	now := time.Now()
	s.mu.Lock()
	pauseEnd := s.placer.PauseEnd(now, req.pool.Name)
	s.mu.Unlock()
	if pauseEnd.IsZero() {
		return
	}
	wait := max(pauseEnd.Sub(now), pausedRetryAfter)
	spread := min(time.Duration(pausedRetrySpread*float64(wait)), maxPausedRetrySpread)
	end.reply.reason, end.reply.retryAfter = EndpointsPaused, wait+rand.N(spread)
}
