package estimate

import "math"

const (
	// bucketsPerDoubling sets the resolution: a bucket is about 19% wide.
	bucketsPerDoubling = 4
	// buckets cover values from 1 to 2^20.
	buckets = 20*bucketsPerDoubling + 1
	// halfWeight is the total weight at which all counts are halved, so that old values fade.
	halfWeight = 2048
)

// Histogram counts positive values in buckets of constant relative width. Old values fade.
// The zero value is ready for use.
type Histogram struct {
	counts [buckets]float32
	total  float64
}

// Add counts a value.
func (h *Histogram) Add(value float64) {
	h.counts[bucket(value)]++
	h.total++
	if h.total < halfWeight {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += float64(h.counts[i])
	}
}

// Weight returns the number of values counted, reduced by fading.
func (h *Histogram) Weight() float64 { return h.total }

// Quantile returns the q-quantile of the values that are above the given one. It returns false
// when there is no such value.
func (h *Histogram) Quantile(q, above float64) (float64, bool) {
	first := 0
	if above > 0 {
		first = bucket(above)
	}
	var rest float64
	for _, n := range h.counts[first:] {
		rest += float64(n)
	}
	if rest <= 0 {
		return 0, false
	}
	want, sum := q*rest, 0.0
	for i := first; i < buckets; i++ {
		sum += float64(h.counts[i])
		if sum >= want && h.counts[i] > 0 {
			return max(upper(i), above), true
		}
	}
	return upper(buckets - 1), true
}

func bucket(value float64) int {
	if value <= 1 {
		return 0
	}
	i := int(math.Ceil(math.Log2(value) * bucketsPerDoubling))
	return min(i, buckets-1)
}

// bounds holds the upper bounds of the buckets.
var bounds = func() (b [buckets]float64) {
	for i := range b {
		b[i] = math.Exp2(float64(i) / bucketsPerDoubling)
	}
	return b
}()

func upper(i int) float64 { return bounds[i] }
