package tiered

import (
	"time"

	"github.com/chivewind/chivewind/internal/health"
)

const (
	// limitMargin is the part of the target that the mean time between tokens may reach, because
	// the target applies to the slow part of the distribution.
	limitMargin = 0.9
	// maxGrowth is the largest growth of the slots per interval after that.
	maxGrowth = 2
	// slowStart is the growth of the slots per interval until tokens first arrive too slowly.
	slowStart = 1.5
)

// pace holds what an endpoint's number of slots follows from: the mean time between tokens of the
// current interval against the strictest target that is running.
type pace struct {
	limit float64
	// tuned says that the limit was reduced once, so that it grows by one slot per interval.
	tuned  bool
	tickAt time.Duration
	// measured says that the time between tokens was ever known. Without it, as with plain services,
	// the slots grow while they are all in use.
	measured bool
	// spent and tokens accumulate the progress of the interval.
	spent  time.Duration
	tokens int
	// target is the strictest target that was running in the interval.
	target time.Duration
	// busy says that all slots were in use at some time in the interval.
	busy bool
	// reported is the endpoint's own value of the time between tokens.
	reported time.Duration
	// queued counts consecutive load reports with requests waiting inside the endpoint.
	queued int
}

func (l *pace) want(target time.Duration) {
	if target > 0 && (l.target == 0 || target < l.target) {
		l.target = target
	}
}

// slots returns the number of attempts that may run at once.
func (p *Policy) slots(e *endpoint) int {
	if !p.Off.Health && e.health.State() == health.Trial {
		return 1
	}
	slots := float64(e.MaxSlots)
	if !p.Off.Limits && p.paced {
		slots = e.pace.limit
	}
	if !p.Off.Health {
		slots *= e.health.Share()
	}
	return max(1, int(slots))
}

// raiseLimit gives an endpoint at least the slots that it uses. After a change of schedulers the
// resumed attempts show how many slots the last scheduler had found.
func (p *Policy) raiseLimit(e *endpoint) {
	e.pace.limit = min(max(e.pace.limit, float64(e.running)), float64(e.MaxSlots))
}

// tickLimit changes an endpoint's slots once per interval: up, by at least one, when they were all in
// use and tokens arrived in time, in proportion down when tokens arrived too slowly.
func (p *Policy) tickLimit(now time.Duration, e *endpoint) {
	l := &e.pace
	if now < l.tickAt {
		return
	}
	between := l.reported
	if l.tokens > 0 {
		between = l.spent / time.Duration(l.tokens)
	}
	l.measured = l.measured || between > 0
	allowed := time.Duration(limitMargin * float64(l.target))
	switch {
	case l.target > 0 && between > allowed || l.queued >= 2:
		// An endpoint that still has more attempts than slots has not yet reacted.
		if e.running <= int(l.limit) {
			factor := p.LimitDecrease
			if l.queued < 2 {
				factor = max(factor, float64(allowed)/float64(between))
			}
			l.limit = factor * min(l.limit, float64(max(1, e.running)))
			l.tuned = true
		}
	case l.measured && between == 0:
		// Nothing is known of this interval.
	case l.busy && l.tuned:
		// One slot more near the target, and up to twice as many far below it, so that an endpoint
		// recovers in seconds when load from elsewhere has ended.
		growth := l.limit * (min(maxGrowth, float64(allowed)/float64(max(between, 1))) - 1)
		l.limit += max(1, growth)
	case l.busy:
		l.limit *= slowStart
	}
	l.limit = min(max(l.limit, float64(e.MinSlots)), float64(e.MaxSlots))
	l.tickAt = now + p.LimitInterval
	l.spent, l.tokens, l.target, l.reported, l.busy = 0, 0, 0, 0, false
}
