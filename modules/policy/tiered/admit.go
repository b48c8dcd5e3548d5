package tiered

import (
	"time"

	"github.com/chivewind/chivewind/policy"
)

const (
	// trimInterval is the time between two checks of the queue against the predicted wait.
	trimInterval = 100 * time.Millisecond
	// trimBudget bounds the flows checked and the requests shed per trim and class, and so the time
	// that a trim adds to a step.
	trimBudget = 64
	// waitTolerance and waitMargin are the factor and the time by which a predicted wait may exceed
	// the time left to a request before it is shed early, because predictions from mean durations
	// often overestimate the wait.
	waitTolerance = 1.25
	waitMargin    = 50 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry time that a refused caller receives.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// overflowSampleFlows is the number of flows per lane that are compared to find a long one when the
	// queue has reached its hard bound.
	overflowSampleFlows = 8
)

// predictWait returns the expected wait of a request of c that has the given number of the class's
// requests ahead of it: the work ahead, including that of classes that go first, divided by the number
// of slots. It is zero if there are enough free slots, no slots at all, or no measured durations yet.
func (p *Policy) predictWait(c *class, ahead float64) time.Duration {
	if p.totalSlots == 0 || float64(p.freeSlots) > ahead && p.waiting <= p.freeSlots {
		return 0
	}
	// work is the predicted work ahead in slot-seconds.
	work := ahead * c.durationSeconds.Value()
	for _, o := range p.classes {
		if o == c || o.waiting == 0 {
			continue
		}
		queued := float64(o.waiting) * o.durationSeconds.Value()
		switch {
		case o.tier() < c.tier():
			work += queued
		case o.tier() == c.tier():
			// The slack order mostly puts a class with a longer target behind one with a shorter target.
			work += queued * min(1, float64(c.startTarget())/float64(o.startTarget()))
		}
	}
	if p.freeSlots == 0 {
		work += c.durationSeconds.Value()
	}
	return time.Duration(work / float64(p.totalSlots) * float64(time.Second))
}

// startTarget returns the shortest of the times within which a request of the class must start, which are its
// targets for the first token and the total time and MaxWait. It is at most defaultStartTarget.
func (c *class) startTarget() time.Duration {
	t := defaultStartTarget
	for _, v := range [...]time.Duration{c.FirstToken, c.Total, c.MaxWait} {
		if v > 0 {
			t = min(t, v)
		}
	}
	return t
}

// admissible reports whether a request, the last of its flow, is expected to start by its admitBy time, with
// the tolerance given by waitTolerance and waitMargin.
func (p *Policy) admissible(now time.Duration, it *item) bool {
	if p.Disabled.Admission || it.admissionExempt || it.admitBy == never {
		return true
	}
	c, f := it.class, it.flow
	// Between two requests of this workspace, the other workspaces are served by their weights.
	ahead := min(float64(c.waiting-1), float64(f.waiting-1)*max(1, c.activeWeight/f.weight))
	allowed := waitTolerance*float64(it.admitBy-now) + float64(waitMargin)
	return float64(p.predictWait(c, ahead)) <= allowed
}

// admit sheds a request that has just been queued if its predicted wait is too long. It also sheds a
// request when the number of waiting requests exceeds its hard bound.
func (p *Policy) admit(now time.Duration, it *item) {
	c := it.class
	if c.waiting > c.floorProtected() && (p.Disabled.Tiers || !p.lowerTierWaits(c.Tier, false)) && !p.admissible(now, it) {
		p.shed(now, it, policy.Overload)
		return
	}
	if p.waiting <= p.MaxWaiting {
		return
	}
	if victim := p.overflowVictim(it); victim != nil {
		p.shed(now, victim, policy.Overload)
	}
}

// overflowVictim returns the request to shed when the queue has reached its hard bound: the last request
// of a long flow of a class that has more waiting requests than its floor protects. Of several such
// classes it is the one of the lowest tier, within a tier the one with the most waiting requests. If its
// tier is higher than the newest request's, or there is no such class, the newest request is shed.
func (p *Policy) overflowVictim(newest *item) *item {
	var lowest *class
	for _, c := range p.classes {
		if c.waiting <= c.floorProtected() {
			continue
		}
		if lowest == nil || c.tier() > lowest.tier() || c.tier() == lowest.tier() && c.waiting > lowest.waiting {
			lowest = c
		}
	}
	if lowest == nil || lowest.tier() < newest.class.tier() {
		return newest
	}
	var longest *flow
	for _, l := range lowest.lanes {
		for range min(overflowSampleFlows, len(l.heap)) {
			f := l.nextFlow()
			if f.waiting > 0 && (longest == nil || f.waiting > longest.waiting) {
				longest = f
			}
		}
	}
	if longest == nil {
		return newest
	}
	return longest.tail
}

// nextFlow returns the lane's flows in rotation.
func (l *lane) nextFlow() *flow {
	l.cursor++
	if l.cursor >= len(l.heap) {
		l.cursor = 0
	}
	return l.heap[l.cursor]
}

// trim sheds early the requests of the lowest tier with waiting requests that are not expected to start
// in time.
func (p *Policy) trim(now time.Duration) {
	if p.Disabled.Admission || now < p.trimAt {
		return
	}
	p.trimAt = now + trimInterval
	lowest := 0
	for _, c := range p.classes {
		if c.waiting > 0 {
			lowest = max(lowest, c.tier())
		}
	}
	for _, c := range p.classes {
		if c.tier() == lowest && c.waiting > c.floorProtected() {
			p.trimClass(now, c)
		}
	}
}

func (p *Policy) trimClass(now time.Duration, c *class) {
	budget := trimBudget
	for i := len(c.lanes) - 1; i >= 0 && budget > 0; i-- {
		l := c.lanes[i]
		for flows := len(l.heap); flows > 0 && l.waiting > 0; flows-- {
			f := l.nextFlow()
			for f.tail != nil && !p.admissible(now, f.tail) {
				if budget--; budget < 0 || c.waiting <= c.floorProtected() {
					return
				}
				p.shed(now, f.tail, policy.Overload)
			}
			if budget--; budget < 0 {
				return
			}
		}
	}
}

// shed removes a waiting request and adds a Shed decision.
func (p *Policy) shed(now time.Duration, it *item, reason policy.ShedReason) {
	if p.violatesTierRule(it, reason) {
		p.tierViolations++
	}
	c := it.class
	c.shedCount++
	c.lastShed = now
	p.pendingDecisions = append(p.pendingDecisions, policy.Decision{
		Kind: policy.Shed, ID: it.id, Reason: reason, RetryAfter: p.retryAfter(c),
	})
	p.removeWaiting(it)
}

// retryAfter returns the expected time until the queue ahead of a new request of the class has been
// served, within minRetryAfter and maxRetryAfter.
func (p *Policy) retryAfter(c *class) time.Duration {
	return min(max(p.predictWait(c, float64(c.waiting)), minRetryAfter), maxRetryAfter)
}
