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
	// MemoryFull: no engine has memory for the request now.
	MemoryFull
	// TooLarge: the request exceeds the whole memory of an engine. It is refused as if the engines were full, because the
	// routing table allows it, and engines with more memory may be added.
	TooLarge
	// AboveShare: the pool is scarce, and the request's workspace has more than its fair share of it, or its caller has
	// retried early too often.
	AboveShare
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
	// longPrefillWaitFraction is the fraction of the first-byte target that the expected wait of a request with a long
	// prefill of its own may take. A longer prefill delays requests of more urgent classes too much.
	longPrefillWaitFraction = 0.65
	// shortPrefillWeight is the part of the time by which a request's prefill is shorter than the class's mean that its
	// limit is reduced by at a high refusal rate.
	shortPrefillWeight = 0.5
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

// classState is what admission knows of a class.
type classState struct {
	pool        string
	lastRequest time.Time
	tier        int
	firstByte   time.Duration
	// prefillTokens is the smoothed number of prompt tokens that an engine has to prefill for a request.
	prefillTokens float64
}

// prefillSmoothing is the weight of a new request in classState.prefillTokens.
const prefillSmoothing = 0.02

// observePrefill records the number of tokens to prefill for a new request.
func (b *Placer) observePrefill(r *Request, tokens int) {
	state := b.classes[r.Class]
	if state.prefillTokens == 0 {
		state.prefillTokens = float64(tokens)
	}
	state.prefillTokens += prefillSmoothing * (float64(tokens) - state.prefillTokens)
	b.classes[r.Class] = state
}

// waitLimit is the longest expected wait with which a request is admitted. The zero value sets no limit.
type waitLimit struct {
	// mean is the limit for a request with the mean number of tokens to prefill, and longest that for any request.
	mean, longest time.Duration
	// meanTokens is the class's mean number of tokens to prefill, and speed the prefill speed in tokens per millisecond.
	meanTokens, speed float64
	// overload says how far the limit is reduced for short prefills, see refusalRate.overload.
	overload float64
}

// waitLimit returns the limit for a request. A wait at waitLimit.mean takes, with its margin, the allowed fraction of
// the first-byte target.
func (b *Placer) waitLimit(now time.Time, p *pool, r *annotatedRequest) waitLimit {
	if p.Engine == nil || r.Waited || r.claimed != nil || !b.lowestPriority(now, p, r) {
		return waitLimit{}
	}
	withMargin := func(fraction float64) time.Duration {
		return p.latency.withoutMargin(time.Duration(fraction * float64(r.FirstByte)))
	}
	return waitLimit{
		mean: withMargin(p.refusals.waitFraction(now, len(p.endpoints))), longest: withMargin(longPrefillWaitFraction),
		meanTokens: b.classes[r.Class].prefillTokens, speed: p.latency.prefillSpeed(), overload: p.refusals.overload(now),
	}
}

func (l waitLimit) isSet() bool { return l.mean > 0 }

// of returns the limit for a choice. A wait includes the request's own prefill, which is no backlog. Without a correction
// the requests with the most tokens to prefill would be refused whenever there is any backlog, and those whose shared
// parts are not cached even by idle engines. The limit therefore rises with the tokens beyond the class's mean, up to
// longest, and falls under overload for requests with fewer, which would otherwise take all of the capacity. It does not
// rise in the other partition, where a long prefill delays strict streams.
func (l waitLimit) of(c Choice) time.Duration {
	difference := milliseconds((float64(c.PrefillTokens) - l.meanTokens) / l.speed)
	switch {
	case difference < 0:
		return l.mean + time.Duration(l.overload*shortPrefillWeight*float64(difference))
	case c.OutsidePartition:
		return l.mean
	}
	return min(l.mean+difference, max(l.longest, l.mean))
}

// exceededBy reports whether a choice's wait is too long.
func (l waitLimit) exceededBy(c Choice) bool { return l.isSet() && c.Wait > l.of(c) }

// admit decides whether a request is admitted to the best endpoint. Under overload it refuses requests of the
// lowest-priority classes immediately when they cannot be served in time, because an engine whose backlog
// exceeds the targets serves no request in time.
func (b *Placer) admit(now time.Time, p *pool, r *annotatedRequest, best Choice, limit waitLimit) *Refusal {
	if p.Engine == nil {
		return nil
	}
	if !r.Waited {
		b.observePrefill(r.Request, best.PrefillTokens)
	}
	wait := p.latency.withMargin(best.Wait)
	if r.Remaining > 0 && wait > time.Duration(maxDeadlineFraction*float64(r.Remaining)) {
		return &Refusal{Reason: DeadlineUnreachable, RetryAfter: retryAfter(wait)}
	}
	if p.shares != nil && r.Workspace != 0 && !r.Waited && r.claimed == nil {
		return b.admitFairly(now, p, r, best, limit)
	}
	if !limit.isSet() {
		return nil
	}
	refused := limit.exceededBy(best) || best.Full
	p.refusals.record(now, refused)
	switch {
	case best.Full:
		return &Refusal{Reason: Full, RetryAfter: retryAfter(best.Wait - limit.of(best))}
	case refused:
		return &Refusal{Reason: Overload, RetryAfter: retryAfter(best.Wait - limit.of(best))}
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
	relaxed := min(overloadWaitFraction+variationWaitFraction/math.Sqrt(float64(max(n, 1))), maxWaitFraction)
	return relaxed - (relaxed-overloadWaitFraction)*r.overload(now)
}

// overload returns where the refusal rate is between lowRefusalRate (0) and highRefusalRate (1).
func (r *refusalRate) overload(now time.Time) float64 {
	r.decay(now)
	if r.total < 1 {
		return 0
	}
	return min(max((r.refused/r.total-lowRefusalRate)/(highRefusalRate-lowRefusalRate), 0), 1)
}

// classRetention is the time since the last request of a class for which it counts in lowestPriority.
const classRetention = 5 * time.Second

// lowestPriority reports whether a request's class has a first-byte target and no class of the pool that has had requests
// recently has a lower priority. Only such requests are refused for overload. The result is false for a strict class if the
// pool has other classes: it has engines of its own, so refusing its requests frees no capacity for others.
func (b *Placer) lowestPriority(now time.Time, p *pool, r *annotatedRequest) bool {
	if r.FirstByte <= 0 {
		return false
	}
	for class, state := range b.classes {
		if state.pool == p.Name && now.Sub(state.lastRequest) < classRetention && (state.tier > r.Tier || (r.strict && class != r.Class)) {
			return false
		}
	}
	return true
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
