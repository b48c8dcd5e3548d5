package entry

// Reason says why a request ended as it did. The texts are part of the interface of logs and metrics.
type Reason string

// The reasons.
const (
	Served               Reason = "served"
	EndpointError        Reason = "the endpoint's error"
	EndpointFailed       Reason = "the endpoint failed"
	EndpointRefused      Reason = "the endpoint refused"
	ResponseTruncated    Reason = "the answer broke off"
	CallerLeft           Reason = "the caller left"
	RouteTimeout         Reason = "route timeout"
	CallerDeadline       Reason = "caller's deadline"
	NoTimeLeft           Reason = "the time was up before an endpoint was free"
	NoEndpoint           Reason = "no endpoint"
	Overload             Reason = "overload"
	EnginesFull          Reason = "the engines are full"
	DeadlineUnreachable  Reason = "too late for the deadline"
	NoEndpointReached    Reason = "no endpoint could be reached"
	CrashedEndpoints     Reason = "the request crashed endpoints"
	NoTable              Reason = "no routing table yet"
	Stopping             Reason = "the daemon is stopping"
	NoRoute              Reason = "no route"
	NoRouteMaybeStale    Reason = "no route in a routing table that may be out of date"
	UnknownKey           Reason = "unknown key"
	UnknownKeyMaybeStale Reason = "unknown key in a routing table that may be out of date"
	NoAttemptID          Reason = "the attempt has no id"
	BodyTooLarge         Reason = "the body is too large"
	unknownReason               = "The request ended for a reason that this version does not know."
)

// explanations says in one sentence what each reason means and where to look next.
var explanations = map[Reason]string{
	Served:               "The endpoint's answer was delivered whole; compare first_ms and gap_ms with the class's targets, and predicted_ms with first_ms.",
	EndpointError:        "The endpoint ran the request and answered with an error, which was passed on.",
	EndpointFailed:       "The request was sent, and the connection ended before an answer; it may have run, so it was not sent again.",
	EndpointRefused:      "Every endpoint that was asked stated that it did not run the request, and no further send was allowed.",
	ResponseTruncated:    "The endpoint broke off its answer after the caller had a part of it, and the stream could not be continued.",
	CallerLeft:           "The caller closed its connection before the answer was complete.",
	RouteTimeout:         "The route's timeout passed; compare total_ms with the route's limit and first_ms with predicted_ms.",
	CallerDeadline:       "The caller's own deadline passed; compare total_ms with first_ms and predicted_ms.",
	NoTimeLeft:           "The deadline was so close that no endpoint could have answered; nothing was sent.",
	NoEndpoint:           "No endpoint of the pool takes requests; look for lines about endpoints that left or drain.",
	Overload:             "The backlog exceeded what the class's target allows, and this class is the least urgent one; nothing was sent.",
	EnginesFull:          "Every engine had too many streams or too little memory for one more request of the least urgent class; nothing was sent.",
	DeadlineUnreachable:  "The expected wait left no time for the answer before the deadline; nothing was sent.",
	NoEndpointReached:    "No connection could be made to any endpoint that was tried; nothing was sent.",
	CrashedEndpoints:     "The same request was running on several endpoints when they crashed, and is kept away from others.",
	NoTable:              "The daemon had no configuration yet; look for its start and for the store's answers.",
	Stopping:             "The daemon was stopping; the caller is sent to another one.",
	NoRoute:              "No route of the configuration in force matches the host and path; compare version with the newest one.",
	NoRouteMaybeStale:    "No route matches, but the daemon had lost touch with the store, so it asked the caller to come back.",
	UnknownKey:           "No workspace of the configuration in force has the key; compare version with the newest one.",
	UnknownKeyMaybeStale: "No workspace has the key, but the daemon had lost touch with the store, so it asked the caller to come back.",
	NoAttemptID:          "The request has no attempt id, without which its answer could not be matched.",
	BodyTooLarge:         "The body exceeds the limit of the configuration.",
}

// Explain returns the sentence for a reason.
func (r Reason) Explain() string {
	if s, ok := explanations[r]; ok {
		return s
	}
	return unknownReason
}
