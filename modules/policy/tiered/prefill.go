package tiered

import (
	"time"
)

const (
	// prefillDecay is the factor by which each new measurement reduces the weight of older ones.
	prefillDecay = 0.995
	// prefillSamples is the number of measurements needed before the estimate is used.
	prefillSamples = 20
	// minRelativeVariance is the relative variance of prompt lengths needed for a reliable slope.
	minRelativeVariance = 0.01
	// defaultPrefillPerToken is the time per prompt token that is assumed until enough prompts of
	// different lengths were measured.
	defaultPrefillPerToken = 50 * time.Microsecond
	// maxIdleBacklog is the largest predicted backlog of an endpoint at which a prefill time is measured.
	// With a longer backlog the time to the first token would include the prefill of earlier prompts.
	maxIdleBacklog = 20 * time.Millisecond
	// defaultFirstTokenScale replaces the target for the first token in the cost of an endpoint for
	// classes without this target.
	defaultFirstTokenScale = 10 * time.Second
)

// prefillModel estimates the time to the first token as a linear function of the number of uncached
// prompt tokens, by least squares with exponentially decaying weights.
type prefillModel struct {
	// count is the number of measurements; weight is the sum of their decayed weights. In the sums, x is
	// the number of uncached prompt tokens and y the time to the first token in seconds.
	count                            int
	weight, sumX, sumY, sumXX, sumXY float64
}

func (m *prefillModel) add(tokens int, took time.Duration) {
	x, y := float64(tokens), took.Seconds()
	m.count++
	m.weight = m.weight*prefillDecay + 1
	m.sumX = m.sumX*prefillDecay + x
	m.sumY = m.sumY*prefillDecay + y
	m.sumXX = m.sumXX*prefillDecay + x*x
	m.sumXY = m.sumXY*prefillDecay + x*y
}

// perToken returns the estimated time per prompt token, which is the slope of the line.
func (m *prefillModel) perToken() time.Duration {
	variance := m.weight*m.sumXX - m.sumX*m.sumX
	if m.count < prefillSamples || variance < minRelativeVariance*m.sumX*m.sumX {
		return defaultPrefillPerToken
	}
	slope := (m.weight*m.sumXY - m.sumX*m.sumY) / variance
	return time.Duration(max(0, slope) * float64(time.Second))
}

// backlog returns the expected time until an endpoint has processed the prompts sent to it.
func (e *endpoint) backlog(now time.Duration) time.Duration {
	return max(0, e.prefillUntil-now)
}

// startPrefill adds the uncached part of a prompt to an endpoint's backlog.
func (p *Policy) startPrefill(now time.Duration, it *item, e *endpoint, tokens int) {
	it.uncachedTokens = tokens
	it.backlogTime = e.backlog(now)
	it.prefillTime = time.Duration(tokens) * p.prefillPerToken
	e.prefillUntil = max(now, e.prefillUntil) + it.prefillTime
	e.prefilling++
}

// endPrefill corrects an endpoint's backlog when a prompt has been processed or its attempt has ended
// before.
func (p *Policy) endPrefill(now time.Duration, it *item, done bool) {
	e := it.endpoint
	e.prefilling--
	switch {
	case e.prefilling == 0:
		e.prefillUntil = now
	case !done:
		e.prefillUntil -= it.prefillTime
	}
}

// uncachedTokens returns the number of prompt tokens that an endpoint has to process for a request when
// it holds the given number of leading prefix blocks.
func uncachedTokens(it *item, cachedBlocks uint8) int {
	tokens := it.req.PromptTokens + it.req.ResumedTokens
	if cachedBlocks == 0 {
		return tokens
	}
	return tokens - tokens*int(cachedBlocks)/min(len(it.req.Blocks), maxPrefixBlocks)
}

// firstTokenScale returns the time to the first token that adds as much to the cost of an endpoint as a
// relative load of 1.
func (c *class) firstTokenScale() time.Duration {
	if c.FirstToken > 0 {
		return c.FirstToken
	}
	return defaultFirstTokenScale
}
