// Package policy defines the interface between a scheduler and its scheduling policy.
//
// A policy is pure: it has no goroutines, sockets or clocks. The caller passes the time as the
// duration since an arbitrary start and serializes all calls.
package policy

import "time"

// Outcome says how an attempt ended at an endpoint.
type Outcome uint8

// The outcomes of an attempt.
const (
	Completed Outcome = iota + 1
	// NotSent: no byte of the request was sent.
	NotSent
	// Refused: the endpoint said that it did not run the request.
	Refused
	// Failed: the request ran, or may have run, and failed.
	Failed
	// Crashed: the endpoint broke the connection while the request ran.
	Crashed
	// Canceled: the caller is gone or the deadline has passed.
	Canceled
	// Preempted: the scheduler took the slot back.
	Preempted
)

// AttemptID names one attempt of one request.
type AttemptID struct {
	Request string
	Number  uint32
}

// LateAction says what happens to a waiting request that can no longer meet its deadline.
type LateAction uint8

// The late actions.
const (
	// LateShed refuses the request as not run.
	LateShed LateAction = iota + 1
	// LateDemote runs the request after all feasible ones of its tier.
	LateDemote
	// LateServe keeps the request in its place.
	LateServe
)

// Class is a request class as a scheduler sees it.
type Class struct {
	Name string
	// Tier orders classes; tier 1 is the highest.
	Tier int
	// FirstToken, BetweenTokens and Total are latency targets; zero means no target.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Total         time.Duration
	// Floor is the share of the shard's slots kept for the class, from 0 to 1.
	Floor float64
	Late  LateAction
	// MaxWait bounds the time in the queue; zero means that only the target bounds it.
	MaxWait time.Duration
}

// Weight is a workspace's share of its class relative to others.
type Weight struct {
	Workspace string
	Value     float64
}

// Request is a request that asks for a slot.
type Request struct {
	ID        AttemptID
	Class     string
	Workspace string
	Model     string
	Adapter   string
	// Zone is the availability zone of the entry daemon.
	Zone         string
	PromptTokens int
	MaxTokens    int
	// ResumedTokens is the number of tokens that the caller already has.
	ResumedTokens int
	// Arrival is when the caller's request arrived, also when this is a later attempt.
	Arrival time.Duration
	// Deadline is the latest useful end; zero means none.
	Deadline time.Duration
	// Blocks are hashes of the prompt's prefix blocks, the first block first.
	Blocks    []uint64
	Avoid     []string
	AvoidZone string
	// Suspect marks a request that was running on an endpoint when it crashed.
	Suspect bool
	// WasPreempted marks a request that must not be preempted again.
	WasPreempted bool
}

// Endpoint is an endpoint that a scheduler may choose.
type Endpoint struct {
	ID    string
	Zone  string
	Model string
	// Adapters lists loaded adapters.
	Adapters []string
	// MinSlots and MaxSlots bound the number of concurrent attempts.
	MinSlots int
	MaxSlots int
	// Draining endpoints receive no new work.
	Draining bool
	// Resumes says that the endpoint can continue an answer from a token.
	Resumes bool
	// CacheBlocks is the size of the prefix cache in blocks; zero when unknown.
	CacheBlocks int
}

// LoadReport is an endpoint's own report. It describes the past.
type LoadReport struct {
	Endpoint string
	// At is the time that the report describes.
	At            time.Duration
	Running       int
	Waiting       int
	BetweenTokens time.Duration
	// CacheSequence numbers cache events; a gap means that some were lost.
	CacheSequence uint64
	CacheAdded    []uint64
	CacheRemoved  []uint64
}

// DecisionKind says what a scheduler must do.
type DecisionKind uint8

// The kinds of decisions.
const (
	// Grant: the attempt may start on Endpoint.
	Grant DecisionKind = iota + 1
	// Shed: the request is refused as not run.
	Shed
	// Preempt: the running attempt must be canceled and asked for again.
	Preempt
)

// ShedReason says why a request was refused.
type ShedReason uint8

// The reasons of a Shed.
const (
	// Overload: the queue is longer than the class's target allows.
	Overload ShedReason = iota + 1
	// Expired: the request missed its own deadline while it waited.
	Expired
	// NoEndpoint: no endpoint can run the request.
	NoEndpoint
)

// Decision is one decision of a policy.
type Decision struct {
	Kind       DecisionKind
	ID         AttemptID
	Endpoint   string
	Reason     ShedReason
	RetryAfter time.Duration
}

// Policy decides which waiting request runs where and when. A request is known to the policy from
// Submit or Resume until a Shed decision, Finish or Cancel.
type Policy interface {
	// SetClasses replaces the classes, for example at a preset switch. Waiting requests keep
	// their arrival and are ordered by the new settings.
	SetClasses(now time.Duration, classes []Class)
	// SetWeights replaces the workspaces' weights; others have weight 1.
	SetWeights(now time.Duration, weights []Weight)
	SetEndpoints(now time.Duration, endpoints []Endpoint)
	Submit(now time.Duration, r *Request)
	// Resume registers an attempt that already runs on an endpoint.
	Resume(now time.Duration, r *Request, endpoint string, tokens int)
	// Progress reports tokens so far; firstToken is zero until there is one.
	Progress(now time.Duration, id AttemptID, tokens int, firstToken time.Duration)
	Finish(now time.Duration, id AttemptID, outcome Outcome, tokens int)
	// Cancel forgets a request whose caller is gone, waiting or running.
	Cancel(now time.Duration, id AttemptID)
	Report(now time.Duration, report LoadReport)
	// Step appends the decisions that are due to dst and returns the time of the next
	// decision that needs no further event; zero means none.
	Step(now time.Duration, dst []Decision) (decisions []Decision, next time.Duration)
	// Status counts waiting and running requests by class and state of endpoints.
	Status(now time.Duration) Status
}

// Status describes a policy's queues for operators and for load summaries.
type Status struct {
	Classes   []ClassStatus
	Endpoints []EndpointStatus
	// TierViolations counts decisions that broke the tier rule. It must stay zero.
	TierViolations int
}

// ClassStatus counts the requests of a class.
type ClassStatus struct {
	Class   string
	Waiting int
	Running int
	Shed    uint64
}

// EndpointStatus describes an endpoint.
type EndpointStatus struct {
	ID      string
	Zone    string
	Running int
	Slots   int
	// State is "ready", "draining", "ejected" or "trial".
	State string
}
