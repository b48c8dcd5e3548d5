// Package estimate predicts how many tokens a request will generate and how long it will run.
//
// The length of an answer is unknown in advance, so each pair of class and model has a histogram
// of finished lengths. A running request is predicted from the lengths above what it has already
// generated. The package is pure: it has no clock and no locks; its callers serialize access.
package estimate

import "time"

const (
	// defaultTokens is assumed while no request of the class and model has finished.
	defaultTokens = 256
	// minWeight is the number of values from which a histogram is trusted.
	minWeight = 8
	// smoothing is the weight of a new value in a moving average.
	smoothing = 0.05
)

// Key names a series: requests of one class on one model.
type Key struct {
	Class string
	Model string
}

// Series holds what is known of one class on one model.
type Series struct {
	lengths Histogram
	// first holds times to the first token in milliseconds.
	first    Histogram
	between  Average
	duration Average
}

// Estimator holds all series.
type Estimator struct {
	series map[Key]*Series
}

// New returns an empty estimator.
func New() *Estimator {
	return &Estimator{series: map[Key]*Series{}}
}

// Series returns the series of a key, and creates it when there is none.
func (e *Estimator) Series(k Key) *Series {
	s := e.series[k]
	if s == nil {
		s = &Series{}
		e.series[k] = s
	}
	return s
}

// Keep drops the series of classes for which keep returns false.
func (e *Estimator) Keep(keep func(class string) bool) {
	for k := range e.series {
		if !keep(k.Class) {
			delete(e.series, k)
		}
	}
}

// Finished records a complete answer.
func (s *Series) Finished(tokens int, duration time.Duration) {
	if tokens > 0 {
		s.lengths.Add(float64(tokens))
	}
	s.duration.Add(duration.Seconds())
}

// FirstToken records the time from sending a request to its first token.
func (s *Series) FirstToken(d time.Duration) {
	s.first.Add(float64(d.Milliseconds()) + 1)
}

// Between records a measured time between tokens.
func (s *Series) Between(d time.Duration) { s.between.Add(d.Seconds()) }

// Tokens returns the q-quantile of the total length of an answer of which so many tokens exist.
// The limit, if positive, is the largest possible length.
func (s *Series) Tokens(q float64, have, limit int) int {
	n := max(defaultTokens, 2*have)
	if s.lengths.Weight() >= minWeight {
		if v, ok := s.lengths.Quantile(q, float64(have)); ok {
			n = int(v)
		}
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return max(n, have)
}

// FirstTokenQuantile returns the q-quantile of the time to the first token, zero when unknown.
func (s *Series) FirstTokenQuantile(q float64) time.Duration {
	if s.first.Weight() < minWeight {
		return 0
	}
	v, _ := s.first.Quantile(q, 0)
	return time.Duration(v * float64(time.Millisecond))
}

// Duration returns the mean duration of a complete answer, zero when unknown.
func (s *Series) Duration() time.Duration {
	return seconds(s.duration.Value())
}

// Rest returns the expected time until a running answer ends, zero when unknown.
func (s *Series) Rest(have, limit int, running time.Duration) time.Duration {
	if between := s.between.Value(); between > 0 {
		rest := s.Tokens(0.5, have, limit) - have
		return seconds(float64(rest) * between)
	}
	return max(0, s.Duration()-running)
}

// Total returns the q-quantile of the duration of an answer that has not begun, zero when unknown.
func (s *Series) Total(q float64, limit int) time.Duration {
	between := s.between.Value()
	if between == 0 || s.lengths.Weight() < minWeight {
		return s.Duration()
	}
	return s.FirstTokenQuantile(q) + seconds(float64(s.Tokens(q, 0, limit))*between)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Average is an exponentially weighted moving average. The zero value is ready for use.
type Average struct {
	value float64
	count int
}

// Add includes a value. The first values count equally, so that the start is not biased.
func (a *Average) Add(v float64) {
	a.count++
	weight := max(smoothing, 1/float64(a.count))
	a.value += weight * (v - a.value)
}

// Value returns the average, zero before the first value.
func (a *Average) Value() float64 { return a.value }
