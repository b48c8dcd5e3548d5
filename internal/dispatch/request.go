package dispatch

import (
	"fmt"
	"net/http"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
)

// retryable reports whether the request may run more than once. A plain call whose method HTTP does not
// define as idempotent may not, even when its route requires no Idempotency-Key.
func (r *Request) retryable() bool {
	return !r.NonIdempotent && (r.Pool.Kind == config.KindEngine || endpoint.IsIdempotent(r.Method))
}

// target returns the method, path and query of the request.
func (r *Request) target() string { return r.Method + " " + r.Path + "?" + r.RawQuery }

// Outcome is the result of a request as reported to its caller.
type Outcome string

// The values of Outcome.
const (
	// Completed means that the complete response was delivered.
	Completed Outcome = "completed"
	// NotRun means that no byte was sent to an endpoint, or that each endpoint stated that it did not run
	// the request.
	NotRun Outcome = "not_run"
	// Failed means that the request ran, or may have run, and failed. The caller may repeat it.
	Failed Outcome = "failed"
	// Unknown means that a non-idempotent request may have run. It is not retried.
	Unknown Outcome = "unknown"
)

// Request is an authenticated client request with its resolved class and pool.
type Request struct {
	endpoint.Request

	// InternalID identifies the request to schedulers and the ledger. It is unique among all requests and shared
	// by all attempts of this one.
	InternalID string
	Class      config.Class
	Pool       config.Pool
	// Adapter is the name of the model's adapter that the caller asked for, or "".
	Adapter string
	// Route is the path prefix of a plain route, or the API path of a model request.
	Route string
	// IdempotencyKey is the caller's key of a non-idempotent request.
	IdempotencyKey string
	Arrival        time.Time
	// Deadline is the time after which the response is of no use. Zero means no deadline.
	Deadline time.Time
	// PromptTokens is the estimated number of tokens of the prompt.
	PromptTokens int
	// PrefixHashes holds the hashes of the prompt's prefix blocks.
	PrefixHashes []uint64
	// Resumable reports whether a partial response can be continued from its text.
	Resumable bool
	// Assemblable reports whether a non-streaming response can be assembled from a streaming one.
	Assemblable bool
	// IncludeUsage reports whether the caller of a stream asked for token counts.
	IncludeUsage bool
}

// ResponseWriter writes the response to the caller. An error means that the caller's connection has failed.
type ResponseWriter interface {
	// Start sends the status and header. outcome is empty when it is not known before the end of the
	// response.
	Start(status int, header http.Header, outcome Outcome) error
	// Write sends part of the body.
	Write(p []byte) (int, error)
	// Flush sends buffered bytes.
	Flush() error
}

// detachedResponse hides a lost caller connection from the relay. A non-idempotent attempt continues after
// its caller has disconnected, because its outcome must be recorded in the ledger.
type detachedResponse struct {
	ResponseWriter
	disconnected bool
}

// Start implements ResponseWriter.
func (d *detachedResponse) Start(status int, header http.Header, outcome Outcome) error {
	d.disconnected = d.disconnected || d.ResponseWriter.Start(status, header, outcome) != nil
	return nil
}

// Write implements ResponseWriter.
func (d *detachedResponse) Write(p []byte) (int, error) {
	if !d.disconnected {
		_, err := d.ResponseWriter.Write(p)
		d.disconnected = err != nil
	}
	return len(p), nil
}

// Flush implements ResponseWriter.
func (d *detachedResponse) Flush() error {
	d.disconnected = d.disconnected || d.ResponseWriter.Flush() != nil
	return nil
}

// Error describes the failure of a request that got no complete response from an endpoint.
type Error struct {
	// Status is the HTTP status.
	Status int
	// Code is one of the constants whose names begin with Code.
	Code    string
	Message string
	// RetryAfter is the time after which the caller should retry. Zero means that none is stated.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s (%s)", e.Message, e.Code) }

// Result describes how a request ended. When Err is not nil, the response was not delivered completely:
// the front end sends the error or, if the response has been started, ends it so that the caller can
// detect the failure.
type Result struct {
	Outcome Outcome
	Err     *Error
}

// The values of Error.Code in this package.
const (
	CodeOverloaded           = "overloaded"
	CodeDeadlineExceeded     = "deadline_exceeded"
	CodeCallerGone           = "caller_gone"
	CodeEndpointFailed       = "endpoint_failed"
	CodeRepeatedCrash        = "request_crashes_endpoints"
	CodeLedgerUnavailable    = "ledger_unavailable"
	CodeIdempotencyKeyReused = "idempotency_key_reused"
	CodeOutcomeUnknown       = "outcome_unknown"
	CodeResponseNotStored    = "answer_not_kept"
)

// statusCallerGone is the non-standard status 499 (client closed request), used in logs.
const statusCallerGone = 499

// The paths of the OpenAI-compatible API.
const (
	PathChatCompletions = "/v1/chat/completions"
	PathCompletions     = "/v1/completions"
)
