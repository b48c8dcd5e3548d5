package placement

import "time"

// Reason says why a request is refused.
type Reason uint8

// The reasons of a refusal.
const (
	// NoEndpoint: no endpoint of the pool takes requests.
	NoEndpoint Reason = iota + 1
	// Overload: the request would begin so late, or delay more urgent ones so long, that serving it wastes
	// capacity.
	Overload
	// Hopeless: the request cannot be answered before its deadline.
	Hopeless
)

// String returns the reason for logs and metrics.
func (r Reason) String() string {
	switch r {
	case NoEndpoint:
		return "no endpoint"
	case Overload:
		return "overload"
	case Hopeless:
		return "too late for the deadline"
	}
	return "none"
}

// Refusal is the decision not to send a request.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

const (
	// noEndpointRetry is when endpoints that registered lately may take requests.
	noEndpointRetry = 500 * time.Millisecond
	// backlogShare is the part of a class's target that the backlog in front of a request may take.
	backlogShare = 0.8
	// crowdedShare is the part of an engine's slots beyond which streams grow slow faster than they end: each
	// stream waits for the prompts of the others between its tokens.
	crowdedShare = 0.5
	// deadlineShare is the part of the remaining time after which the first event is too late for the rest of
	// the answer to arrive.
	deadlineShare = 0.6
	// minRetry and maxRetry bound when a refused caller may come back.
	minRetry = 300 * time.Millisecond
	maxRetry = 4 * time.Second
)

// target is what admission needs to know of a class.
type target struct {
	tier      int
	firstByte time.Duration
}

// admit decides whether a request is sent to the best endpoint. It answers bursts above the capacity: what
// cannot be served in time is refused at once, the least urgent classes first, because an engine whose
// backlog grows beyond the targets serves nobody in time.
func (b *Board) admit(p *pool, r *candidate, best Choice) *Refusal {
	if p.Engine == nil {
		return nil
	}
	wait := p.calibration.correct(best.Wait)
	if r.Remaining > 0 && wait > time.Duration(deadlineShare*float64(r.Remaining)) {
		return &Refusal{Reason: Hopeless, RetryAfter: retryAfter(wait)}
	}
	if !b.leastUrgent(r) {
		return nil
	}
	bound := time.Duration(backlogShare * float64(r.FirstByte))
	if wait > bound || best.Full {
		return &Refusal{Reason: Overload, RetryAfter: retryAfter(wait - bound)}
	}
	return nil
}

// leastUrgent says whether a request's class is the least urgent one of those seen. Only that one is
// refused for overload. Classes with strict pauses have engines of their own, so that refusing them makes
// no room for others.
func (b *Board) leastUrgent(r *candidate) bool {
	if r.FirstByte <= 0 || (r.strict && len(b.targets) > 1) {
		return false
	}
	for _, t := range b.targets {
		if t.tier > r.Tier {
			return false
		}
	}
	return true
}

func retryAfter(excess time.Duration) time.Duration { return min(max(excess, minRetry), maxRetry) }
