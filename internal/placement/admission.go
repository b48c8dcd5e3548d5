package placement

import (
	"math"
	"time"
)

// Reason says why a request is refused.
type Reason uint8

// The reasons for a refusal.
const (
	// NoEndpoint: no endpoint of the pool accepts requests.
	NoEndpoint Reason = iota + 1
	// Overload: the request is of the lowest priority and its expected wait exceeds the wait limit, so serving
	// it would waste capacity or delay requests of higher priority.
	Overload
	// Full: the request is of the lowest priority, and the engine with the lowest cost is full; see Choice.Full.
	Full
	// DeadlineUnreachable: the request is not expected to be answered before its deadline.
	DeadlineUnreachable
)

// Refusal is the decision not to send a request. RetryAfter tells the caller when to try again.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

const (
	// noEndpointRetryAfter is the time after which newly registered endpoints may accept requests.
	noEndpointRetryAfter = 500 * time.Millisecond
	// overloadWaitFraction is the fraction of a class's first-byte target that the expected wait may take at a
	// high refusal rate: when demand exceeds capacity anyway, a shorter backlog serves as many requests, but
	// faster. At a low refusal rate the fraction is increased by variationWaitFraction divided by the square
	// root of the number of engines, up to maxWaitFraction, because the load of a small pool varies more.
	overloadWaitFraction  = 0.4
	variationWaitFraction = 0.6
	maxWaitFraction       = 0.8
	// lowRefusalRate is the refusal rate up to which the larger fraction applies, and highRefusalRate the one
	// from which overloadWaitFraction applies. In between, the fraction is interpolated.
	lowRefusalRate  = 0.2
	highRefusalRate = 0.6
	// refusalHalfLife is the time in which the weight of past refusals halves.
	refusalHalfLife = 1500 * time.Millisecond
	// maxStreamFraction is the fraction of an engine's slots beyond which more streams slow each other down so
	// much that they accumulate: each stream waits for the prefill of others between its tokens.
	maxStreamFraction = 0.65
	// maxDeadlineFraction is the fraction of the remaining time that the first event may take. After a later
	// first event, the rest of the response would miss the deadline.
	maxDeadlineFraction = 0.6
	// minRetryAfter and maxRetryAfter limit the retry time of a refusal.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// classTarget is the tier and first-byte target of a class.
type classTarget struct {
	tier      int
	firstByte time.Duration
}

// waitLimit returns the maximum Choice.Wait for which a request is admitted; 0 means no limit. A wait at the
// limit takes, with its margin, the allowed fraction of the first-byte target.
func (b *Placer) waitLimit(now time.Time, p *pool, r *annotatedRequest) time.Duration {
	if p.Engine == nil || r.Waited || !b.lowestPriority(r) {
		return 0
	}
	return p.latency.withoutMargin(time.Duration(p.refusals.waitFraction(now, len(p.endpoints)) * float64(r.FirstByte)))
}

// admit decides whether a request is admitted to the best endpoint. Under overload it refuses requests of the
// lowest-priority classes immediately when they cannot be served in time, because an engine whose backlog
// exceeds the targets serves no request in time.
func (b *Placer) admit(now time.Time, p *pool, r *annotatedRequest, best Choice, limit time.Duration) *Refusal {
	if p.Engine == nil {
		return nil
	}
	wait := p.latency.withMargin(best.Wait)
	if r.Remaining > 0 && wait > time.Duration(maxDeadlineFraction*float64(r.Remaining)) {
		return &Refusal{Reason: DeadlineUnreachable, RetryAfter: retryAfter(wait)}
	}
	if limit <= 0 {
		return nil
	}
	refused := best.Wait > limit || best.Full
	p.refusals.record(now, refused)
	switch {
	case best.Full:
		return &Refusal{Reason: Full, RetryAfter: retryAfter(best.Wait - limit)}
	case refused:
		return &Refusal{Reason: Overload, RetryAfter: retryAfter(best.Wait - limit)}
	}
	return nil
}

// refusalRate measures the recent fraction of refused requests among those of the lowest-priority classes.
type refusalRate struct {
	total   float64
	refused float64
	updated time.Time
}

func (r *refusalRate) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(r.updated)) / float64(refusalHalfLife))
	r.total *= factor
	r.refused *= factor
	r.updated = now
}

func (r *refusalRate) record(now time.Time, refused bool) {
	r.decay(now)
	r.total++
	if refused {
		r.refused++
	}
}

// waitFraction returns the fraction of the first-byte target that the expected wait may take in a pool of n
// engines.
func (r *refusalRate) waitFraction(now time.Time, n int) float64 {
	r.decay(now)
	relaxed := min(overloadWaitFraction+variationWaitFraction/math.Sqrt(float64(max(n, 1))), maxWaitFraction)
	if r.total < 1 {
		return relaxed
	}
	overload := min(max((r.refused/r.total-lowRefusalRate)/(highRefusalRate-lowRefusalRate), 0), 1)
	return relaxed - (relaxed-overloadWaitFraction)*overload
}

// lowestPriority reports whether a request's class has a first-byte target and no known class has a lower
// priority. Only such requests are refused for overload. The result is false for a strict class if there are other
// classes: it has engines of its own, so refusing its requests frees no capacity for others.
func (b *Placer) lowestPriority(r *annotatedRequest) bool {
	if r.FirstByte <= 0 || (r.strict && len(b.classTargets) > 1) {
		return false
	}
	for _, t := range b.classTargets {
		if t.tier > r.Tier {
			return false
		}
	}
	return true
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
