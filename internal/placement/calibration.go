package placement

import (
	"math"
	"time"
)

const (
	// calibrationGain is the weight of a new comparison of an expected with an actual time to the first event.
	calibrationGain = 0.03
	// calibratedFrom is the expected time from which comparisons count; below it fixed costs dominate.
	calibratedFrom = 200 * time.Millisecond
	// minRatio and maxRatio bound one comparison, so that a single hung request does not stop admission.
	minRatio = 0.3
	maxRatio = 6.0
	// marginShare is the part of the mean deviation that is added to the mean.
	marginShare = 0.5
)

// calibration corrects the expected time to the first event by what was seen. Engines read the prompts of
// more urgent requests first, and may have dropped cached parts, so that under load the actual time is a
// multiple of the expected one.
type calibration struct {
	ratio     float64
	deviation float64
}

func newCalibration() calibration { return calibration{ratio: 1} }

// observe compares an expected with an actual time.
func (c *calibration) observe(expected, actual time.Duration) {
	if expected < calibratedFrom {
		return
	}
	ratio := min(max(float64(actual)/float64(expected), minRatio), maxRatio)
	c.deviation += calibrationGain * (math.Abs(ratio-c.ratio) - c.deviation)
	c.ratio += calibrationGain * (ratio - c.ratio)
}

// correct returns the time within which most first events arrive.
func (c *calibration) correct(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * (max(c.ratio, 1) + marginShare*c.deviation))
}
