package front

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chivewind/chivewind/internal/dispatch"
)

// deadlineInterval is the least time between two settings of the write deadline.
const deadlineInterval = time.Second

// response hands an answer to the caller. The dispatcher and the keep-alive timer write to it.
type response struct {
	w     http.ResponseWriter
	c     *http.ResponseController
	stall time.Duration

	mu      sync.Mutex
	started bool
	// stream says that the answer is a stream of events.
	stream bool
	// trailer says that the outcome follows as a trailer.
	trailer bool
	// written is the time of the dispatcher's last write, deadlineSet that of the write deadline.
	written     time.Time
	deadlineSet time.Time
	// wrapped holds an answer that is not a stream and came after the stream's header was sent.
	wrapped *wrapped
}

// wrapped is an answer that is sent as one event.
type wrapped struct {
	status int
	body   bytes.Buffer
}

// event returns the answer as an event.
func (a *wrapped) event() []byte {
	var out bytes.Buffer
	if a.status >= http.StatusBadRequest {
		out.WriteString("event: error\n")
	}
	out.WriteString("data: ")
	if json.Compact(&out, a.body.Bytes()) != nil {
		raw, _ := json.Marshal(a.body.String())
		out.Write(raw)
	}
	out.WriteString("\n\n")
	return out.Bytes()
}

var _ dispatch.Response = (*response)(nil)

// Start implements dispatch.Response.
func (s *response) Start(status int, header http.Header, outcome dispatch.Outcome) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started {
		if !strings.HasPrefix(header.Get("Content-Type"), "text/event-stream") {
			s.wrapped = &wrapped{status: status}
		}
		return nil
	}
	s.start(status, header, outcome)
	return nil
}

func (s *response) start(status int, header http.Header, outcome dispatch.Outcome) {
	s.started = true
	h := s.w.Header()
	for name, values := range header {
		if name != HeaderRequestID && name != HeaderOutcome {
			h[name] = values
		}
	}
	if outcome != "" {
		h.Set(HeaderOutcome, string(outcome))
	} else {
		h.Set("Trailer", HeaderOutcome)
		s.trailer = true
	}
	s.extend()
	s.w.WriteHeader(status)
}

// Write implements dispatch.Response.
func (s *response) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written = s.extend()
	if s.wrapped != nil {
		return s.wrapped.body.Write(p)
	}
	return s.w.Write(p)
}

// Flush implements dispatch.Response.
func (s *response) Flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extend()
	return s.c.Flush()
}

// extend moves the write deadline, so that a caller that accepts no bytes ends its request.
func (s *response) extend() time.Time {
	now := time.Now()
	if now.Sub(s.deadlineSet) >= deadlineInterval {
		s.deadlineSet = now
		_ = s.c.SetWriteDeadline(now.Add(s.stall))
	}
	return now
}

// keepAlive sends a comment to a stream that has received nothing for a while, so that neither the
// caller nor a device in between takes the connection for dead.
func (s *response) keepAlive(idle time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.written) < idle {
		return nil
	}
	if !s.started {
		s.start(http.StatusOK, http.Header{"Content-Type": {"text/event-stream; charset=utf-8"}, "Cache-Control": {"no-cache"}}, "")
	}
	s.written = s.extend()
	if _, err := s.w.Write([]byte(": waiting\n\n")); err != nil {
		return err
	}
	return s.c.Flush()
}

// end tells the outcome after the answer, and the error when there is no whole answer.
func (s *response) end(res dispatch.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.c.SetWriteDeadline(time.Now().Add(s.stall))
	switch {
	case res.Err != nil && !s.started:
		writeError(s.w, res.Err, res.Outcome)
		return
	case s.wrapped != nil && res.Err == nil:
		_, _ = s.w.Write(s.wrapped.event())
	case res.Err != nil && s.stream:
		raw, err := json.Marshal(errorOf(res.Err, res.Outcome))
		if err == nil {
			_, _ = s.w.Write([]byte("event: error\ndata: " + string(raw) + "\n\n"))
		}
	case res.Err != nil:
		// A truncated answer must not look whole.
		panic(http.ErrAbortHandler)
	}
	if s.trailer {
		s.w.Header().Set(HeaderOutcome, string(res.Outcome))
	}
}

// errorBody is the OpenAI form of an error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	// Outcome and RetryAfterMS are additions to the OpenAI form.
	Outcome      dispatch.Outcome `json:"outcome"`
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"`
}

func errorOf(e *dispatch.Error, outcome dispatch.Outcome) errorBody {
	kind := "invalid_request_error"
	switch {
	case e.Status == http.StatusUnauthorized:
		kind = "authentication_error"
	case e.Status == http.StatusForbidden:
		kind = "permission_error"
	case e.Status >= http.StatusInternalServerError:
		kind = "server_error"
	}
	return errorBody{Error: errorDetail{
		Message: e.Message, Type: kind, Code: e.Code, Outcome: outcome, RetryAfterMS: e.RetryAfter.Milliseconds(),
	}}
}

// writeError answers with an error in the OpenAI form.
func writeError(w http.ResponseWriter, e *dispatch.Error, outcome dispatch.Outcome) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(outcome))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(errorOf(e, outcome))
}
