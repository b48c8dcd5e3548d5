// Package estimate predicts the output length and the duration of requests.
//
// The output length is not known in advance, so a histogram of completed lengths is kept for each pair of class
// and model. The prediction for a running request considers only lengths greater than what it has already
// generated. The package has no clock and no locks: callers pass durations and serialize access.
package estimate

import "time"

const (
	// defaultTokens is the predicted output length until enough answers of the class and model have completed,
	// and the minimum prediction for an answer that is longer than all completed ones.
	defaultTokens = 256
	// minWeight is the number of values a histogram needs before it is used.
	minWeight = 8
	// smoothing is the weight of a new value in a moving average.
	smoothing = 0.05
)

// Key identifies a series: the requests of one class on one model.
type Key struct {
	Class string
	Model string
}

// Series holds the statistics of one class on one model.
type Series struct {
	lengths Histogram
	// firstToken holds times to the first token in milliseconds, plus 1 so that every value is positive.
	firstToken Histogram
	interToken Average
	duration   Average
}

// Estimator holds the series of all classes and models.
type Estimator struct {
	series map[Key]*Series
}

// New returns an empty estimator.
func New() *Estimator {
	return &Estimator{series: map[Key]*Series{}}
}

// Series returns the series of a key, creating it if it does not exist.
func (e *Estimator) Series(k Key) *Series {
	s := e.series[k]
	if s == nil {
		s = &Series{}
		e.series[k] = s
	}
	return s
}

// RetainClasses removes the series of classes for which keep returns false.
func (e *Estimator) RetainClasses(keep func(class string) bool) {
	for k := range e.series {
		if !keep(k.Class) {
			delete(e.series, k)
		}
	}
}

// AddCompletion records a completed answer with its output length in tokens and its duration. A length of zero is
// unknown and is not recorded.
func (s *Series) AddCompletion(tokens int, duration time.Duration) {
	if tokens > 0 {
		s.lengths.Add(float64(tokens))
	}
	s.duration.Add(duration.Seconds())
}

// AddFirstToken records the time from sending a request to its first token.
func (s *Series) AddFirstToken(d time.Duration) {
	s.firstToken.Add(float64(d.Milliseconds()) + 1)
}

// AddInterToken records a measured inter-token time.
func (s *Series) AddInterToken(d time.Duration) { s.interToken.Add(d.Seconds()) }

// OutputTokensQuantile returns the q-quantile of the total output length, in tokens, of an answer that already has the
// given number of generated tokens. A positive limit is the maximum possible length. If too few lengths, or none
// above generated, have been recorded, the prediction is twice the generated tokens, but at least defaultTokens.
func (s *Series) OutputTokensQuantile(q float64, generated, limit int) int {
	n := max(defaultTokens, 2*generated)
	if s.lengths.Weight() >= minWeight {
		if v, ok := s.lengths.Quantile(q, float64(generated)); ok {
			n = int(v)
		}
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return max(n, generated)
}

// FirstTokenQuantile returns the q-quantile of the time to the first token, or zero if it is unknown.
func (s *Series) FirstTokenQuantile(q float64) time.Duration {
	if s.firstToken.Weight() < minWeight {
		return 0
	}
	v, _ := s.firstToken.Quantile(q, 0)
	return time.Duration(v * float64(time.Millisecond))
}

// MeanDuration returns the mean duration of a completed answer, or zero if it is unknown.
func (s *Series) MeanDuration() time.Duration {
	return seconds(s.duration.Value())
}

// RemainingDuration returns the expected remaining time of an answer that has been running for the given time and has
// generated the given number of tokens. It is the time for the rest of the median output length. Until an
// inter-token time has been recorded, it is the rest of the mean duration, or zero if that is unknown. A positive
// limit is the maximum possible length in tokens.
func (s *Series) RemainingDuration(generated, limit int, running time.Duration) time.Duration {
	if interToken := s.interToken.Value(); interToken > 0 {
		rest := s.OutputTokensQuantile(0.5, generated, limit) - generated
		return seconds(float64(rest) * interToken)
	}
	return max(0, s.MeanDuration()-running)
}

// DurationQuantile estimates the q-quantile of the duration of an answer that has not started from the q-quantiles
// of the time to the first token and of the output length. Until enough lengths and an inter-token time have been
// recorded, it returns the mean duration, or zero if that is unknown. A positive limit is the maximum possible
// length in tokens.
func (s *Series) DurationQuantile(q float64, limit int) time.Duration {
	interToken := s.interToken.Value()
	if interToken == 0 || s.lengths.Weight() < minWeight {
		return s.MeanDuration()
	}
	return s.FirstTokenQuantile(q) + seconds(float64(s.OutputTokensQuantile(q, 0, limit))*interToken)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Average is an exponentially weighted moving average. The zero value is ready for use.
type Average struct {
	value float64
	count int
}

// Add adds a value. The first values have equal weight, so that the initial value of zero does not bias the
// average.
func (a *Average) Add(v float64) {
	a.count++
	weight := max(smoothing, 1/float64(a.count))
	a.value += weight * (v - a.value)
}

// Value returns the average, or zero before the first value.
func (a *Average) Value() float64 { return a.value }
