package dispatch

import (
	"fmt"
	"net/http"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
)

// retryable says whether the request may run twice. A plain call with a method that HTTP does not
// define as idempotent may not, also without an Idempotency-Key.
func (r *Request) retryable() bool {
	return !r.NonIdempotent && (r.Pool.Kind == config.KindEngine || endpoint.Repeatable(r.Method))
}

// target is what the request is addressed to.
func (r *Request) target() string { return r.Method + " " + r.Path + "?" + r.RawQuery }

// Outcome is what a caller is told about its request.
type Outcome string

// The outcomes.
const (
	// Completed: the answer was delivered whole.
	Completed Outcome = "completed"
	// NotRun: no byte went to an endpoint, or each endpoint stated that it did not run the request.
	NotRun Outcome = "not_run"
	// Failed: the request ran, or may have run, and failed. It may be repeated.
	Failed Outcome = "failed"
	// Unknown: a non-idempotent request may have run. It is not repeated.
	Unknown Outcome = "unknown"
)

// Request is an authenticated and resolved request of a caller.
type Request struct {
	endpoint.Request

	// AttemptID is unique among all requests; schedulers and the ledger know the request by it.
	AttemptID string
	Class     config.Class
	Pool      config.Pool
	Adapter   string
	// Route is the path prefix of a plain route or the API path of a model request.
	Route string
	// IdempotencyKey is the caller's key of a non-idempotent request.
	IdempotencyKey string
	Arrival        time.Time
	// Deadline is the latest useful end; zero means none.
	Deadline     time.Time
	PromptTokens int
	// Blocks are the hashes of the prompt's prefix blocks.
	Blocks []uint64
	// Continuable says that a partial answer can be continued from its text.
	Continuable bool
	// Assemblable says that a whole answer can be assembled from a streamed one.
	Assemblable bool
	// WantsUsage says that the caller of a stream asked for token counts.
	WantsUsage bool
}

// Response receives the answer for the caller.
type Response interface {
	// Start sends the header. The outcome is empty when it is only known at the end.
	Start(status int, header http.Header, outcome Outcome) error
	// Write sends bytes of the body.
	Write(p []byte) (int, error)
	// Flush sends buffered bytes.
	Flush() error
}

// detachedResponse hides that the caller is gone: a non-idempotent attempt goes on, because its record must
// get the outcome.
type detachedResponse struct {
	Response
	disconnected bool
}

// Start implements Response.
func (t *detachedResponse) Start(status int, header http.Header, outcome Outcome) error {
	t.disconnected = t.disconnected || t.Response.Start(status, header, outcome) != nil
	return nil
}

// Write implements Response.
func (t *detachedResponse) Write(p []byte) (int, error) {
	if !t.disconnected {
		_, err := t.Response.Write(p)
		t.disconnected = err != nil
	}
	return len(p), nil
}

// Flush implements Response.
func (t *detachedResponse) Flush() error {
	t.disconnected = t.disconnected || t.Response.Flush() != nil
	return nil
}

// Error is the answer to a request that has no whole answer of an endpoint.
type Error struct {
	Status     int
	Code       string
	Message    string
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s (%s)", e.Message, e.Code) }

// Result says how a request ended. When Err is not nil, the answer was not delivered whole: the
// receiver answers with the error, or ends a started answer so that its caller sees the failure.
type Result struct {
	Outcome Outcome
	Err     *Error
}

// The codes of errors.
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

// statusCallerGone is the usual status in logs for a caller that closed its connection.
const statusCallerGone = 499

// The paths of the OpenAI-compatible API.
const (
	PathChatCompletions = "/v1/chat/completions"
	PathCompletions     = "/v1/completions"
)
