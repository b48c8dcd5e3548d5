package tiered

import (
	"time"

	"github.com/chivewind/chivewind/policy"
)

const (
	// trimInterval is the time between two checks of the queue against the predicted wait.
	trimInterval = 100 * time.Millisecond
	// trimBudget bounds the flows checked and the requests shed per trim and class, so that a decision stays short.
	trimBudget = 64
	// waitTolerance and waitMargin are how much a predicted wait may exceed what is left to a
	// request before it is shed early. Predictions of the mean are often too long by some part.
	waitTolerance = 1.25
	waitMargin    = 50 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound what a refused caller is told.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// sampledFlows is the number of flows among which the longest loses a request to the hard bound.
	sampledFlows = 8
)

// predictWait returns the expected wait behind a number of requests of the class and all that go
// before it: work ahead divided by the service rate. It is zero while nothing was measured.
func (p *Policy) predictWait(c *class, ahead float64) time.Duration {
	if p.capacity == 0 || float64(p.free) > ahead && p.waiting <= p.free {
		return 0
	}
	work := ahead * c.duration.Value()
	for _, o := range p.classes {
		if o == c || o.waiting == 0 {
			continue
		}
		all := float64(o.waiting) * o.duration.Value()
		switch {
		case o.tier() < c.tier():
			work += all
		case o.tier() == c.tier():
			// By slack, a class with a longer target mostly goes behind one with a shorter target.
			work += all * min(1, float64(c.target())/float64(o.target()))
		}
	}
	if p.free == 0 {
		work += c.duration.Value()
	}
	return time.Duration(work / float64(p.capacity) * float64(time.Second))
}

// target returns the class's shortest target for the start of a request.
func (c *class) target() time.Duration {
	t := defaultTarget
	for _, v := range [...]time.Duration{c.FirstToken, c.Total, c.MaxWait} {
		if v > 0 {
			t = min(t, v)
		}
	}
	return t
}

// admissible says whether the last request of a flow is expected to start while it is useful.
func (p *Policy) admissible(now time.Duration, it *item) bool {
	if p.Off.Admission || it.kept || it.admitBy == never {
		return true
	}
	c, f := it.class, it.flow
	// Between two requests of this workspace the others get their shares.
	ahead := min(float64(c.waiting-1), float64(f.waiting-1)*max(1, c.activeWeight/f.weight))
	allowed := waitTolerance*float64(it.admitBy-now) + float64(waitMargin)
	return float64(p.predictWait(c, ahead)) <= allowed
}

// admit sheds a request that has just been queued if its predicted wait is too long, and bounds the
// number of waiting requests.
func (p *Policy) admit(now time.Duration, it *item) {
	c := it.class
	if c.waiting > c.floorQueue() && (p.Off.Tiers || !p.lowerWaits(c.Tier, false)) && !p.admissible(now, it) {
		p.shed(now, it, policy.Overload)
		return
	}
	if p.waiting <= p.MaxWaiting {
		return
	}
	if victim := p.lowestVictim(it); victim != nil {
		p.shed(now, victim, policy.Overload)
	}
}

// lowestVictim returns the request that leaves when the queue has reached its hard bound: of the
// lowest tier with more waiting requests than belong to floors, the last one of a long flow.
func (p *Policy) lowestVictim(newest *item) *item {
	var lowest *class
	for _, c := range p.classes {
		if c.waiting <= c.floorQueue() {
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
		for range min(sampledFlows, len(l.heap)) {
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

// nextFlow returns the lane's flows one after the other.
func (l *lane) nextFlow() *flow {
	l.cursor++
	if l.cursor >= len(l.heap) {
		l.cursor = 0
	}
	return l.heap[l.cursor]
}

// trim sheds early what cannot start in time, from the lowest tier up.
func (p *Policy) trim(now time.Duration) {
	if p.Off.Admission || now < p.trimAt {
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
		if c.tier() == lowest && c.waiting > c.floorQueue() {
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
				if budget--; budget < 0 || c.waiting <= c.floorQueue() {
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

// shed refuses a waiting request.
func (p *Policy) shed(now time.Duration, it *item, reason policy.ShedReason) {
	if p.breaksTierRule(it, reason) {
		p.violations++
	}
	c := it.class
	c.shed++
	c.lastShed = now
	p.pending = append(p.pending, policy.Decision{
		Kind: policy.Shed, ID: it.id, Reason: reason, RetryAfter: p.retryAfter(c),
	})
	p.forget(it)
}

// retryAfter returns the time until the queue ahead of a new request of the class has been served.
func (p *Policy) retryAfter(c *class) time.Duration {
	return min(max(p.predictWait(c, float64(c.waiting)), minRetryAfter), maxRetryAfter)
}
