package entry

// Reason states why a request ended. The texts appear in logs, metrics and responses and must not change.
type Reason string

// The reasons for which a request can end.
const (
	Served               Reason = "served"
	EndpointError        Reason = "the endpoint's error"
	EndpointFailed       Reason = "the endpoint failed"
	EndpointRefused      Reason = "the endpoint refused"
	ResponseTruncated    Reason = "the answer broke off"
	CallerDisconnected   Reason = "the caller left"
	RouteTimeout         Reason = "route timeout"
	CallerDeadline       Reason = "caller's deadline"
	NoTimeLeft           Reason = "the time was up before an endpoint was free"
	NoEndpoint           Reason = "no endpoint"
	Overload             Reason = "overload"
	EnginesFull          Reason = "the engines are full"
	EngineMemoryFull     Reason = "no engine has memory for the request"
	BeyondEngineMemory   Reason = "the request exceeds the memory of an engine"
	AboveShare           Reason = "the workspace has more than its share"
	DeadlineUnreachable  Reason = "too late for the deadline"
	NoEndpointReached    Reason = "no endpoint could be reached"
	EndpointsPaused      Reason = "the endpoints want a pause"
	CrashedEndpoints     Reason = "the request crashed endpoints"
	CrashingPart         Reason = "a part of the prompt crashes endpoints"
	NoTable              Reason = "no routing table yet"
	ShuttingDown         Reason = "the daemon is stopping"
	NoRoute              Reason = "no route"
	NoRouteMaybeStale    Reason = "no route in a routing table that may be out of date"
	UnknownKey           Reason = "unknown key"
	UnknownKeyMaybeStale Reason = "unknown key in a routing table that may be out of date"
	NoAttemptID          Reason = "the attempt has no id"
	BodyTooLarge         Reason = "the body is too large"
	BodyLate             Reason = "the body did not arrive in time"
	NoMemory             Reason = "no memory for the body"
	unknownReason               = "The request ended for a reason that is unknown to this version."
)

// explanations maps each reason to a sentence that explains it and, where it helps, names the fields or log lines to
// check next.
var explanations = map[Reason]string{
	Served:               "The endpoint's response was delivered completely; compare first_ms and gap_ms with the class's targets, and predicted_ms with first_ms.",
	EndpointError:        "The endpoint executed the request and returned an error response, which was relayed.",
	EndpointFailed:       "The request was sent, but no usable response arrived; the request may have been executed and was not retried further.",
	EndpointRefused:      "Every endpoint that received the request stated that it did not execute it, and no further attempt was allowed.",
	ResponseTruncated:    "The endpoint's response ended early after a part had been sent to the caller, and could not be resumed.",
	CallerDisconnected:   "The caller closed its connection before the response was complete.",
	RouteTimeout:         "The route's timeout passed; compare total_ms with the route's limit and first_ms with predicted_ms.",
	CallerDeadline:       "The caller's deadline passed; compare total_ms with first_ms and predicted_ms.",
	NoTimeLeft:           "The deadline was too close for any endpoint to respond in time; nothing was sent.",
	NoEndpoint:           "No endpoint of the pool accepts requests; look for log lines about endpoints that were removed or are draining.",
	Overload:             "The backlog was larger than the class's target allows, and the class has the lowest priority; nothing was sent, unless sends counts earlier attempts.",
	EnginesFull:          "Every engine had too many streams or too little memory for another request of the lowest-priority class; nothing was sent, unless sends counts earlier attempts.",
	EngineMemoryFull:     "The prompt and the expected output of the request fit no engine beside the requests that run there; nothing was sent, unless sends counts earlier attempts. A large request keeps memory of an engine free for its retry.",
	BeyondEngineMemory:   "The prompt and the expected output of the request exceed the memory of an empty engine, so a retry cannot succeed with engines of this size; compare prompt with the pool's engine memory.",
	AboveShare:           "The engines were scarce, and the workspace had more than its fair share of the admitted work, or the caller had retried several times before the time it was told; nothing was sent, unless sends counts earlier attempts.",
	DeadlineUnreachable:  "The expected wait left no time for a response before the deadline; nothing was sent, unless sends counts earlier attempts.",
	NoEndpointReached:    "No connection could be made to the endpoints tried last; nothing was sent, unless sends counts earlier attempts.",
	EndpointsPaused:      "The endpoints that could take the request had rejected earlier ones and asked this daemon to send none for a time; look for the lines about pauses.",
	CrashedEndpoints:     "The same request was running on several endpoints when they crashed, so it is not sent to others.",
	CrashingPart:         "Endpoints crashed one after the other when they began to answer requests with a part of this prompt, so it is not sent; look for the lines about lost requests.",
	NoTable:              "The daemon had not received a configuration yet; look for its start and for log lines about the store.",
	ShuttingDown:         "The daemon was stopping. With status 503 the request was not sent and the caller was told to retry at another daemon; with 502 it was still in progress at the end of the stop.",
	NoRoute:              "No route of the configuration in force matches the host and path; compare version with the latest one.",
	NoRouteMaybeStale:    "No route matches, but the daemon had lost contact with the store, so it asked the caller to retry.",
	UnknownKey:           "No workspace of the configuration in force has the API key; compare version with the latest one.",
	UnknownKeyMaybeStale: "No workspace has the API key, but the daemon had lost contact with the store, so it asked the caller to retry.",
	NoAttemptID:          "The request has no attempt ID, which is needed to match the response to it.",
	BodyTooLarge:         "The body exceeds the limit of the configuration.",
	BodyLate:             "The caller had not sent the whole body by the request's deadline, or sent it more slowly than 1 KiB a second; nothing was sent to an endpoint.",
	NoMemory:             "Other bodies held the memory for requests until the body had to give up waiting, or it made no progress while others waited; nothing was sent to an endpoint.",
}

// Explain returns a sentence that explains the reason.
func (r Reason) Explain() string {
	if s, ok := explanations[r]; ok {
		return s
	}
	return unknownReason
}
