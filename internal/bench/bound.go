package bench

import (
	"cmp"
	"slices"
	"time"
)

// workItem is the engine time and the value of one call in the bound.
type workItem struct {
	class         int
	phase         int
	engineSeconds float64
	tokens        float64
}

// goodputBound returns an analytic upper bound for the goodput tokens that any policy can achieve with
// the arrivals of a seed, even if it knows all lengths and loads in advance. It relaxes the problem as
// follows: engines always run batches of the largest size that meets the class's target between tokens,
// all shared prefixes are cached, work is divisible, and no engine is ever down or slow.
//
// The remaining constraints limit engine time, see capacityLimits. The sets of calls that they apply to
// are nested or disjoint, so that the greedy choice by tokens per engine second is optimal.
func goodputBound(dep deployment, sc scenario, seed uint64) float64 {
	var items []workItem
	for i := range dep.classes {
		spec := &dep.classes[i]
		src := newSource(&dep, sc.workload, i, seed)
		for c := src.next(); c != nil; c = src.next() {
			shared := sc.workload.prefixBlocks * blockTokens
			items = append(items, workItem{
				class:         i,
				phase:         sc.workload.phase(c.arrival),
				engineSeconds: dep.model.engineSeconds(spec.BetweenTokens, float64(c.prompt-shared), float64(c.output)),
				tokens:        float64(c.output),
			})
		}
	}
	l := newCapacityLimits(dep, sc.workload, items)
	slices.SortStableFunc(items, func(a, b workItem) int {
		return cmp.Compare(b.tokens/b.engineSeconds, a.tokens/a.engineSeconds)
	})
	total := 0.0
	for _, item := range items {
		total += item.tokens / item.engineSeconds * l.allocate(item)
	}
	return total
}

// phaseCount is the number of phases of a scenario: before, during and after its burst.
const phaseCount = 3

func (w workload) phase(t time.Duration) int {
	switch {
	case t < w.burstFrom:
		return 0
	case t < w.burstTo:
		return 1
	}
	return 2
}

func (w workload) phaseLength(phase int) time.Duration {
	return [phaseCount]time.Duration{w.burstFrom, w.burstTo - w.burstFrom, w.horizon - w.burstTo}[phase]
}

// capacityLimits has the engine time, in seconds, that is left for sets of calls. Calls of a phase whose
// class has a target for the first token must have started by the end of the phase plus that target.
// The work of these calls that then remains fits into the slots of the engines, so it is at most that of
// the longest answers of the phase.
type capacityLimits struct {
	// byClass is by class and phase, startByPhase by phase for all classes with a target for the first
	// token, and total for all calls.
	byClass      [][phaseCount]float64
	startByPhase [phaseCount]float64
	total        float64
	// hasFirstTokenTarget says which classes have a target for the first token.
	hasFirstTokenTarget []bool
}

func newCapacityLimits(dep deployment, w workload, items []workItem) *capacityLimits {
	l := &capacityLimits{}
	var maxFirstToken, maxTotalTimeout time.Duration
	for i := range dep.classes {
		spec := &dep.classes[i]
		l.hasFirstTokenTarget = append(l.hasFirstTokenTarget, spec.FirstToken > 0)
		maxFirstToken = max(maxFirstToken, spec.FirstToken)
		maxTotalTimeout = max(maxTotalTimeout, spec.totalTimeout)
		l.byClass = append(l.byClass, [phaseCount]float64{})
		for phase := range phaseCount {
			l.byClass[i][phase] = phaseCapacity(dep, w.phaseLength(phase)+spec.FirstToken, items, func(item workItem) bool {
				return item.class == i && item.phase == phase
			})
		}
	}
	for phase := range phaseCount {
		l.startByPhase[phase] = phaseCapacity(dep, w.phaseLength(phase)+maxFirstToken, items, func(item workItem) bool {
			return l.hasFirstTokenTarget[item.class] && item.phase == phase
		})
	}
	l.total = float64(dep.engines) * (w.horizon + maxTotalTimeout).Seconds()
	return l
}

// phaseCapacity returns the engine time, in seconds, of a period and of the longest matching calls, as
// many as fit into all batches at its end.
func phaseCapacity(dep deployment, period time.Duration, items []workItem, match func(workItem) bool) float64 {
	var costs []float64
	for _, item := range items {
		if match(item) {
			costs = append(costs, item.engineSeconds)
		}
	}
	slices.Sort(costs)
	tail := 0.0
	for _, c := range costs[max(0, len(costs)-dep.engines*dep.model.maxBatch):] {
		tail += c
	}
	return float64(dep.engines)*period.Seconds() + tail
}

// allocate uses engine time for as much of the item as fits, and returns it in seconds.
func (l *capacityLimits) allocate(item workItem) float64 {
	allocated := min(item.engineSeconds, l.total)
	if l.hasFirstTokenTarget[item.class] {
		allocated = min(allocated, l.byClass[item.class][item.phase], l.startByPhase[item.phase])
		l.byClass[item.class][item.phase] -= allocated
		l.startByPhase[item.phase] -= allocated
	}
	l.total -= allocated
	return allocated
}
