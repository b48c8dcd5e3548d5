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
	// backlogShare is the part of the tightest target, among the request's class and those that are at least
	// as urgent, that the backlog in front of a request may take. It keeps a burst of one class from delaying
	// the first events of the more urgent ones.
	backlogShare = 0.8
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
	if r.Remaining > 0 && best.Wait > time.Duration(deadlineShare*float64(r.Remaining)) {
		return &Refusal{Reason: Hopeless, RetryAfter: retryAfter(best.Wait)}
	}
	bound, lowest := b.backlogBound(r)
	if !lowest {
		return nil
	}
	if best.Wait > bound || best.Full {
		return &Refusal{Reason: Overload, RetryAfter: retryAfter(best.Wait - bound)}
	}
	return nil
}

// backlogBound returns the longest wait at which a request is admitted, and whether its class is the least
// urgent one of those seen: only that one is refused for overload.
func (b *Board) backlogBound(r *candidate) (bound time.Duration, lowest bool) {
	lowest = true
	tightest := r.FirstByte
	several := false
	for class, t := range b.targets {
		if t.firstByte <= 0 || class == r.Class || b.strict[class] {
			several = several || class != r.Class
			continue
		}
		several = true
		if t.tier <= r.Tier {
			tightest = min(tightest, t.firstByte)
		}
		if t.tier > r.Tier {
			lowest = false
		}
	}
	if b.strict[r.Class] && several {
		lowest = false
	}
	return time.Duration(backlogShare * float64(tightest)), lowest && tightest > 0
}

func retryAfter(excess time.Duration) time.Duration { return min(max(excess, minRetry), maxRetry) }
