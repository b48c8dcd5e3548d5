package placement

import (
	"maps"
	"math"
	"time"
)

const (
	// MaxPause is the longest pause of an endpoint that is kept. A longer one is cut, because it may be an error.
	MaxPause = 5 * time.Minute
	// pauseRetention is how long after its end a pause limits the requests in progress on an endpoint.
	pauseRetention = time.Minute
	// minLimitDoubling is the time in which the limit doubles after a pause. It doubles itself, up to
	// maxLimitDoubling, with each pause of an endpoint that has answered requests since the one before: the endpoint
	// rejects requests because it has too many, and not for a reason that has gone.
	minLimitDoubling = time.Second
	maxLimitDoubling = 16 * time.Second
)

// pauses tracks the endpoints that rejected a request and asked this daemon to send no more for a time. They concern
// only the requests that this daemon sends, and not those that it places for others.
//
// After its pause an endpoint gets one request at a time until it has begun to answer one, and then no more at a time
// than it had when it rejected one. Otherwise the requests that were kept from it would arrive together, be rejected
// too and lead to the next pause.
type pauses map[uint32]*pause

type pause struct {
	until time.Time
	// probing is set while the first request after the pause is in progress, and answered when there has been an answer.
	probing  bool
	answered bool
	// limit is the number of this daemon's requests that were in progress when the endpoint rejected one, at least 1.
	// It doubles every doubling.
	limit    int
	doubling time.Duration
}

// limitAt returns the number of requests that may be in progress at a time after the pause.
func (p *pause) limitAt(now time.Time) int {
	const maxDoublings = 16 // no endpoint has more requests in progress than 1<<maxDoublings
	doublings := min(float64(now.Sub(p.until))/float64(p.doubling), maxDoublings)
	return int(float64(p.limit) * math.Exp2(doublings))
}

// add starts a pause or extends the one in progress. It returns false if that one lasts longer.
func (p pauses) add(now time.Time, hash uint32, running int, d time.Duration) bool {
	maps.DeleteFunc(p, func(_ uint32, known *pause) bool { return now.Sub(known.until) > pauseRetention })
	until := now.Add(min(d, MaxPause))
	known := p[hash]
	if known != nil && now.Before(known.until) {
		if !until.After(known.until) {
			return false
		}
		known.until = until
		return true
	}
	next := &pause{until: until, limit: max(running, 1), doubling: minLimitDoubling}
	switch {
	case known != nil && known.answered:
		next.doubling = min(2*known.doubling, maxLimitDoubling)
	case known != nil:
		// A single request is no measure of what the endpoint can run.
		next.limit, next.doubling = known.limit, known.doubling
	}
	p[hash] = next
	return true
}

// pauseExcludes reports whether an endpoint must get no request of this daemon now.
func (b *Placer) pauseExcludes(now time.Time, e *endpoint) bool {
	known := b.pauses[e.hash]
	switch {
	case known == nil || now.Sub(known.until) > pauseRetention:
		return false
	case now.Before(known.until):
		return true
	case b.pacer != nil:
		// The limit after the pause is the endpoint's pace.
		return false
	case !known.answered:
		return known.probing
	}
	return e.own.streams >= known.limitAt(now)
}

// started records that a request is sent to an endpoint. It returns true if the endpoint has answered none since its
// pause.
func (p pauses) started(hash uint32) bool {
	known := p[hash]
	if known == nil || known.answered {
		return false
	}
	known.probing = true
	return true
}

// accepted records that an endpoint has begun to answer a request.
func (p pauses) accepted(now time.Time, hash uint32) {
	if known := p[hash]; known != nil && !now.Before(known.until) {
		known.answered = true
	}
}

// probeEnded records the end of a request for which started returned true.
func (p pauses) probeEnded(hash uint32) {
	if known := p[hash]; known != nil {
		known.probing = false
	}
}

// Pause records that an endpoint rejected a request in progress and asked this daemon to send no more for a time, of
// which at most MaxPause counts. It returns false if the endpoint has asked for a longer pause before.
func (b *Placer) Pause(now time.Time, hash uint32, d time.Duration) bool {
	running := 0
	if e := b.byHash[hash]; e != nil {
		running = e.own.streams - 1
		b.pacer.begin(now, hash, float64(running))
	}
	return b.pauses.add(now, hash, running, d)
}

// AppendPaused appends the hashes of the pool's endpoints that must get no requests of this daemon now because of a
// pause.
func (b *Placer) AppendPaused(hashes []uint32, now time.Time, poolName string) []uint32 {
	if p := b.pools[poolName]; p != nil && len(b.pauses) > 0 {
		for _, e := range p.endpoints {
			if b.pauseExcludes(now, e) {
				hashes = append(hashes, e.hash)
			}
		}
	}
	return hashes
}

// PauseEnd returns the earliest end of the pauses because of which endpoints of the pool get no requests of this
// daemon. It may have passed. The time is zero if there is no such endpoint.
func (b *Placer) PauseEnd(now time.Time, poolName string) time.Time {
	var end time.Time
	for _, hash := range b.AppendPaused(nil, now, poolName) {
		if until := b.pauses[hash].until; end.IsZero() || until.Before(end) {
			end = until
		}
	}
	return end
}
