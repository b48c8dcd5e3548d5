package tiered

import (
	"time"

	"github.com/chivewind/chivewind/policy"
)

const (
	// firstTokenQuantile and totalQuantile are the quantiles of the predicted times that a request
	// must have left to count as feasible. The first token is predicted well, the length is not.
	firstTokenQuantile = 0.95
	totalQuantile      = 0.75
	// maxPredictedPart is the largest part of a target that a prediction may claim. A request that
	// has just arrived can always start when a slot is free, so that a wrong prediction is corrected
	// by new measurements.
	maxPredictedPart = 0.75
	// defaultTarget orders requests of classes without a target for the start.
	defaultTarget = 10 * time.Minute
)

// schedule sets the times that follow from the class's targets and the request's deadline.
func (p *Policy) schedule(it *item) {
	c, r := it.class, it.req
	it.kept = r.ResumedTokens > 0 || r.WasPreempted || r.Suspect || len(r.Avoid) > 0
	it.late = c.Late
	switch {
	case it.kept || p.Off.Late:
		// Such a request has run in part; refusing it would waste that part.
		it.late = policy.LateServe
	case it.late == 0:
		it.late = policy.LateShed
	}
	it.latest = p.latestStart(it)
	it.expiry, it.demoteAt = never, never
	switch it.late {
	case policy.LateShed:
		it.expiry = it.latest
	case policy.LateDemote:
		it.demoteAt = it.latest
	}
	if r.Deadline > 0 {
		it.expiry = min(it.expiry, r.Deadline)
	}
	if c.MaxWait > 0 && !it.kept {
		it.expiry = min(it.expiry, r.Arrival+c.MaxWait)
	}
	it.admitBy = it.expiry
	if it.late != policy.LateShed && c.MaxWait == 0 && it.latest != never {
		bound := time.Duration(p.LateBound * float64(it.latest-r.Arrival))
		it.admitBy = min(it.admitBy, r.Arrival+bound)
	}
	if it.latest == never {
		it.latest = r.Arrival + defaultTarget
	}
	it.preemptAt = never
	if !p.Off.Preemption {
		it.preemptAt = it.latest - p.PreemptLead
	}
}

// latestStart returns the last time at which a start is expected to meet all targets, or never.
func (p *Policy) latestStart(it *item) time.Duration {
	c, r := it.class, it.req
	latest := never
	if c.FirstToken > 0 && r.ResumedTokens == 0 {
		latest = r.Arrival + c.FirstToken - part(it.series.FirstTokenQuantile(firstTokenQuantile), c.FirstToken)
	}
	if c.Total > 0 || r.Deadline > 0 {
		total := it.series.Total(totalQuantile, r.MaxTokens)
		if c.Total > 0 {
			latest = min(latest, r.Arrival+c.Total-part(total, c.Total))
		}
		if r.Deadline > 0 {
			latest = min(latest, r.Deadline-part(total, r.Deadline-r.Arrival))
		}
	}
	if latest == never && r.ResumedTokens > 0 && c.FirstToken > 0 {
		// The caller sees a pause in its stream for as long as this waits.
		latest = it.submittedAt + c.FirstToken
	}
	return latest
}

func part(predicted, target time.Duration) time.Duration {
	return min(predicted, time.Duration(maxPredictedPart*float64(target)))
}

// setTimer moves the request's timer to the next time at which something is due.
func (p *Policy) setTimer(it *item) {
	t := min(it.expiry, it.preemptAt)
	if !it.demoted {
		t = min(t, it.demoteAt)
	}
	if it.stranded > 0 {
		t = min(t, it.stranded)
	}
	it.timer = t
	switch {
	case t == never && it.index >= 0:
		p.timers.remove(it)
	case t == never:
	case it.index >= 0:
		p.timers.fix(it)
	default:
		p.timers.push(it)
	}
}

// runTimers sheds and demotes requests that are late, and collects those that may preempt.
func (p *Policy) runTimers(now time.Duration) {
	for len(p.timers) > 0 && p.timers[0].timer <= now {
		it := p.timers[0]
		switch {
		case it.expiry <= now:
			p.shed(now, it, policy.Expired)
			continue
		case it.stranded > 0 && it.stranded <= now:
			it.stranded = 0
			if !p.servable(it) {
				p.shed(now, it, policy.NoEndpoint)
				continue
			}
		case !it.demoted && it.demoteAt <= now:
			it.lane.take(it, false)
			it.demoted = true
			p.laneFor(it).add(it)
		case it.preemptAt <= now:
			it.preemptAt = never
			if !it.urgent {
				it.urgent = true
				it.class.urgent++
			}
			p.urgent = append(p.urgent, it.id)
		}
		p.setTimer(it)
	}
}

// servable says whether any endpoint that is not draining could run a request.
func (p *Policy) servable(it *item) bool {
	for _, e := range p.endpoints {
		if e.known && !e.Draining && p.eligible(it, e) {
			return true
		}
	}
	return false
}

// markStranded gives the requests of a lane that no endpoint can run a time to leave.
func (p *Policy) markStranded(now time.Duration) {
	for _, c := range p.classes {
		for _, l := range c.lanes {
			first := l.first()
			if first == nil {
				continue
			}
			ok := p.servable(first)
			l.each(func(it *item) {
				switch {
				case ok && it.stranded > 0:
					it.stranded = 0
					p.setTimer(it)
				case !ok && it.stranded == 0:
					it.stranded = now + p.NoEndpointWait
					p.setTimer(it)
				}
			})
		}
	}
}
