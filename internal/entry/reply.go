package entry

import (
	"net/http"
	"time"
)

const (
	// startRetryAfter is when a daemon that has just started, or lost touch with the store, is likely to
	// know the configuration.
	startRetryAfter = 500 * time.Millisecond
	// stopRetryAfter sends a caller to another daemon at once.
	stopRetryAfter = 50 * time.Millisecond
)

// reply is an answer of the daemon's own.
type reply struct {
	status int
	// reason is one of a fixed set, for callers, metrics and logs; detail is for logs only.
	reason Reason
	detail string
	// retryAfter is when the caller may come back; zero for no statement.
	retryAfter time.Duration
}

// notRun states that the request has not run and never will.
func notRun(reason Reason, retryAfter time.Duration) *reply {
	return &reply{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// refuse answers a request that was not admitted.
func (s *Server) refuse(w http.ResponseWriter, caller Caller, a *reply) {
	s.stats.countRequest("none", a.status, a.reason)
	s.opts.Log.Info("request refused", "request", caller.Attempt, "status", a.status, "reason", a.reason, "store_age", s.fleet.StoreAge().Round(time.Millisecond).String())
	s.write(w, caller, a)
}

func (s *Server) write(w http.ResponseWriter, caller Caller, a *reply) {
	h := w.Header()
	s.opts.Wire.SetAttempt(h, caller.Attempt)
	if a.retryAfter > 0 {
		s.opts.Wire.SetRetryAfter(h, a.retryAfter)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(a.status)
	// A caller that has left needs no answer.
	_, _ = w.Write([]byte(string(a.reason) + "\n"))
}
