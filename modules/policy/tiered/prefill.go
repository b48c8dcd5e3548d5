package tiered

import (
	"time"
)

const (
	// prefillDecay is the weight that older measurements keep with each new one.
	prefillDecay = 0.995
	// prefillSamples is the number of measurements from which the estimate is used.
	prefillSamples = 20
	// minVariation is the relative variance of the prompts' lengths from which a slope is defined.
	minVariation = 0.01
	// defaultPerToken is assumed until enough prompts of different lengths were measured.
	defaultPerToken = 50 * time.Microsecond
	// idleBacklog is the largest predicted backlog of an endpoint that counts as none when the time
	// for a prompt is measured.
	idleBacklog = 20 * time.Millisecond
	// defaultFirstToken scales the time to the first token for classes without a target for it.
	defaultFirstToken = 10 * time.Second
)

// prefillModel estimates how long an endpoint needs for a prompt, as a line over its tokens, by
// least squares with fading weights.
type prefillModel struct {
	count                       int
	n, sumX, sumY, sumXX, sumXY float64
}

func (m *prefillModel) add(tokens int, took time.Duration) {
	x, y := float64(tokens), took.Seconds()
	m.count++
	m.n = m.n*prefillDecay + 1
	m.sumX = m.sumX*prefillDecay + x
	m.sumY = m.sumY*prefillDecay + y
	m.sumXX = m.sumXX*prefillDecay + x*x
	m.sumXY = m.sumXY*prefillDecay + x*y
}

// perToken returns the time per prompt token.
func (m *prefillModel) perToken() time.Duration {
	variance := m.n*m.sumXX - m.sumX*m.sumX
	if m.count < prefillSamples || variance < minVariation*m.sumX*m.sumX {
		return defaultPerToken
	}
	slope := (m.n*m.sumXY - m.sumX*m.sumY) / variance
	return time.Duration(max(0, slope) * float64(time.Second))
}

// backlog returns the expected time until an endpoint has processed the prompts sent to it.
func (e *endpoint) backlog(now time.Duration) time.Duration {
	return max(0, e.prefillUntil-now)
}

// startPrefill adds the uncached part of a prompt to an endpoint's backlog.
func (p *Policy) startPrefill(now time.Duration, it *item, e *endpoint, uncached int) {
	it.uncached = uncached
	it.backlog = e.backlog(now)
	it.prefill = time.Duration(uncached) * p.perToken
	e.prefillUntil = max(now, e.prefillUntil) + it.prefill
	e.prefilling++
}

// endPrefill corrects an endpoint's backlog when a prompt has been processed or given up.
func (p *Policy) endPrefill(now time.Duration, it *item, done bool) {
	e := it.endpoint
	e.prefilling--
	switch {
	case e.prefilling == 0:
		e.prefillUntil = now
	case !done:
		e.prefillUntil -= it.prefill
	}
}

// uncached returns the number of prompt tokens that an endpoint has to process for a request, of
// whose blocks it holds the first ones.
func uncached(it *item, held uint8) int {
	tokens := it.req.PromptTokens + it.req.ResumedTokens
	if held == 0 {
		return tokens
	}
	return tokens - tokens*int(held)/min(len(it.req.Blocks), maxPrefixBlocks)
}

// firstTokenScale returns the time to the first token that weighs as much as a full endpoint.
func (c *class) firstTokenScale() time.Duration {
	if c.FirstToken > 0 {
		return c.FirstToken
	}
	return defaultFirstToken
}
