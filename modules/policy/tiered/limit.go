package tiered

import (
	"time"

	"github.com/chivewind/chivewind/internal/health"
)

const (
	// targetFraction is the fraction of the target that the mean time between tokens may reach. It is
	// below 1 because the target applies to the slow tail of the distribution, not to the mean.
	targetFraction = 0.9
	// maxGrowthFactor is the largest factor by which the limit grows per interval after slow start.
	maxGrowthFactor = 2
	// slowStartFactor is the factor by which the limit grows per interval during slow start, which lasts until
	// it is first reduced.
	slowStartFactor = 1.5
)

// slotLimiter adapts an endpoint's number of slots. It compares the mean time between tokens in the
// current interval with the strictest target among the running attempts.
type slotLimiter struct {
	// limit is the number of slots; slots rounds it down.
	limit float64
	// slowStartDone says that the limit was reduced at least once. From then on it grows by at least
	// one slot per interval instead of by slowStartFactor.
	slowStartDone bool
	nextUpdate    time.Duration
	// measured says that a time between tokens was known in some interval. Without one, as with
	// endpoints that stream no tokens (plain services), the slots grow while they are all in use.
	measured bool
	// streamTime is the total time that the attempts took for the tokens of this interval.
	streamTime time.Duration
	tokens     int
	// target is the strictest target for the time between tokens in the interval, zero for none.
	target time.Duration
	// saturated says that all slots were in use at some point in the interval.
	saturated bool
	// reportedBetween is the time between tokens in the last load report of the interval, zero for none.
	reportedBetween time.Duration
	// queuedReports counts consecutive load reports with requests queued inside the endpoint.
	queuedReports int
}

func (l *slotLimiter) tightenTarget(target time.Duration) {
	if target > 0 && (l.target == 0 || target < l.target) {
		l.target = target
	}
}

// slots returns the number of attempts that may run on an endpoint at once: one while it is probed, and
// otherwise the limit, of which only a share applies while the endpoint recovers from an ejection. If no
// class has a target for the time between tokens, the endpoint's maximum replaces the limit.
func (p *Policy) slots(e *endpoint) int {
	if !p.Disabled.Health && e.health.State() == health.Probing {
		return 1
	}
	slots := float64(e.MaxSlots)
	if !p.Disabled.Limits && p.hasInterTokenTarget {
		slots = e.limiter.limit
	}
	if !p.Disabled.Health {
		slots *= e.health.Share()
	}
	return max(1, int(slots))
}

// raiseLimit raises an endpoint's limit to at least the number of running attempts. After a change of
// schedulers, the resumed attempts show the limit that the previous scheduler had reached.
func (p *Policy) raiseLimit(e *endpoint) {
	e.limiter.limit = min(max(e.limiter.limit, float64(e.running)), float64(e.MaxSlots))
}

// updateLimit changes an endpoint's limit once per interval. The limit grows when all slots were in use
// and tokens met the target: by slowStartFactor during slow start, then by at least one slot. It shrinks
// by a factor when tokens were too slow or at least two consecutive load reports showed requests queued
// inside the endpoint.
func (p *Policy) updateLimit(now time.Duration, e *endpoint) {
	l := &e.limiter
	if now < l.nextUpdate {
		return
	}
	between := l.reportedBetween
	if l.tokens > 0 {
		between = l.streamTime / time.Duration(l.tokens)
	}
	l.measured = l.measured || between > 0
	allowed := time.Duration(targetFraction * float64(l.target))
	switch {
	case l.target > 0 && between > allowed || l.queuedReports >= 2:
		// While more attempts run than the limit allows, an earlier reduction has not yet taken effect.
		if e.running <= int(l.limit) {
			factor := p.LimitDecrease
			if l.queuedReports < 2 {
				factor = max(factor, float64(allowed)/float64(between))
			}
			l.limit = factor * min(l.limit, float64(max(1, e.running)))
			l.slowStartDone = true
		}
	case l.measured && between == 0:
		// There was no measurement in this interval.
	case l.saturated && l.slowStartDone:
		// One more slot when the time between tokens is near the target, and up to maxGrowthFactor when
		// it is far below, so that an endpoint recovers within seconds after other load has ended.
		growth := l.limit * (min(maxGrowthFactor, float64(allowed)/float64(max(between, 1))) - 1)
		l.limit += max(1, growth)
	case l.saturated:
		l.limit *= slowStartFactor
	}
	l.limit = min(max(l.limit, float64(e.MinSlots)), float64(e.MaxSlots))
	l.nextUpdate = now + p.LimitInterval
	l.streamTime, l.tokens, l.target, l.reportedBetween, l.saturated = 0, 0, 0, 0, false
}
