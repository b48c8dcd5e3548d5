// Package endpoint defines what a kind of endpoint must offer: sending one attempt of a request and
// reporting exactly how the attempt ended. The kinds are modules in the namespace "endpoint".
package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/peer"
)

// HeaderNotRun is set to "true" on a 503 answer by an endpoint that did not run the request.
const HeaderNotRun = "X-Not-Run"

// HeaderRequestID carries the request id in both directions.
const HeaderRequestID = "X-Request-Id"

// Request is a caller's request as it is sent to an endpoint. It is not changed by attempts.
type Request struct {
	// ID is sent in the X-Request-Id header.
	ID string
	// Workspace is sent to plain services in the X-Chivewind-Workspace header.
	Workspace string
	Method    string
	Path      string
	RawQuery  string
	Header    http.Header
	Body      []byte
	// Stream says that the caller asked for server-sent events.
	Stream bool
	// NonIdempotent requests use a fresh connection.
	NonIdempotent bool
	// MaxTokens is the caller's bound of the answer; 0 means none.
	MaxTokens int
}

// Attempt is one try of a request at one endpoint.
type Attempt struct {
	Request  *Request
	Endpoint config.Endpoint
	Number   uint32
	// Tier is the class's tier; engines with the priority capability receive it.
	Tier int
	// Assemble asks an engine to stream an answer that the caller wants whole.
	Assemble bool
	// Tokens is the number of tokens that the caller already has, and Text is their text.
	Tokens int
	Text   string
	// FirstToken bounds the time to the first token, or to the first byte of a plain answer.
	FirstToken time.Duration
	// BetweenTokens bounds the time between tokens, or between bytes of a plain answer.
	BetweenTokens time.Duration
}

// EventKind classifies an event of a streamed answer. An event can be of several kinds.
type EventKind uint8

// The kinds of events.
const (
	// EventToken carries a token.
	EventToken EventKind = 1 << iota
	// EventFinish carries the reason for the end of the answer.
	EventFinish
	// EventUsage carries token counts.
	EventUsage
)

// Event is one event of a streamed answer.
type Event struct {
	Kind EventKind
	// Index numbers tokens from 1 within the whole answer; 0 for other events.
	Index int
	// Text is the token's text. It is valid until the sink returns.
	Text []byte
	// Data is the event's payload as the endpoint sent it. It is valid until the sink returns.
	Data []byte
}

// Sink receives an attempt's answer. An error from any method ends the attempt.
type Sink interface {
	// Head is called once, before Body or Event.
	Head(status int, header http.Header) error
	// Body receives the bytes of an answer that is not a stream of events.
	Body(p []byte) error
	// Event receives the events of a streamed answer.
	Event(e Event) error
	// Flush is called when no further bytes are at hand.
	Flush() error
}

// Timeout says which limit an attempt exceeded.
type Timeout uint8

// The timeouts.
const (
	TimeoutNone Timeout = iota
	TimeoutFirstToken
	TimeoutBetweenTokens
)

// Result says how an attempt ended.
type Result struct {
	// Sent says that at least one byte of the request may have left this process.
	Sent bool
	// NotRun says that the endpoint itself stated that it did not run the request.
	NotRun bool
	// Complete says that the end of the answer was seen and checked.
	Complete bool
	// Stale says that a pooled connection broke or was silent before the first byte of an answer,
	// which says nothing about the endpoint. The request is to be repeated on a fresh connection.
	Stale bool
	// Crashed says that the endpoint broke the connection after the request was sent.
	Crashed bool
	Timeout Timeout
	// Canceled says that the attempt's context ended first.
	Canceled bool
	// Status is the HTTP status of the answer; 0 without one.
	Status     int
	RetryAfter time.Duration
	// Tokens counts the tokens that this attempt delivered.
	Tokens int
	// FirstTokenAfter is the time from sending to the first token; 0 without one.
	FirstTokenAfter time.Duration
	// Err describes the failure. It is nil when Complete.
	Err error
}

// Started says that the endpoint may have run the request.
func (r Result) Started() bool { return r.Sent && !r.NotRun }

// Outcome returns the outcome as schedulers know it. They hold all but completed, refused and canceled
// attempts against the endpoint. An endpoint that drains has refused the request, even though its
// caller is told "not run" only when the endpoint states it.
func (r Result) Outcome() peer.Outcome {
	refused := r.Status == http.StatusServiceUnavailable && r.RetryAfter > 0
	switch {
	case r.Canceled, r.Stale:
		return peer.Outcome_OUTCOME_CANCELED
	case !r.Sent:
		return peer.Outcome_OUTCOME_NOT_SENT
	case r.NotRun, r.Complete && refused:
		return peer.Outcome_OUTCOME_REFUSED
	case r.Crashed:
		return peer.Outcome_OUTCOME_CRASHED
	case r.Complete && r.Status < http.StatusInternalServerError:
		return peer.Outcome_OUTCOME_COMPLETED
	}
	return peer.Outcome_OUTCOME_FAILED
}

// Kind sends attempts to endpoints of one kind. It is safe for concurrent use.
type Kind interface {
	// Do sends the attempt once and returns when it has ended. It never repeats a request.
	Do(ctx context.Context, a *Attempt, s Sink) Result
}

// Load is an endpoint's own report. It describes the past.
type Load struct {
	// At is the endpoint's time stamp.
	At            time.Time
	Running       int
	Waiting       int
	BetweenTokens time.Duration
	// CacheSequence numbers the newest cache event. Each added or removed block is one event, so
	// that a reader that asked for events after s has a gap when CacheSequence-s differs from the
	// number of blocks in CacheAdded and CacheRemoved.
	CacheSequence uint64
	CacheAdded    []uint64
	CacheRemoved  []uint64
}

// LoadReporter is implemented by kinds whose endpoints report their load.
type LoadReporter interface {
	// Load reads the endpoint's report with the cache events after a sequence number.
	Load(ctx context.Context, e config.Endpoint, after uint64) (Load, error)
}
