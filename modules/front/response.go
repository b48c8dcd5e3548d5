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

// deadlineUpdateInterval is the minimum time between two updates of the write deadline by
// extendWriteDeadline.
const deadlineUpdateInterval = time.Second

// response writes a response to the client. Its methods are called by both the dispatcher and the
// keep-alive goroutine.
type response struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration

	mu sync.Mutex
	// started is set when the response header has been written.
	started bool
	// stream is set if the client requested server-sent events.
	stream bool
	// outcomeInTrailer is set when the outcome is sent as a trailer.
	outcomeInTrailer bool
	// lastWrite is the time of the last write, lastDeadlineUpdate that of the last write deadline update.
	lastWrite          time.Time
	lastDeadlineUpdate time.Time
	// buffered holds a response that is not a stream but started after keep-alive had sent the header of
	// a stream.
	buffered *bufferedResponse
}

// bufferedResponse is a response that is sent as a single server-sent event.
type bufferedResponse struct {
	status int
	body   bytes.Buffer
}

// event returns the response as a server-sent event, which is named error if the status is 400 or above. A
// body that is not JSON is sent as a JSON string.
func (b *bufferedResponse) event() []byte {
	var out bytes.Buffer
	if b.status >= http.StatusBadRequest {
		out.WriteString("event: error\n")
	}
	out.WriteString("data: ")
	if json.Compact(&out, b.body.Bytes()) != nil {
		raw, _ := json.Marshal(b.body.String())
		out.Write(raw)
	}
	out.WriteString("\n\n")
	return out.Bytes()
}

var _ dispatch.ResponseWriter = (*response)(nil)

// Start implements dispatch.ResponseWriter.
func (s *response) Start(status int, header http.Header, outcome dispatch.Outcome) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started {
		if !strings.HasPrefix(header.Get("Content-Type"), "text/event-stream") {
			s.buffered = &bufferedResponse{status: status}
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
		s.outcomeInTrailer = true
	}
	s.extendWriteDeadline()
	s.w.WriteHeader(status)
}

// Write implements dispatch.ResponseWriter.
func (s *response) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWrite = s.extendWriteDeadline()
	if s.buffered != nil {
		return s.buffered.body.Write(p)
	}
	return s.w.Write(p)
}

// Flush implements dispatch.ResponseWriter.
func (s *response) Flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extendWriteDeadline()
	return s.control.Flush()
}

// extendWriteDeadline postpones the write deadline, which ends requests of clients that stop reading, at
// most once per deadlineUpdateInterval. It returns the current time.
func (s *response) extendWriteDeadline() time.Time {
	now := time.Now()
	if now.Sub(s.lastDeadlineUpdate) >= deadlineUpdateInterval {
		s.lastDeadlineUpdate = now
		_ = s.control.SetWriteDeadline(now.Add(s.writeTimeout))
	}
	return now
}

// keepAlive sends an SSE comment if nothing was written for the idle time, so that neither the client
// nor a proxy or firewall on the path closes the connection as idle.
func (s *response) keepAlive(idle time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastWrite) < idle {
		return nil
	}
	if !s.started {
		s.start(http.StatusOK, http.Header{"Content-Type": {"text/event-stream; charset=utf-8"}, "Cache-Control": {"no-cache"}}, "")
	}
	s.lastWrite = s.extendWriteDeadline()
	if _, err := s.w.Write([]byte(": waiting\n\n")); err != nil {
		return err
	}
	return s.control.Flush()
}

// finish ends the response and sends the outcome if the header did not contain it. If the response is missing
// or is an incomplete stream, finish sends the error; it aborts the connection of any other incomplete
// response.
func (s *response) finish(res dispatch.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.control.SetWriteDeadline(time.Now().Add(s.writeTimeout))
	switch {
	case res.Err != nil && !s.started:
		writeError(s.w, res.Err, res.Outcome)
		return
	case s.buffered != nil && res.Err == nil:
		_, _ = s.w.Write(s.buffered.event())
	case res.Err != nil && s.stream:
		raw, err := json.Marshal(newErrorBody(res.Err, res.Outcome))
		if err == nil {
			_, _ = s.w.Write([]byte("event: error\ndata: " + string(raw) + "\n\n"))
		}
	case res.Err != nil:
		// Abort the connection so that the client does not take a truncated response for a complete one.
		panic(http.ErrAbortHandler)
	}
	if s.outcomeInTrailer {
		s.w.Header().Set(HeaderOutcome, string(res.Outcome))
	}
}

// errorBody is an error in the OpenAI format.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	// Outcome and RetryAfterMS are extensions of the OpenAI format.
	Outcome      dispatch.Outcome `json:"outcome"`
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"`
}

func newErrorBody(e *dispatch.Error, outcome dispatch.Outcome) errorBody {
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

// writeError writes an error response in the OpenAI format.
func writeError(w http.ResponseWriter, e *dispatch.Error, outcome dispatch.Outcome) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(outcome))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(newErrorBody(e, outcome))
}
