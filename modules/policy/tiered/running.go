package tiered

import (
	"time"

	"github.com/chivewind/chivewind/policy"
)

// start counts a request as running.
func (p *Policy) start(now time.Duration, it *item, e *endpoint) {
	c := it.class
	it.endpoint, it.grantedAt = e, now
	c.running++
	it.next = c.runningHead
	if it.next != nil {
		it.next.prev = it
	}
	c.runningHead = it
	e.running++
	if it.req.Suspect {
		e.suspects++
	}
	e.pace.want(c.BetweenTokens)
	e.load.event(now, 1)
}

// stop counts a running request as ended and forgets it.
func (p *Policy) stop(now time.Duration, it *item, outcome policy.Outcome) {
	e, c := it.endpoint, it.class
	c.running--
	switch {
	case it.prev != nil:
		it.prev.next = it.next
	default:
		c.runningHead = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	}
	if it.preempting {
		c.preempting--
		p.preempting--
	}
	e.running--
	if it.req.Suspect {
		e.suspects--
	}
	if it.firstAt > 0 {
		e.health.Ended()
	} else {
		// A short answer may end before its first token was reported.
		p.endPrefill(now, it, outcome == policy.Completed)
	}
	e.load.event(now, -1)
	p.freeItem(it)
	if !e.known && e.running == 0 {
		p.dropEndpoints()
	}
	if !c.current && c.running == 0 && c.waiting == 0 {
		p.unused = true
	}
}

// Progress implements policy.Policy.
func (p *Policy) Progress(now time.Duration, id policy.AttemptID, tokens int, firstToken time.Duration) {
	it := p.items[id]
	if it == nil || it.endpoint == nil || firstToken <= 0 && it.firstAt == 0 {
		return
	}
	e := it.endpoint
	if it.firstAt == 0 {
		it.firstAt = max(1, it.grantedAt+firstToken)
		it.progressAt = max(it.progressAt, it.firstAt)
		it.tokens = max(it.tokens, 1)
		if it.tokens == 1 && tokens > it.req.ResumedTokens {
			// The tokens that the caller already had were not generated now.
			it.tokens += it.req.ResumedTokens
		}
		it.series.FirstToken(firstToken)
		if it.backlog < idleBacklog && it.uncached > 0 {
			p.prefill.add(it.uncached, firstToken)
		}
		p.endPrefill(now, it, true)
		e.health.FirstToken(now)
	}
	more, spent := tokens-it.tokens, now-it.progressAt
	if more < 0 || spent <= 0 {
		return
	}
	e.health.Progress(now, more, now-max(it.checkedAt, it.progressAt))
	it.checkedAt = now
	if more == 0 {
		return // The pause counts for the next tokens.
	}
	it.series.Between(spent / time.Duration(more))
	e.pace.spent += spent
	e.pace.tokens += more
	e.pace.want(it.class.BetweenTokens)
	it.tokens, it.progressAt = tokens, now
}

// Finish implements policy.Policy.
func (p *Policy) Finish(now time.Duration, id policy.AttemptID, outcome policy.Outcome, tokens int) {
	it := p.items[id]
	if it == nil {
		return
	}
	if it.endpoint == nil {
		p.forget(it)
		return
	}
	e, ran := it.endpoint, now-it.grantedAt
	switch outcome {
	case policy.Completed:
		it.series.Finished(max(tokens, it.tokens), ran)
		it.class.duration.Add(ran.Seconds())
		p.health.Succeeded(now, e.health)
	case policy.Crashed:
		p.health.Crashed(now, e.health)
	case policy.Failed, policy.NotSent:
		p.health.Failed(now, e.health)
	case policy.Refused:
		// The endpoint has fewer slots than assumed.
		e.backoffUntil = now + refusedBackoff
		p.wakeAt = e.backoffUntil
		e.pace.limit = max(float64(e.MinSlots), min(e.pace.limit, float64(e.running-1)))
		e.pace.tuned = true
	}
	p.stop(now, it, outcome)
}

// Cancel implements policy.Policy.
func (p *Policy) Cancel(now time.Duration, id policy.AttemptID) {
	p.Finish(now, id, policy.Canceled, 0)
}

// forget removes a waiting request.
func (p *Policy) forget(it *item) {
	c := it.class
	it.lane.take(it, false)
	p.freeItem(it)
	if !c.current && c.running == 0 && c.waiting == 0 {
		p.unused = true
	}
}
