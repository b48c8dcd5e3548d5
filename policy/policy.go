// Package policy defines the interface between a scheduler and its scheduling policy. A policy serves one
// shard, which is a group of endpoints that one scheduler handles. Each endpoint has slots; a running
// attempt occupies one slot.
//
// A policy starts no goroutines, opens no sockets and reads no clock. The caller passes the current
// time as the duration since an arbitrary start and serializes all calls.
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
	// Failed: the endpoint ran the request, or may have run it, and the attempt failed.
	Failed
	// Crashed: the endpoint broke the connection while the request ran.
	Crashed
	// Canceled: the caller disconnected or the deadline has passed.
	Canceled
	// Preempted: the scheduler canceled the attempt to free its slot for a higher tier.
	Preempted
)

// AttemptID identifies one attempt of one request.
type AttemptID struct {
	Request string
	Number  uint32
}

// LateAction says what happens to a waiting request that can no longer meet its targets.
type LateAction uint8

// The actions for a late request.
const (
	// LateShed refuses the request, and the caller is told that it did not run.
	LateShed LateAction = iota + 1
	// LateDemote runs the request after all requests of its tier that can still meet their targets.
	LateDemote
	// LateServe keeps the request's position in the queue.
	LateServe
)

// Class is the part of a request class's configuration that a scheduler uses.
type Class struct {
	Name string
	// Tier orders classes; tier 1 is the highest.
	Tier int
	// FirstToken, BetweenTokens and Total are latency targets; zero means no target.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Total         time.Duration
	// Floor is the share of the shard's slots that is guaranteed to the class, from 0 to 1.
	Floor float64
	Late  LateAction
	// MaxWait bounds the time in the queue; zero means that only the latency targets bound it.
	MaxWait time.Duration
}

// Weight is a workspace's share of its class relative to other workspaces.
type Weight struct {
	Workspace string
	Value     float64
}

// Request is one attempt of a request, submitted to obtain a slot on an endpoint.
type Request struct {
	ID        AttemptID
	Class     string
	Workspace string
	Model     string
	Adapter   string
	// Zone is the availability zone of the entry daemon.
	Zone         string
	PromptTokens int
	// MaxTokens is the largest number of tokens that may be generated.
	MaxTokens int
	// ResumedTokens is the number of generated tokens that the caller received from earlier attempts.
	ResumedTokens int
	// Arrival is the time when the caller's request arrived; later attempts keep it.
	Arrival time.Duration
	// Deadline is the time after which the caller has no use for the answer; zero means none.
	Deadline time.Duration
	// Blocks are hashes of the prompt's prefix blocks in prompt order.
	Blocks []uint64
	// Avoid lists the IDs of endpoints that should not run the attempt.
	Avoid []string
	// AvoidZone is an availability zone to use only when no other has a free slot.
	AvoidZone string
	// Suspect marks a request that was running on an endpoint when the endpoint crashed.
	Suspect bool
	// WasPreempted marks a request that must not be preempted again.
	WasPreempted bool
}

// Endpoint is an endpoint on which a scheduler may place attempts.
type Endpoint struct {
	ID    string
	Zone  string
	Model string
	// Adapters lists the loaded adapters.
	Adapters []string
	// MinSlots and MaxSlots bound the number of concurrent attempts.
	MinSlots int
	MaxSlots int
	// Draining endpoints receive no new work.
	Draining bool
	// CanResume says that the endpoint can continue a partly generated answer.
	CanResume bool
	// CacheBlocks is the size of the prefix cache in blocks; zero when unknown.
	CacheBlocks int
}

// LoadReport is a report of an endpoint on its own load at an earlier time.
type LoadReport struct {
	Endpoint string
	// MeasuredAt is the time at which the endpoint measured its load.
	MeasuredAt time.Duration
	Running    int
	// Waiting is the number of requests queued inside the endpoint.
	Waiting int
	// BetweenTokens is the measured time between tokens; zero means unknown.
	BetweenTokens time.Duration
	// CacheSequence numbers the cache events; a gap means that some were lost.
	CacheSequence uint64
	// CacheAdded and CacheRemoved are hashes of prefix blocks.
	CacheAdded   []uint64
	CacheRemoved []uint64
}

// DecisionKind says what the scheduler must do for an attempt.
type DecisionKind uint8

// The kinds of decisions.
const (
	// Grant: the attempt may start on Endpoint.
	Grant DecisionKind = iota + 1
	// Shed: the request must be refused, and the caller told that it did not run.
	Shed
	// Preempt: the running attempt must be canceled and submitted again as a new attempt.
	Preempt
)

// ShedReason says why a request was shed.
type ShedReason uint8

// The reasons of a Shed decision.
const (
	// Overload: the queue is too long for the class's targets, or has reached its hard bound.
	Overload ShedReason = iota + 1
	// Expired: the request waited until its deadline, until its class's MaxWait had passed, or until it
	// could no longer meet its class's targets.
	Expired
	// NoEndpoint: no endpoint can run the request.
	NoEndpoint
)

// Decision is one decision of a policy.
type Decision struct {
	Kind DecisionKind
	ID   AttemptID
	// Endpoint is set for Grant and Preempt.
	Endpoint string
	// Reason and RetryAfter, the time after which a retry may succeed, are set for Shed.
	Reason     ShedReason
	RetryAfter time.Duration
}

// Policy decides which waiting request runs on which endpoint and when. A policy keeps a request from
// Submit or Resume until a Shed decision, Finish or Cancel.
type Policy interface {
	// SetClasses replaces the classes, for example when operators switch to another preset, which is a
	// configured set of classes. Waiting requests keep their arrival and are ordered by the new settings.
	SetClasses(now time.Duration, classes []Class)
	// SetWeights replaces the workspaces' weights; a workspace that is not listed has weight 1.
	SetWeights(now time.Duration, weights []Weight)
	// SetEndpoints replaces the endpoints. Attempts that run on a removed endpoint stay known.
	SetEndpoints(now time.Duration, endpoints []Endpoint)
	// Submit queues a request.
	Submit(now time.Duration, r *Request)
	// Resume registers an attempt that already runs on an endpoint and whose answer has the given
	// number of tokens.
	Resume(now time.Duration, r *Request, endpoint string, tokens int)
	// Progress records the number of the answer's tokens so far, including ResumedTokens, and the
	// time from the start of the attempt to its first token, which is zero until there is one.
	Progress(now time.Duration, id AttemptID, tokens int, firstToken time.Duration)
	// Finish records the end of an attempt and the number of tokens of its answer.
	Finish(now time.Duration, id AttemptID, outcome Outcome, tokens int)
	// Cancel removes a waiting or running request whose caller has disconnected.
	Cancel(now time.Duration, id AttemptID)
	// Report records a load report of an endpoint.
	Report(now time.Duration, report LoadReport)
	// Step appends the decisions that are due to dst. It returns the time at which the next decision
	// is due if no further event arrives; zero means none.
	Step(now time.Duration, dst []Decision) (decisions []Decision, next time.Duration)
	// Status returns the number of waiting and running requests by class and the endpoints' states.
	Status(now time.Duration) Status
}

// Status describes a policy's queues and endpoints for operators and for load summaries.
type Status struct {
	Classes   []ClassStatus
	Endpoints []EndpointStatus
	// TierViolations counts decisions that violated the tier rule, by which requests of a higher tier go
	// before those of a lower one. It must stay zero.
	TierViolations int
}

// ClassStatus counts the requests of a class. Shed is a running total.
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
