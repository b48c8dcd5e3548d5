package entry

import (
	"net/http"
	"time"
)

const (
	// startRetryAfter is the time after which a daemon that has just started, or has lost contact with the store,
	// has probably received the current configuration.
	startRetryAfter = 500 * time.Millisecond
	// stopRetryAfter makes a caller of a stopping daemon retry almost at once, at another daemon.
	stopRetryAfter = 50 * time.Millisecond
	// replyTimeout limits the time to write a response that the daemon generates itself.
	replyTimeout = 5 * time.Second
)

// reply is a response that the daemon generates itself.
type reply struct {
	status int
	// reason is sent to the caller and used in metrics and logs; detail is only logged.
	reason Reason
	detail string
	// retryAfter is the time after which the caller may retry; zero to send no Retry-After header.
	retryAfter time.Duration
}

// notRun returns a 503 reply, which states that the request has not been executed and never will be.
func notRun(reason Reason, retryAfter time.Duration) *reply {
	return &reply{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// refuse logs, counts and answers a request that is refused before its first attempt.
func (s *Server) refuse(w http.ResponseWriter, caller Caller, resp *reply) {
	s.stats.countRequest("none", resp.status, resp.reason)
	s.opts.Log.Info("request refused", "request", caller.AttemptID, "status", resp.status, "reason", resp.reason, "store_age", s.fleet.TimeSinceStoreReply().Round(time.Millisecond).String())
	s.write(w, caller, resp)
}

// write sends a reply to the caller.
func (s *Server) write(w http.ResponseWriter, caller Caller, resp *reply) {
	h := w.Header()
	s.opts.HeaderCodec.SetAttempt(h, caller.AttemptID)
	if resp.retryAfter > 0 {
		s.opts.HeaderCodec.SetRetryAfter(h, resp.retryAfter)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	// A caller that does not read its responses must not hold the handler.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(replyTimeout))
	w.WriteHeader(resp.status)
	// The error is ignored: a caller that has disconnected needs no reply.
	_, _ = w.Write([]byte(string(resp.reason) + "\n"))
}
