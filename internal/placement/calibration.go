package placement

import (
	"math"
	"time"
)

const (
	// calibrationMemory is the number of first events after which an observation weighs 1/e.
	calibrationMemory = 300
	// priorWeight is the number of observations as which the initial values count.
	priorWeight = 10
	// initialBase is the time to a first event without unread tokens, and initialSpeed the reading speed of an
	// engine in tokens per millisecond, until they have been observed.
	initialBase  = 150 * time.Millisecond
	initialSpeed = 40.0
	minSpeed     = 2.0
	maxSpeed     = 1000.0
	maxBase      = time.Second
	// priorTokens is the number of unread tokens for which the initial values are stated.
	priorTokens = 20000
	// maxRatio bounds how far one observation may exceed the expected time, so that a single hung request does
	// not stop admission.
	maxRatio = 4.0
	// deviationGain is the weight of a new observation in the mean deviation.
	deviationGain = 0.03
	// marginShare is the part of the mean deviation that is added to the mean.
	marginShare = 0.5
)

// calibration learns the time to the first event of an engine as a line over the unread tokens ahead. Its
// slope is more than the time of reading alone: steps for streams lie between the chunks, and prompts of more
// urgent requests that arrive later are read first.
type calibration struct {
	// Sums over the observations, the older ones weighing less: x in thousands of tokens, y in milliseconds.
	n, x, y, xx, xy float64
	// base in milliseconds and slope in milliseconds per thousand tokens fit the sums.
	base, slope float64
	// deviation is the mean relative deviation from the line.
	deviation float64
}

func newCalibration() calibration {
	c := calibration{}
	c.fit()
	return c
}

// withPrior returns the sums with the initial values as observations that do not fade, so that the line stays
// defined while all observations have about as many tokens ahead.
func (c calibration) withPrior() calibration {
	base := float64(initialBase / time.Millisecond)
	for _, x := range []float64{0, priorTokens / 1000} {
		c.add(priorWeight, x, base+x*1000/initialSpeed)
	}
	return c
}

func (c *calibration) add(weight, x, y float64) {
	c.n += weight
	c.x += weight * x
	c.y += weight * y
	c.xx += weight * x * x
	c.xy += weight * x * y
}

func (c *calibration) fit() {
	p := c.withPrior()
	c.slope = (p.xy - p.x*p.y/p.n) / (p.xx - p.x*p.x/p.n)
	c.slope = min(max(c.slope, 1000/maxSpeed), 1000/minSpeed)
	c.base = min(max((p.y-c.slope*p.x)/p.n, 0), float64(maxBase/time.Millisecond))
}

// observe takes the time to a first event with the unread tokens that were ahead of it.
func (c *calibration) observe(ahead int, actual time.Duration) {
	const keep = 1 - 1.0/calibrationMemory
	x, y := float64(ahead)/1000, float64(actual)/float64(time.Millisecond)
	expected := max(c.base+c.slope*x, 1)
	y = min(y, maxRatio*expected)
	c.deviation += deviationGain * (math.Abs(y/expected-1) - c.deviation)
	for _, sum := range []*float64{&c.n, &c.x, &c.y, &c.xx, &c.xy} {
		*sum *= keep
	}
	c.add(1, x, y)
	c.fit()
}

// expect returns the mean time to the first event behind a number of unread tokens.
func (c *calibration) expect(ahead float64) time.Duration { return ms(c.base + c.slope*ahead/1000) }

// speed returns the tokens that an engine reads in a millisecond.
func (c *calibration) speed() float64 { return 1000 / c.slope }

// correct returns the time within which most first events arrive.
func (c *calibration) correct(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * (1 + marginShare*c.deviation))
}

// uncorrect returns the expected time whose corrected value is the given one.
func (c *calibration) uncorrect(corrected time.Duration) time.Duration {
	return time.Duration(float64(corrected) / (1 + marginShare*c.deviation))
}
