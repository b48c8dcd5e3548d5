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
	// burstShare is the part of a class's target that the backlog in front of a request may take during a
	// short burst, and standingShare the part while the backlog does not drain: a standing backlog delays
	// every request and slows the streams without serving more of them.
	burstShare    = 0.7
	standingShare = 0.25
	// burstTime is how long a backlog may last until it counts as standing.
	burstTime = 1500 * time.Millisecond
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
func (b *Board) admit(now time.Time, p *pool, r *candidate, best Choice) *Refusal {
	if p.Engine == nil {
		return nil
	}
	if r.Remaining > 0 && best.Wait > time.Duration(deadlineShare*float64(r.Remaining)) {
		return &Refusal{Reason: Hopeless, RetryAfter: retryAfter(best.Wait)}
	}
	if !b.leastUrgent(r) {
		return nil
	}
	bound := p.backlogBound(now, r.FirstByte, best.Wait)
	if best.Wait > bound || best.Full {
		return &Refusal{Reason: Overload, RetryAfter: retryAfter(best.Wait - bound)}
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

// backlogBound returns the longest wait at which a request is admitted, by how long the backlog has lasted.
func (p *pool) backlogBound(now time.Time, target, wait time.Duration) time.Duration {
	standing := time.Duration(standingShare * float64(target))
	switch {
	case wait < standing:
		p.backlogSince = time.Time{}
	case p.backlogSince.IsZero():
		p.backlogSince = now
	case now.Sub(p.backlogSince) > burstTime:
		return standing
	}
	return time.Duration(burstShare * float64(target))
}

func retryAfter(excess time.Duration) time.Duration { return min(max(excess, minRetry), maxRetry) }
