// Package endpoint defines the interface of endpoint kinds: each sends one attempt of a request to an
// endpoint and reports how the attempt ended. The kinds are modules in the namespace "endpoint".
package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/peer"
)

// HeaderNotRun is set to "true" on a 503 response by an endpoint that did not execute the request.
const HeaderNotRun = "X-Not-Run"

// HeaderRequestID carries the request ID in requests and responses.
const HeaderRequestID = "X-Request-Id"

// Request is a caller's request as it is sent to endpoints. Attempts do not modify it.
type Request struct {
	// ID is sent in HeaderRequestID.
	ID string
	// Workspace is sent in HeaderWorkspace to plain services, which are endpoints other than inference engines.
	Workspace string
	Method    string
	Path      string
	RawQuery  string
	Header    http.Header
	Body      []byte
	// Stream is set when the caller requested server-sent events.
	Stream bool
	// NonIdempotent requests are sent on a new connection, not on a pooled one.
	NonIdempotent bool
	// MaxTokens is the caller's limit for the generated tokens; 0 means none.
	MaxTokens int
}

// Attempt is one attempt to execute a request at one endpoint.
type Attempt struct {
	Request  *Request
	Endpoint config.Endpoint
	// Number is the number of the attempt at this request, starting at 1.
	Number uint32
	// Tier is the tier of the request's class. It is sent to engines with the priority capability.
	Tier int
	// Assemble requests a stream from the engine although the caller expects a single response, which is then
	// assembled from the stream.
	Assemble bool
	// Tokens is the number of tokens that earlier attempts delivered, and Text is their text.
	Tokens int
	Text   string
	// FirstTokenTimeout limits the time to the first token, or to the first byte of a plain response.
	FirstTokenTimeout time.Duration
	// InterTokenTimeout limits the time between two tokens, or between two reads of a plain response.
	InterTokenTimeout time.Duration
}

// EventKind is a bit set that classifies an event of a streamed response.
type EventKind uint8

// The kinds of events.
const (
	// EventToken marks an event with a token.
	EventToken EventKind = 1 << iota
	// EventFinish marks an event with the finish reason.
	EventFinish
	// EventUsage marks an event with token counts.
	EventUsage
)

// Event is one event of a streamed response.
type Event struct {
	Kind EventKind
	// Index is the token's position in the whole response, starting at 1; 0 for other events.
	Index int
	// Text is the token's text. It is valid only until Sink.Event returns.
	Text []byte
	// Data is the event's payload as the endpoint sent it. It is valid only until Sink.Event returns.
	Data []byte
}

// Sink receives the response of an attempt. An error from any method ends the attempt.
type Sink interface {
	// Head is called once, before Body or Event.
	Head(status int, header http.Header) error
	// Body receives the bytes of a response that is not an event stream. p is valid only during the call.
	Body(p []byte) error
	// Event receives the events of a streamed response.
	Event(e Event) error
	// Flush is called when no more data can be read without waiting.
	Flush() error
}

// Timeout identifies the time limit that an attempt exceeded.
type Timeout uint8

// The timeouts.
const (
	TimeoutNone Timeout = iota
	TimeoutFirstToken
	TimeoutBetweenTokens
)

// Result describes how an attempt ended.
type Result struct {
	// Sent is set when at least one byte of the request may have been sent.
	Sent bool
	// NotRun is set when the endpoint stated that it did not execute the request.
	NotRun bool
	// Complete is set when the whole response was received and its end was verified.
	Complete bool
	// Stale is set when a pooled connection failed or timed out before the first byte of a response. This
	// does not count as a failure of the endpoint; the request should be retried on a new connection.
	Stale bool
	// Crashed is set when the endpoint closed or reset the connection after the request was sent.
	Crashed bool
	Timeout Timeout
	// Canceled is set when the attempt's context was canceled.
	Canceled bool
	// Status is the HTTP status of the response; 0 if there was none.
	Status int
	// RetryAfter is the value of the Retry-After header; 0 if it was absent or not in seconds.
	RetryAfter time.Duration
	// Tokens is the number of tokens that this attempt delivered.
	Tokens int
	// FirstTokenAfter is the time from the start of the attempt to the first token, or to the header of a plain
	// response; 0 if there was none.
	FirstTokenAfter time.Duration
	// Err is the cause of the failure. It is nil when Complete is set.
	Err error
}

// MayHaveRun reports whether the endpoint may have executed the request.
func (r Result) MayHaveRun() bool { return r.Sent && !r.NotRun }

// Outcome converts the result to the outcome that is reported to schedulers. Schedulers count all outcomes
// except completed, refused and canceled as failures of the endpoint. A complete 503 response with a
// Retry-After header, as a draining endpoint sends it, counts as refused, although the caller is told that
// the request was not executed only when the endpoint states so.
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

// Kind sends attempts to endpoints of one kind. Implementations must be safe for concurrent use.
type Kind interface {
	// Do sends the attempt once and returns when it has ended. It never retries.
	Do(ctx context.Context, a *Attempt, s Sink) Result
}

// LoadReport is a load report of an endpoint. It describes the state at the time At, which is already past.
type LoadReport struct {
	// At is the time of the report by the endpoint's clock.
	At time.Time
	// Running and Waiting are the numbers of requests that the endpoint executes and has queued.
	Running int
	Waiting int
	// BetweenTokens is the time between two tokens of a running request.
	BetweenTokens time.Duration
	// CacheSequence is the sequence number of the latest cache event. Each added or removed block is one
	// event. A reader that requested the events after s has missed some if CacheSequence-s differs from the
	// total number of blocks in CacheAdded and CacheRemoved.
	CacheSequence uint64
	// CacheAdded and CacheRemoved are the hashes of the prefix blocks that were added to and removed from the
	// endpoint's cache; see PrefixHashes.
	CacheAdded   []uint64
	CacheRemoved []uint64
}

// LoadReporter is implemented by kinds whose endpoints provide load reports.
type LoadReporter interface {
	// Load fetches the load report of endpoint e, with the cache events after the sequence number after.
	Load(ctx context.Context, e config.Endpoint, after uint64) (LoadReport, error)
}
