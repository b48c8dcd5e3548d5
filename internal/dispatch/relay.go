package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/internal/telemetry"
)

const (
	// maxBufferedBody is the size in bytes up to which a non-streaming response is buffered until it is
	// complete, so that a failed attempt can be retried without the caller noticing.
	maxBufferedBody = 1 << 20
)

var (
	errCallerGone = errors.New("the caller is gone")
	errStale      = errors.New("event of an attempt that is no longer current")
	errGap        = errors.New("the endpoint left out a token")
)

// relay forwards the response of the current attempt to the caller. It lives as long as the request and
// tracks what the caller has already received.
type relay struct {
	req *Request
	out ResponseWriter

	mu sync.Mutex
	// currentAttempt is the number of the attempt whose events are accepted. Zero accepts none.
	currentAttempt uint32
	// headerSent reports whether the header has been sent to the caller, and bodySent whether it was that of a
	// non-streaming response, which no other attempt can continue.
	headerSent bool
	bodySent   bool
	// tokens and text are the number and the text of the tokens received so far from a stream.
	tokens int
	text   []byte
	// hasTextlessToken reports whether a token had no text, so that the partial response cannot be continued.
	hasTextlessToken bool
	// preambleSent reports whether an event without token, finish reason and token counts has been relayed.
	// Engines send one first.
	preambleSent bool
	// hasFinishReason reports whether the finish reason has been received.
	hasFinishReason bool
	// hasUsage reports whether the token counts have been received.
	hasUsage bool
	// assembling reports whether a stream is collected in assembly instead of being sent to the caller.
	assembling bool
	assembly   assembly
	// resumedTokens is the number of tokens that had been received when the current attempt began.
	resumedTokens int
	// identity is taken from the first chunk of the response and used for all chunks sent to the caller.
	identity identity

	// status and header belong to the response of the current attempt.
	status int
	header http.Header
	// body is the buffered part of a non-streaming response.
	body []byte

	// scratch is the buffer that writeEvent reuses.
	scratch []byte

	timing timing
}

func newRelay(r *Request, out ResponseWriter) *relay { return &relay{req: r, out: out} }

// beginAttempt makes an attempt the current one and discards the buffered response of earlier attempts.
func (l *relay) beginAttempt(number uint32, slot Slot) *sink {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.currentAttempt = number
	l.resumedTokens = l.tokens
	l.status = 0
	l.header = nil
	l.body = l.body[:0]
	l.timing.beginAttempt(l.tokens)
	return &sink{relay: l, attempt: number, slot: slot, startedAt: time.Now()}
}

// endAttempts causes further events of all attempts to be rejected as stale.
func (l *relay) endAttempts() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.currentAttempt = 0
}

// received returns the number and the text of the tokens received so far from a stream.
func (l *relay) received() (tokens int, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tokens, string(l.text)
}

// finishReasonReceived reports whether all tokens of a stream and its finish reason have been received.
func (l *relay) finishReasonReceived() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasFinishReason
}

// complete reports whether a stream lacks nothing but its end marker.
func (l *relay) complete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasFinishReason && (l.hasUsage || !l.req.IncludeUsage && !l.assembling)
}

// deliverable reports whether the response of the current attempt can follow what has already been received.
// After the first event of a stream, only another stream can follow, not an error response of the endpoint that
// was to resume it.
func (l *relay) deliverable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.preambleSent && l.tokens == 0 && !l.hasFinishReason || l.isStreamLocked()
}

// isStreamLocked reports whether the response of the current attempt is an engine's stream. mu must be held.
func (l *relay) isStreamLocked() bool {
	return l.req.Pool.Kind == config.KindEngine && l.status == http.StatusOK && isEventStream(l.header)
}

// isEngineErrorLocked reports whether the response of the current attempt is an engine's error. mu must be held.
func (l *relay) isEngineErrorLocked() bool {
	return l.req.Pool.Kind == config.KindEngine && l.status != http.StatusOK
}

// maxTokensReachedLocked reports whether the response has as many tokens as the request allows. mu must be
// held.
func (l *relay) maxTokensReachedLocked() bool {
	return l.req.MaxTokens > 0 && l.tokens >= l.req.MaxTokens
}

// maxTokensReached reports whether the response has as many tokens as the request allows.
func (l *relay) maxTokensReached() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxTokensReachedLocked()
}

// sink receives the response of one attempt.
type sink struct {
	relay   *relay
	attempt uint32
	slot    Slot
	// startedAt is the time at which the attempt began.
	startedAt time.Time

	// identity is the identity in the chunks of this attempt's endpoint.
	identity identity
	// firstToken is the time from startedAt to the attempt's first token. Zero means that there was none.
	firstToken time.Duration
}

var _ endpoint.Sink = (*sink)(nil)

// Head implements endpoint.Sink.
func (s *sink) Head(status int, header http.Header) error {
	l := s.relay
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.attempt != l.currentAttempt {
		return errStale
	}
	l.status = status
	l.header = header
	if !isEventStream(header) {
		l.timing.recordFirst(l.req.Arrival)
	}
	return nil
}

// Body implements endpoint.Sink.
func (s *sink) Body(p []byte) error {
	l := s.relay
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.attempt != l.currentAttempt {
		return errStale
	}
	if !l.headerSent {
		l.body = append(l.body, p...)
		// An event stream that arrives here, such as that of a plain service, is not buffered, so that the caller
		// gets each event at once. An engine's error is buffered, because another attempt may replace it.
		if len(l.body) <= maxBufferedBody && (!isEventStream(l.header) || l.isEngineErrorLocked()) {
			return nil
		}
		if err := l.startBody(""); err != nil {
			return err
		}
		p = l.body
	}
	if !l.bodySent {
		// An error that answers the attempt to resume a stream is no part of the stream.
		return nil
	}
	_, err := l.out.Write(p)
	return callerError(err)
}

// Flush implements endpoint.Sink.
func (s *sink) Flush() error {
	l := s.relay
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.headerSent {
		return nil
	}
	return callerError(l.out.Flush())
}

// Event implements endpoint.Sink. It relays each token once and in order.
func (s *sink) Event(e endpoint.Event) error {
	l := s.relay
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.attempt != l.currentAttempt {
		return errStale
	}
	token := e.Kind&endpoint.EventToken != 0
	switch {
	case token && e.Index <= l.tokens:
		l.timing.wasted[telemetry.Duplicated]++
		return nil
	case token && e.Index > l.tokens+1:
		return fmt.Errorf("%w: got %d after %d", errGap, e.Index, l.tokens)
	case e.Kind == 0 && l.preambleSent:
		return nil
	case e.Kind&endpoint.EventFinish != 0 && l.hasFinishReason:
		return nil
	}
	if err := l.handleEvent(s, e); err != nil {
		return err
	}
	if token {
		l.tokens = e.Index
		l.text = append(l.text, e.Text...)
		l.hasTextlessToken = l.hasTextlessToken || len(e.Text) == 0
		l.timing.recordToken(l.req.Arrival, l.req.Class.BetweenTokens.D())
		s.report(l.tokens)
	}
	l.preambleSent = l.preambleSent || e.Kind == 0
	l.hasFinishReason = l.hasFinishReason || e.Kind&endpoint.EventFinish != 0
	l.hasUsage = l.hasUsage || e.Kind&endpoint.EventUsage != 0
	return nil
}

// preempt cancels the attempt unless the partial response that the caller already has could not be
// continued: losing the response would cost more than the slot is worth. Events that arrive after the
// cancellation are rejected. canResume reports whether the pool has an endpoint that can resume a response.
func (s *sink) preempt(cancel context.CancelCauseFunc, canResume bool) {
	l := s.relay
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.currentAttempt != s.attempt || l.headerSent && l.tokens > 0 && (l.hasTextlessToken || !canResume) {
		return
	}
	cancel(errPreempted)
	l.currentAttempt = 0
}

// handleEvent sends an event to the caller or adds it to the assembly. mu must be held.
func (l *relay) handleEvent(s *sink, e endpoint.Event) error {
	if l.assembling {
		return l.collect(e)
	}
	return l.writeEvent(s, e)
}

// report sends the progress to the scheduler. It may be called for each token, since slots batch reports.
func (s *sink) report(tokens int) {
	if s.firstToken == 0 {
		s.firstToken = max(time.Since(s.startedAt), 1)
	}
	s.slot.Progress(tokens, s.firstToken)
}

// writeEvent writes one event as a server-sent event. mu must be held.
func (l *relay) writeEvent(s *sink, e endpoint.Event) error {
	if err := l.startStream(); err != nil {
		return err
	}
	data := e.Data
	if s.identity.empty() {
		s.identity = parseIdentity(data)
	}
	if l.identity.empty() {
		l.identity = s.identity
	}
	// The chunks of an attempt that resumes the response have another identity.
	if !l.identity.equal(s.identity) {
		data = s.identity.replace(data, l.identity)
		data = l.correctUsage(data, e.Kind)
	}
	buf := l.scratch[:0]
	if e.Index > 0 {
		buf = append(buf, "id: "...)
		buf = strconv.AppendInt(buf, int64(e.Index), 10)
		buf = append(buf, '\n')
	}
	buf = append(buf, "data: "...)
	if bytes.IndexByte(data, '\n') >= 0 {
		data = bytes.ReplaceAll(data, []byte("\n"), []byte("\ndata: "))
	}
	buf = append(buf, data...)
	buf = append(buf, "\n\n"...)
	l.scratch = buf
	_, err := l.out.Write(buf)
	return callerError(err)
}

// startStream sends the header of a stream before its first event. Until then a failure can still be
// reported by an HTTP status. mu must be held.
func (l *relay) startStream() error {
	if l.headerSent {
		return nil
	}
	l.headerSent = true
	header := http.Header{"Content-Type": {"text/event-stream; charset=utf-8"}, "Cache-Control": {"no-cache"}}
	return callerError(l.out.Start(http.StatusOK, header, ""))
}

// startBody sends the header of a non-streaming response. o is empty as long as the response is incomplete, so
// that its length is not known. mu must be held.
func (l *relay) startBody(o Outcome) error {
	l.headerSent, l.bodySent = true, true
	header := http.Header{}
	endpoint.CopyHeader(header, l.header)
	switch {
	case l.req.Method == http.MethodHead:
		if length := l.header.Get("Content-Length"); length != "" {
			header.Set("Content-Length", length)
		}
	case l.status == http.StatusNoContent, l.status == http.StatusNotModified:
		// These responses have no body, and HTTP forbids a Content-Length.
	case o != "":
		header.Set("Content-Length", strconv.Itoa(len(l.body)))
	}
	return callerError(l.out.Start(l.status, header, o))
}

// finish completes the response of the last attempt.
func (l *relay) finish(o Outcome) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.currentAttempt = 0
	if l.assembling && (l.hasFinishReason || l.isStreamLocked()) {
		if err := l.buildResponse(); err != nil {
			return err
		}
	}
	if !l.assembling && (l.hasFinishReason || l.isStreamLocked()) {
		return l.finishStream()
	}
	if !l.headerSent {
		if err := l.startBody(o); err != nil {
			return err
		}
		if _, err := l.out.Write(l.body); err != nil {
			return callerError(err)
		}
	}
	return callerError(l.out.Flush())
}

// finishStream sends the end marker of a stream. mu must be held.
func (l *relay) finishStream() error {
	if err := l.startStream(); err != nil {
		return err
	}
	if _, err := l.out.Write([]byte("data: [DONE]\n\n")); err != nil {
		return callerError(err)
	}
	return callerError(l.out.Flush())
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// callerError marks err as a failure of the caller's connection.
func callerError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", errCallerGone, err)
}
