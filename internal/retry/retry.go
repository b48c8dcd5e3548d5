// Package retry decides whether a failed attempt may be retried. It reads no clock and takes no locks:
// callers pass the time and serialize the calls.
package retry

import "time"

const (
	// DefaultRatio is the default limit of retries as a fraction of the requests in the same window.
	DefaultRatio = 0.10
	// DefaultReserve is the default number of retries per window that are allowed regardless of the
	// ratio, so that the requests of a crashed endpoint can be retried even at a low request rate.
	DefaultReserve = 32
	// DefaultWindow is the default time over which requests and retries are counted.
	DefaultWindow = 10 * time.Second

	bucketCount = 10
	// allClasses is the key of the counter for all classes together. Class names are never empty.
	allClasses = ""
	// minRemaining is the time until the deadline at or below which a retry is assumed to be too late.
	minRemaining = 20 * time.Millisecond
)

// Failure describes a failed attempt.
type Failure struct {
	// NonIdempotent is true if the request must not run twice.
	NonIdempotent bool
	// MayHaveRun is true if the endpoint may have run the request.
	MayHaveRun bool
}

// Safe reports whether a retry cannot run a non-idempotent request twice.
func Safe(f Failure) bool { return !f.NonIdempotent || !f.MayHaveRun }

// FitsDeadline reports whether a retry of the given duration can end before the deadline. It returns false if at
// most minRemaining is left, even if the duration is shorter. A zero deadline means that there is none.
func FitsDeadline(now, deadline time.Time, duration time.Duration) bool {
	return deadline.IsZero() || deadline.Sub(now) > max(duration, minRemaining)
}

// Options holds the limits of a Budget. Zero values select the defaults.
type Options struct {
	// Ratio is the limit of retries as a fraction of the requests in the window.
	Ratio float64
	// Reserve is the number of retries per window that are allowed regardless of Ratio.
	Reserve int
	// Window is the time over which requests and retries are counted.
	Window time.Duration
}

// Budget limits the retries of each class and of all classes together. It is not safe for concurrent use.
type Budget struct {
	opts     Options
	counters map[string]*counter
}

// NewBudget returns a budget without counted requests or retries.
func NewBudget(opts Options) *Budget {
	if opts.Ratio == 0 {
		opts.Ratio = DefaultRatio
	}
	if opts.Reserve == 0 {
		opts.Reserve = DefaultReserve
	}
	if opts.Window == 0 {
		opts.Window = DefaultWindow
	}
	return &Budget{opts: opts, counters: map[string]*counter{}}
}

// SetReserve changes the reserve to n, at least 1. Requests and retries stay counted.
func (b *Budget) SetReserve(n int) { b.opts.Reserve = max(n, 1) }

// CountRequest counts the first attempt of a request of a class.
func (b *Budget) CountRequest(now time.Time, class string) {
	index := b.bucketIndex(now)
	b.counter(class).bucket(index).requests++
	b.counter(allClasses).bucket(index).requests++
}

// Take counts a retry and returns true if the limits of the class and of all classes allow one. Otherwise it
// returns false and counts nothing.
func (b *Budget) Take(now time.Time, class string) bool {
	c, all := b.counter(class), b.counter(allClasses)
	if !b.allows(c, now) || !b.allows(all, now) {
		return false
	}
	index := b.bucketIndex(now)
	c.bucket(index).retries++
	all.bucket(index).retries++
	return true
}

// Available reports whether Take would return true.
func (b *Budget) Available(now time.Time, class string) bool {
	return b.allows(b.counter(class), now) && b.allows(b.counter(allClasses), now)
}

func (b *Budget) counter(class string) *counter {
	c := b.counters[class]
	if c == nil {
		c = &counter{}
		b.counters[class] = c
	}
	return c
}

// bucket counts the requests and retries of one interval, of which bucketCount make up the window.
type bucket struct {
	// index is the number of the interval, counted from the Unix epoch.
	index    int64
	requests int
	retries  int
}

// counter is a ring of buckets that covers the window.
type counter [bucketCount]bucket

// bucketIndex returns the index of the bucket that counts a time's requests and retries.
func (b *Budget) bucketIndex(now time.Time) int64 {
	return now.UnixNano() / int64(b.opts.Window/bucketCount)
}

// bucket returns the bucket with an index. If the ring has none, it creates one in place of the expired bucket
// in the same slot.
func (c *counter) bucket(index int64) *bucket {
	b := &c[index%bucketCount]
	if b.index != index {
		*b = bucket{index: index}
	}
	return b
}

// allows reports whether a counter is below its limit of retries.
func (b *Budget) allows(c *counter, now time.Time) bool {
	index := b.bucketIndex(now)
	requests, retries := 0, 0
	for _, bucket := range c {
		if index-bucket.index < bucketCount {
			requests += bucket.requests
			retries += bucket.retries
		}
	}
	return retries < max(b.opts.Reserve, int(b.opts.Ratio*float64(requests)))
}
