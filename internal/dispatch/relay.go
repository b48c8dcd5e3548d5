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
	// maxBufferedBody is the size up to which an answer that is not streamed is held back until it is
	// complete, so that a failed attempt can be repeated unseen.
	maxBufferedBody = 1 << 20
)

var (
	errCallerGone = errors.New("the caller is gone")
	errStale      = errors.New("event of an attempt that is no longer current")
	errGap        = errors.New("the endpoint left out a token")
)

// relay hands the answer of a request's current attempt to the caller. It outlives attempts: it knows
// what the caller already has.
type relay struct {
	req *Request
	out Response

	mu sync.Mutex
	// currentAttempt is the number of the attempt whose events are accepted.
	currentAttempt uint32
	// headerSent says that the caller has received the header.
	headerSent bool
	// tokens and text are what the caller has of a streamed answer.
	tokens int
	text   []byte
	// hasTextlessToken says that a token had no text, so that the partial answer cannot be continued.
	hasTextlessToken bool
	// preambleSent says that the caller has received an event without a token, which engines send first.
	preambleSent bool
	hasFinish    bool
	// hasUsage says that token counts were received.
	hasUsage bool
	// assembling says that the answer is collected; assembly holds it.
	assembling bool
	assembly   assembly
	// resumedTokens is the number of tokens that the caller had when the current attempt began.
	resumedTokens int
	// identity is the identity of the answer's first chunk, which all chunks carry.
	identity identity

	// status, header and body are the answer that is not streamed.
	status int
	header http.Header
	body   []byte

	scratch []byte

	timing timing
}

func newRelay(r *Request, out Response) *relay { return &relay{req: r, out: out} }

// beginAttempt makes an attempt the current one and drops what is held back of earlier ones.
func (l *relay) beginAttempt(number uint32, slot Slot) *sink {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.currentAttempt = number
	l.resumedTokens = l.tokens
	l.status = 0
	l.header = nil
	l.body = l.body[:0]
	l.timing.beginAttempt(l.tokens)
	return &sink{relay: l, attempt: number, slot: slot, sent: time.Now()}
}

// endAttempts makes later events of all attempts stale.
func (l *relay) endAttempts() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.currentAttempt = 0
}

// delivered returns what the caller has of a streamed answer.
func (l *relay) delivered() (tokens int, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tokens, string(l.text)
}

// finishReceived says that all tokens of a streamed answer and the reason for its end were received.
func (l *relay) finishReceived() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasFinish
}

// complete says that nothing of a streamed answer is missing but its end marker.
func (l *relay) complete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasFinish && (l.hasUsage || !l.req.WantsUsage && !l.assembling)
}

// deliverable says that the current attempt's answer fits what was received before it: after the
// first event only a further stream does, not an error of the endpoint that should continue it.
func (l *relay) deliverable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.preambleSent && l.tokens == 0 && !l.hasFinish || l.isStreamLocked()
}

// isStreamLocked says that the current attempt's answer is a stream of an engine. It is called with mu held.
func (l *relay) isStreamLocked() bool {
	return l.req.Pool.Kind == config.KindEngine && l.status == http.StatusOK && isEventStream(l.header)
}

// maxTokensReachedLocked says that the caller has as many tokens as it allowed. It is called with mu held.
func (l *relay) maxTokensReachedLocked() bool {
	return l.req.MaxTokens > 0 && l.tokens >= l.req.MaxTokens
}

// maxTokensReached says that no further token may follow.
func (l *relay) maxTokensReached() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxTokensReachedLocked()
}

// sink receives the answer of one attempt.
type sink struct {
	relay   *relay
	attempt uint32
	slot    Slot
	sent    time.Time

	identity   identity
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
		if len(l.body) <= maxBufferedBody && !isEventStream(l.header) {
			return nil
		}
		if err := l.startBody(""); err != nil {
			return err
		}
		p = l.body
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
	case e.Kind&endpoint.EventFinish != 0 && l.hasFinish:
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
	l.hasFinish = l.hasFinish || e.Kind&endpoint.EventFinish != 0
	l.hasUsage = l.hasUsage || e.Kind&endpoint.EventUsage != 0
	return nil
}

// preempt cancels the attempt, unless what the caller has by now cannot be continued: losing the answer
// would cost more than the slot is worth. Events after the decision are dropped. resumes says that the
// pool has endpoints that can continue an answer.
func (s *sink) preempt(cancel context.CancelCauseFunc, resumes bool) {
	l := s.relay
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.currentAttempt != s.attempt || l.headerSent && l.tokens > 0 && (l.hasTextlessToken || !resumes) {
		return
	}
	cancel(errPreempted)
	l.currentAttempt = 0
}

// handleEvent sends an event to the caller or collects it.
func (l *relay) handleEvent(s *sink, e endpoint.Event) error {
	if l.assembling {
		return l.collect(e)
	}
	return l.writeEvent(s, e)
}

// report tells the scheduler about progress. Slots collect reports, so that it may be called per token.
func (s *sink) report(tokens int) {
	if s.firstToken == 0 {
		s.firstToken = max(time.Since(s.sent), 1)
	}
	s.slot.Progress(tokens, s.firstToken)
}

// writeEvent writes one event in the form of server-sent events.
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

// startStream sends the header of a streamed answer before its first event. Until then a failure can
// still be answered with an HTTP status.
func (l *relay) startStream() error {
	if l.headerSent {
		return nil
	}
	l.headerSent = true
	header := http.Header{"Content-Type": {"text/event-stream; charset=utf-8"}, "Cache-Control": {"no-cache"}}
	return callerError(l.out.Start(http.StatusOK, header, ""))
}

// startBody sends the header of an answer that is not streamed.
func (l *relay) startBody(o Outcome) error {
	l.headerSent = true
	header := http.Header{}
	endpoint.CopyHeader(header, l.header)
	switch {
	case l.req.Method == http.MethodHead:
		if length := l.header.Get("Content-Length"); length != "" {
			header.Set("Content-Length", length)
		}
	case l.status == http.StatusNoContent, l.status == http.StatusNotModified:
		// These have no body, and HTTP forbids a length.
	case o != "":
		header.Set("Content-Length", strconv.Itoa(len(l.body)))
	}
	return callerError(l.out.Start(l.status, header, o))
}

// finish ends a whole answer.
func (l *relay) finish(o Outcome) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.currentAttempt = 0
	if l.assembling && (l.hasFinish || l.isStreamLocked()) {
		if err := l.buildResponse(); err != nil {
			return err
		}
	}
	if !l.assembling && (l.hasFinish || l.isStreamLocked()) {
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

// callerError marks an error of the caller's connection.
func callerError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", errCallerGone, err)
}
