package placement

import (
	"math"
	"time"
)

const (
	// observationWindow is the number of first events after which the weight of an observation has fallen to
	// 1/e.
	observationWindow = 300
	// priorWeight is the weight of each of the two prior points of the regression, in observations. The
	// first point has no pending prefill tokens, the second has priorTokens.
	priorWeight = 10
	// initialIntercept is the assumed time to the first event without pending prefill tokens, and
	// initialPrefillSpeed the assumed prefill speed of an engine in tokens per millisecond, until they have
	// been observed.
	initialIntercept    = 150 * time.Millisecond
	initialPrefillSpeed = 40.0
	// minPrefillSpeed and maxPrefillSpeed (tokens per millisecond) and maxIntercept limit the result of the
	// regression.
	minPrefillSpeed = 2.0
	maxPrefillSpeed = 1000.0
	maxIntercept    = time.Second
	// priorTokens is the number of pending prefill tokens of the second prior point.
	priorTokens = 20000
	// maxOutlierRatio limits an observation to this multiple of the expected time, so that a single request
	// that hangs does not stop admission.
	maxOutlierRatio = 4.0
	// deviationSmoothing is the weight of a new observation in the mean deviation.
	deviationSmoothing = 0.03
	// marginFactor is the multiple of the mean deviation that withMargin adds to the expected time.
	marginFactor = 0.5
)

// latencyModel is a linear regression of the time to the first event, which is the first part of the response,
// on the number of pending prefill tokens. The slope exceeds the pure prefill time, because decoding steps run
// between prefill chunks and later prompts of more urgent requests are processed first.
type latencyModel struct {
	// Exponentially decaying sums over the observations: x in thousands of tokens, y in milliseconds.
	n, x, y, xx, xy float64
	// intercept (milliseconds) and slope (milliseconds per thousand tokens) are the result of the regression.
	intercept, slope float64
	// deviation is the mean relative deviation from the regression line.
	deviation float64
}

func newLatencyModel() latencyModel {
	m := latencyModel{}
	m.fit()
	return m
}

// withPrior returns the sums including the prior points as observations that do not decay. They keep the
// regression well-defined when all observations have a similar number of tokens.
func (m latencyModel) withPrior() latencyModel {
	intercept := float64(initialIntercept / time.Millisecond)
	for _, x := range []float64{0, priorTokens / 1000} {
		m.add(priorWeight, x, intercept+x*1000/initialPrefillSpeed)
	}
	return m
}

func (m *latencyModel) add(weight, x, y float64) {
	m.n += weight
	m.x += weight * x
	m.y += weight * y
	m.xx += weight * x * x
	m.xy += weight * x * y
}

func (m *latencyModel) fit() {
	p := m.withPrior()
	m.slope = (p.xy - p.x*p.y/p.n) / (p.xx - p.x*p.x/p.n)
	m.slope = min(max(m.slope, 1000/maxPrefillSpeed), 1000/minPrefillSpeed)
	m.intercept = min(max((p.y-m.slope*p.x)/p.n, 0), float64(maxIntercept/time.Millisecond))
}

// observe records a time to the first event and the number of pending prefill tokens at its start.
func (m *latencyModel) observe(backlog int, actual time.Duration) {
	const decay = 1 - 1.0/observationWindow
	x, y := float64(backlog)/1000, float64(actual)/float64(time.Millisecond)
	expected := max(m.intercept+m.slope*x, 1)
	y = min(y, maxOutlierRatio*expected)
	m.deviation += deviationSmoothing * (math.Abs(y/expected-1) - m.deviation)
	for _, sum := range []*float64{&m.n, &m.x, &m.y, &m.xx, &m.xy} {
		*sum *= decay
	}
	m.add(1, x, y)
	m.fit()
}

// predict returns the expected time to the first event with the given number of pending prefill tokens.
func (m *latencyModel) predict(backlog float64) time.Duration {
	return milliseconds(m.intercept + m.slope*backlog/1000)
}

// prefillSpeed returns the prefill speed of an engine in tokens per millisecond.
func (m *latencyModel) prefillSpeed() float64 { return 1000 / m.slope }

// withMargin returns the time within which most first events arrive.
func (m *latencyModel) withMargin(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * (1 + marginFactor*m.deviation))
}

// withoutMargin is the inverse of withMargin.
func (m *latencyModel) withoutMargin(padded time.Duration) time.Duration {
	return time.Duration(float64(padded) / (1 + marginFactor*m.deviation))
}
