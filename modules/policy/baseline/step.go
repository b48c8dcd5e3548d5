package baseline

import (
	"slices"
	"time"

	"github.com/chivewind/chivewind/policy"
)

// Step implements policy.Policy.
func (p *Policy) Step(now time.Duration, dst []policy.Decision) ([]policy.Decision, time.Duration) {
	dst = p.expire(now, dst)
	for {
		it := p.head()
		if it == nil {
			break
		}
		e, eligible := p.choose(now, it.request)
		if e == nil && eligible {
			break
		}
		p.dequeue(it)
		if e == nil {
			dst = p.shed(dst, it, policy.NoEndpoint)
			continue
		}
		e.outstanding++
		it.endpoint = e
		p.running[it.request.ID] = it
		dst = append(dst, policy.Decision{Kind: policy.Grant, ID: it.request.ID, Endpoint: e.ID})
	}
	return dst, p.next(now)
}

// expire sheds requests that have waited for their class's MaxWait. It checks only the head of each
// queue: a retried request, which keeps its arrival, can delay the expiry of those behind it.
func (p *Policy) expire(now time.Duration, dst []policy.Decision) []policy.Decision {
	for _, name := range p.classNames {
		limit := p.classes[name].MaxWait
		if limit <= 0 {
			continue
		}
		q := p.queues[name]
		for it := q.head(); it != nil && now >= it.submitted+limit; it = q.head() {
			p.dequeue(it)
			dst = p.shed(dst, it, policy.Expired)
		}
	}
	return dst
}

func (p *Policy) shed(dst []policy.Decision, it *item, reason policy.ShedReason) []policy.Decision {
	p.shedCount[it.request.Class]++
	return append(dst, policy.Decision{
		Kind: policy.Shed, ID: it.request.ID, Reason: reason, RetryAfter: time.Second,
	})
}

func (p *Policy) dequeue(it *item) {
	p.queues[it.request.Class].remove(it)
	delete(p.waiting, it.request.ID)
}

// head returns the next request, or nil: the oldest, or with strict priority the oldest of the highest
// tier.
func (p *Policy) head() *item {
	var best *item
	bestTier := 0
	for _, name := range p.classNames {
		it := p.queues[name].head()
		if it == nil {
			continue
		}
		tier := 0
		if p.strict {
			tier = p.tier(name)
		}
		if best == nil || tier < bestTier || tier == bestTier && it.before(best) {
			best, bestTier = it, tier
		}
	}
	return best
}

func (p *Policy) tier(class string) int {
	if c, ok := p.classes[class]; ok {
		return c.Tier
	}
	return lowestTier
}

// choose returns an endpoint with a free slot for r, or nil. The result eligible says whether any
// endpoint could run r, so that r may wait for it. Endpoints in r.Avoid are used only if no other
// endpoint can run r.
func (p *Policy) choose(now time.Duration, r *policy.Request) (best *endpoint, eligible bool) {
	allAvoided := !slices.ContainsFunc(p.endpoints, func(e *endpoint) bool {
		return e.canRun(r) && !slices.Contains(r.Avoid, e.ID)
	})
	n := len(p.endpoints)
	for i := range n {
		e := p.endpoints[(p.rotation+i)%n]
		if !e.canRun(r) || !allAvoided && slices.Contains(r.Avoid, e.ID) {
			continue
		}
		eligible = true
		if e.outstanding >= e.MaxSlots || now < e.cooldownUntil {
			continue
		}
		if best == nil || !p.roundRobin && e.outstanding < best.outstanding {
			best = e
		}
		if p.roundRobin {
			break
		}
	}
	if best != nil {
		p.rotation = (slices.Index(p.endpoints, best) + 1) % n
	}
	return best, eligible
}

func (e *endpoint) canRun(r *policy.Request) bool {
	return !e.Draining &&
		(r.Model == "" || e.Model == r.Model) &&
		(r.Adapter == "" || slices.Contains(e.Adapters, r.Adapter))
}

// next returns the time of the next expiry or end of a cooldown, zero for none.
func (p *Policy) next(now time.Duration) time.Duration {
	var next time.Duration
	earliest := func(t time.Duration) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}
	for _, name := range p.classNames {
		if it := p.queues[name].head(); it != nil && p.classes[name].MaxWait > 0 {
			earliest(it.submitted + p.classes[name].MaxWait)
		}
	}
	if len(p.waiting) > 0 {
		for _, e := range p.endpoints {
			earliest(e.cooldownUntil)
		}
	}
	return next
}
