package placement

import (
	"math"
	"time"
)

const (
	// minShortageStep is the least fraction of an engine's memory that is reserved for a tier with each of its requests that
	// no engine has memory for; larger requests reserve shortageStep times their size. maxReserve is the largest reserve of a
	// tier. Reserves halve every shortageHalfLife.
	minShortageStep = 0.03
	shortageStep    = 1.0
	maxReserve      = 0.4
	// spillReserve is the reserve that only the least urgent class of the pool must leave free. Others in between leave what
	// exceeds it.
	spillReserve     = 0.4
	shortageHalfLife = 2 * time.Second
)

// memoryReserve keeps memory free for requests of urgent tiers that found none, so that they do not go without service
// while less urgent requests begin.
type memoryReserve struct {
	// fractions holds the reserve by tier, as it was at the time updated.
	fractions [shareTiers]float64
	updated   time.Time
}

// against returns the fraction of an engine's memory that a request of a tier must leave free for more urgent ones.
// isLowest says whether it is of the least urgent class of the pool.
func (m *memoryReserve) against(now time.Time, tier int, isLowest func() bool) float64 {
	sum := 0.0
	for t := range min(max(tier, 0), shareTiers) {
		sum += m.fractions[t]
	}
	if sum == 0 {
		return 0
	}
	sum *= math.Exp2(-float64(now.Sub(m.updated)) / float64(shortageHalfLife))
	if !isLowest() {
		sum = max(sum-spillReserve, 0)
	}
	return min(sum, maxReserve)
}

// add records that no engine has memory for a request of a tier that needs the given fraction of an engine's memory.
func (m *memoryReserve) add(now time.Time, tier int, need float64) {
	factor := math.Exp2(-float64(now.Sub(m.updated)) / float64(shortageHalfLife))
	for t := range m.fractions {
		m.fractions[t] *= factor
	}
	m.updated = now
	t := min(max(tier, 0), shareTiers-1)
	m.fractions[t] = min(m.fractions[t]+max(shortageStep*need, minShortageStep), maxReserve)
}
