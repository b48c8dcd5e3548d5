package placement

import (
	"math"
	"time"
)

// Reason says why a request is refused.
type Reason uint8

// The reasons of a refusal.
const (
	// NoEndpoint: no endpoint of the pool takes requests.
	NoEndpoint Reason = iota + 1
	// Overload: the request would begin so late, or delay more urgent ones so long, that serving it wastes
	// capacity.
	Overload
	// Full: every engine has too many streams or too little memory for one more request.
	Full
	// Hopeless: the request cannot be answered before its deadline.
	Hopeless
)

// Refusal is the decision not to send a request.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

const (
	// noEndpointRetry is when endpoints that registered lately may take requests.
	noEndpointRetry = 500 * time.Millisecond
	// overloadShare is the part of a class's target that the wait of a request may take while many are
	// refused: when there is more demand than capacity anyway, a shorter backlog serves as many requests, but
	// faster. While few are refused, the part is larger by fluctuationShare divided by the square root of the
	// number of engines, as the load of few engines fluctuates more; calmShare bounds it.
	overloadShare    = 0.4
	fluctuationShare = 0.6
	calmShare        = 0.8
	// calmUntil is the share of refused requests up to which the larger part holds, and overloadedFrom the one
	// from which on overloadShare does.
	calmUntil      = 0.2
	overloadedFrom = 0.6
	// pressureMemory is the time in which the weight of past refusals halves.
	pressureMemory = 1500 * time.Millisecond
	// crowdedShare is the part of an engine's slots beyond which streams grow slow faster than they end: each
	// stream waits for the prompts of the others between its tokens.
	crowdedShare = 0.65
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

// waitLimit returns the longest expected wait at which a request is sent; 0 means that there is no limit.
func (b *Board) waitLimit(now time.Time, p *pool, r *candidate) time.Duration {
	if p.Engine == nil || r.Waited || !b.leastUrgent(r) {
		return 0
	}
	return p.calibration.uncorrect(time.Duration(p.pressure.share(now, len(p.endpoints)) * float64(r.FirstByte)))
}

// admit decides whether a request is sent to the best endpoint. It answers bursts above the capacity: what
// cannot be served in time is refused at once, the least urgent classes first, because an engine whose
// backlog grows beyond the targets serves nobody in time.
func (b *Board) admit(now time.Time, p *pool, r *candidate, best Choice, limit time.Duration) *Refusal {
	if p.Engine == nil {
		return nil
	}
	wait := p.calibration.correct(best.Wait)
	if r.Remaining > 0 && wait > time.Duration(deadlineShare*float64(r.Remaining)) {
		return &Refusal{Reason: Hopeless, RetryAfter: retryAfter(wait)}
	}
	if limit <= 0 {
		return nil
	}
	refused := best.Wait > limit || best.Full
	p.pressure.count(now, refused)
	switch {
	case best.Full:
		return &Refusal{Reason: Full, RetryAfter: retryAfter(best.Wait - limit)}
	case refused:
		return &Refusal{Reason: Overload, RetryAfter: retryAfter(best.Wait - limit)}
	}
	return nil
}

// pressure is the share of requests of the least urgent class that were refused lately.
type pressure struct {
	asked   float64
	refused float64
	at      time.Time
}

func (l *pressure) decay(now time.Time) {
	keep := math.Exp2(-float64(now.Sub(l.at)) / float64(pressureMemory))
	l.asked *= keep
	l.refused *= keep
	l.at = now
}

func (l *pressure) count(now time.Time, refused bool) {
	l.decay(now)
	l.asked++
	if refused {
		l.refused++
	}
}

// share returns the part of the target that a wait may take in a pool of n engines.
func (l *pressure) share(now time.Time, n int) float64 {
	l.decay(now)
	calm := min(overloadShare+fluctuationShare/math.Sqrt(float64(max(n, 1))), calmShare)
	if l.asked < 1 {
		return calm
	}
	overload := min(max((l.refused/l.asked-calmUntil)/(overloadedFrom-calmUntil), 0), 1)
	return calm - (calm-overloadShare)*overload
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
