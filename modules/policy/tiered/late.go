package tiered

import (
	"time"

	"github.com/chivewind/chivewind/policy"
)

const (
	// A request is feasible if the time left to its targets is at least these quantiles of the predicted
	// time to the first token and of the predicted total time. The second is lower because the time to the
	// first token is predicted well, while the length of an answer is hard to predict.
	firstTokenQuantile = 0.95
	totalQuantile      = 0.75
	// maxPredictedFraction caps a prediction at this fraction of its target, so that a request that has
	// just arrived is always feasible when a slot is free. Its measurements then correct a prediction
	// that was too long.
	maxPredictedFraction = 0.75
	// defaultStartTarget is the start target by which requests without a target of their own are ordered.
	defaultStartTarget = 10 * time.Minute
)

// setDeadlines sets the times that follow from the class's targets and the request's own deadline:
// latestStart, expiry, demoteAt, admitBy and preemptAt.
func (p *Policy) setDeadlines(it *item) {
	c, r := it.class, it.req
	// These requests have had an earlier attempt, and shedding them would waste the work done for it.
	it.admissionExempt = r.ResumedTokens > 0 || r.WasPreempted || r.Suspect || len(r.Avoid) > 0
	it.lateAction = c.Late
	switch {
	case it.admissionExempt || p.Disabled.Late:
		it.lateAction = policy.LateServe
	case it.lateAction == 0:
		it.lateAction = policy.LateShed
	}
	it.latestStart = p.latestStart(it)
	it.expiry, it.demoteAt = never, never
	switch it.lateAction {
	case policy.LateShed:
		it.expiry = it.latestStart
	case policy.LateDemote:
		it.demoteAt = it.latestStart
	}
	if r.Deadline > 0 {
		it.expiry = min(it.expiry, r.Deadline)
	}
	if c.MaxWait > 0 && !it.admissionExempt {
		it.expiry = min(it.expiry, r.Arrival+c.MaxWait)
	}
	it.admitBy = it.expiry
	if it.lateAction != policy.LateShed && c.MaxWait == 0 && it.latestStart != never {
		bound := time.Duration(p.LateBound * float64(it.latestStart-r.Arrival))
		it.admitBy = min(it.admitBy, r.Arrival+bound)
	}
	if it.latestStart == never {
		it.latestStart = r.Arrival + defaultStartTarget
	}
	it.preemptAt = never
	if !p.Disabled.Preemption {
		it.preemptAt = it.latestStart - p.PreemptLead
	}
}

// latestStart returns the latest start that is expected to meet all targets, or never if no target applies.
func (p *Policy) latestStart(it *item) time.Duration {
	c, r := it.class, it.req
	latest := never
	if c.FirstToken > 0 && r.ResumedTokens == 0 {
		latest = r.Arrival + c.FirstToken - capPrediction(it.series.FirstTokenQuantile(firstTokenQuantile), c.FirstToken)
	}
	if c.Total > 0 || r.Deadline > 0 {
		total := it.series.DurationQuantile(totalQuantile, r.MaxTokens)
		if c.Total > 0 {
			latest = min(latest, r.Arrival+c.Total-capPrediction(total, c.Total))
		}
		if r.Deadline > 0 {
			latest = min(latest, r.Deadline-capPrediction(total, r.Deadline-r.Arrival))
		}
	}
	if latest == never && r.ResumedTokens > 0 && c.FirstToken > 0 {
		// The caller's stream stalls while the request waits, so the target applies to this wait.
		latest = it.submittedAt + c.FirstToken
	}
	return latest
}

func capPrediction(predicted, target time.Duration) time.Duration {
	return min(predicted, time.Duration(maxPredictedFraction*float64(target)))
}

// setTimer sets the request's timer to the earliest of its pending deadlines, or removes it.
func (p *Policy) setTimer(it *item) {
	t := min(it.expiry, it.preemptAt)
	if !it.demoted {
		t = min(t, it.demoteAt)
	}
	if it.noEndpointExpiry > 0 {
		t = min(t, it.noEndpointExpiry)
	}
	it.timerAt = t
	switch {
	case t == never && it.heapIndex >= 0:
		p.timers.remove(it)
	case t == never:
	case it.heapIndex >= 0:
		p.timers.fix(it)
	default:
		p.timers.push(it)
	}
}

// runTimers handles the requests whose timers are due: it sheds those that have expired or that no
// endpoint can run, demotes those that are late, and collects those that may preempt.
func (p *Policy) runTimers(now time.Duration) {
	for len(p.timers) > 0 && p.timers[0].timerAt <= now {
		it := p.timers[0]
		switch {
		case it.expiry <= now:
			p.shed(now, it, policy.Expired)
			continue
		case it.noEndpointExpiry > 0 && it.noEndpointExpiry <= now:
			it.noEndpointExpiry = 0
			if !p.servable(it) {
				p.shed(now, it, policy.NoEndpoint)
				continue
			}
		case !it.demoted && it.demoteAt <= now:
			it.lane.remove(it, false)
			it.demoted = true
			p.laneFor(it).add(it)
		case it.preemptAt <= now:
			it.preemptAt = never
			if !it.urgent {
				it.urgent = true
				it.class.urgentCount++
			}
			p.preemptCandidates = append(p.preemptCandidates, it.id)
		}
		p.setTimer(it)
	}
}

// servable reports whether an endpoint that is not draining could run a request.
func (p *Policy) servable(it *item) bool {
	for _, e := range p.endpoints {
		if e.configured && !e.Draining && p.eligible(it, e) {
			return true
		}
	}
	return false
}

// updateNoEndpointExpiry sets noEndpointExpiry for waiting requests that no endpoint can run, and clears
// it for the others. All requests of a lane share the result for the first one.
func (p *Policy) updateNoEndpointExpiry(now time.Duration) {
	for _, c := range p.classes {
		for _, l := range c.lanes {
			first := l.first()
			if first == nil {
				continue
			}
			ok := p.servable(first)
			l.forEach(func(it *item) {
				switch {
				case ok && it.noEndpointExpiry > 0:
					it.noEndpointExpiry = 0
					p.setTimer(it)
				case !ok && it.noEndpointExpiry == 0:
					it.noEndpointExpiry = now + p.NoEndpointWait
					p.setTimer(it)
				}
			})
		}
	}
}
