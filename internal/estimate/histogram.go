package estimate

import "math"

const (
	// bucketsPerDoubling sets the resolution: each bucket is about 19% wide.
	bucketsPerDoubling = 4
	// numBuckets covers the values from 1 to 2^20.
	numBuckets = 20*bucketsPerDoubling + 1
	// maxWeight is the total weight at which all counts are halved, so that old values decay.
	maxWeight = 2048
)

// Histogram counts positive values in buckets of constant relative width. Old values decay exponentially. The
// zero value is ready for use.
type Histogram struct {
	counts [numBuckets]float32
	total  float64
}

// Add counts a value.
func (h *Histogram) Add(value float64) {
	h.counts[bucketIndex(value)]++
	h.total++
	if h.total < maxWeight {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += float64(h.counts[i])
	}
}

// Weight returns the number of counted values after decay.
func (h *Histogram) Weight() float64 { return h.total }

// Quantile returns the q-quantile of the values above the given one, to the resolution of a bucket. It returns
// false if there are none.
func (h *Histogram) Quantile(q, above float64) (float64, bool) {
	from := 0
	if above > 0 {
		from = bucketIndex(above)
	}
	var rest float64
	for _, n := range h.counts[from:] {
		rest += float64(n)
	}
	if rest <= 0 {
		return 0, false
	}
	rank, sum := q*rest, 0.0
	for i := from; i < numBuckets; i++ {
		sum += float64(h.counts[i])
		if sum >= rank && h.counts[i] > 0 {
			return max(upperBound(i), above), true
		}
	}
	return upperBound(numBuckets - 1), true
}

func bucketIndex(value float64) int {
	if value <= 1 {
		return 0
	}
	i := int(math.Ceil(math.Log2(value) * bucketsPerDoubling))
	return min(i, numBuckets-1)
}

// upperBounds holds the upper bound of each bucket.
var upperBounds = func() (b [numBuckets]float64) {
	for i := range b {
		b[i] = math.Exp2(float64(i) / bucketsPerDoubling)
	}
	return b
}()

func upperBound(i int) float64 { return upperBounds[i] }
