package placement

import (
	"math"
	"time"
)

const (
	// maxReturns is the number of refused requests that are remembered until they return.
	maxReturns = 4096
	// earlySlack is how much earlier than told a caller may return.
	earlySlack = 50 * time.Millisecond
	// maxEarlyReturns is the number of returns before the told time from which a request is placed only after all others:
	// new work of others goes before the third immediate retry of one caller.
	maxEarlyReturns = 3
	// admittedHalfLife is the time in which the weight of past admissions halves.
	admittedHalfLife = 2 * time.Second
	// initialReturnGap is the time between two returns until admissions have been observed.
	initialReturnGap = 50 * time.Millisecond
)

// returnKind says when a request returned.
type returnKind uint8

const (
	// notRefused requests have not been refused lately.
	notRefused returnKind = iota
	// onTime requests return when they were told to, early ones before that, and impatient ones early for the
	// maxEarlyReturns-th time or more in a row.
	onTime
	early
	impatient
)

// adjust returns the standing with which a request is decided: impatient requests count as above their workspace's share.
func (k returnKind) adjust(s standing, scarce bool) standing {
	if k == impatient && scarce {
		return aboveShare
	}
	return s
}

// refusedRequest is a request that was refused and told when to return.
type refusedRequest struct {
	told  time.Time
	early int
}

// returnQueue spreads the returns of refused requests over the time in which a pool can admit them, in the order in which
// they were refused.
type returnQueue struct {
	requests map[uint64]*refusedRequest
	// order holds the keys of the requests, oldest first, as a ring from index oldest.
	order  []uint64
	oldest int
	// last is the latest time that a request was told.
	last time.Time
	// admissions is the decayed number of admitted requests, updated at the time updated.
	admissions float64
	updated    time.Time
}

func newReturnQueue() returnQueue { return returnQueue{requests: map[uint64]*refusedRequest{}} }

// returns reports whether a request was refused before and when it was told to return.
func (q *returnQueue) returns(now time.Time, r *Request) returnKind {
	key, ok := r.Chain.claimKey()
	known := q.requests[key]
	if !ok || known == nil {
		return notRefused
	}
	if !now.Before(known.told.Add(-earlySlack)) {
		known.early = 0
		return onTime
	}
	if known.early++; known.early >= maxEarlyReturns {
		return impatient
	}
	return early
}

func (q *returnQueue) decay(now time.Time) {
	q.admissions *= math.Exp2(-float64(now.Sub(q.updated)) / float64(admittedHalfLife))
	q.updated = now
}

// admitted records an admission.
func (q *returnQueue) admitted(now time.Time, r *Request) {
	q.decay(now)
	q.admissions++
	if key, ok := r.Chain.claimKey(); ok {
		delete(q.requests, key)
	}
}

// refuse returns the time after which a refused request may be retried, at least excess. A request that returned early
// keeps the time that it was told; others get the next one that is free.
func (q *returnQueue) refuse(now time.Time, r *Request, excess time.Duration) time.Duration {
	key, ok := r.Chain.claimKey()
	known := q.requests[key]
	if ok && known != nil && now.Before(known.told) {
		return retryAfter(known.told.Sub(now))
	}
	q.decay(now)
	gap := initialReturnGap
	if rate := q.admissions * math.Ln2 / admittedHalfLife.Seconds(); rate > 0 {
		gap = min(time.Duration(float64(time.Second)/rate), maxRetryAfter)
	}
	first := now.Add(retryAfter(excess))
	if q.last.Before(first) {
		q.last = first
	} else if q.last = q.last.Add(gap); q.last.After(now.Add(maxRetryAfter)) {
		q.last = now.Add(maxRetryAfter)
	}
	if ok {
		q.remember(key, q.last)
	}
	return retryAfter(q.last.Sub(now))
}

// remember stores a refused request in place of the oldest one.
func (q *returnQueue) remember(key uint64, told time.Time) {
	if known := q.requests[key]; known != nil {
		known.told = told
		return
	}
	q.requests[key] = &refusedRequest{told: told}
	if len(q.order) < maxReturns {
		q.order = append(q.order, key)
		return
	}
	delete(q.requests, q.order[q.oldest])
	q.order[q.oldest] = key
	q.oldest = (q.oldest + 1) % maxReturns
}
