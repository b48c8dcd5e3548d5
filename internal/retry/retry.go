// Package retry decides whether a failed attempt may be repeated. It is pure: the time is passed in,
// and callers serialize all calls.
package retry

import "time"

const (
	// DefaultRatio bounds retries to a share of the requests of the same window.
	DefaultRatio = 0.10
	// DefaultReserve is the number of retries per window that is allowed regardless of the ratio, so
	// that a crashed endpoint's requests are continued also at a low request rate.
	DefaultReserve = 32
	// Window is the default time over which requests and retries are counted.
	Window = 10 * time.Second

	bucketCount = 10
	// allClasses is the key of the counters over all classes; a class name is never empty.
	allClasses = ""
	// minRemaining is the least time to the deadline in which a retry can still succeed.
	minRemaining = 20 * time.Millisecond
)

// Failure describes a failed attempt.
type Failure struct {
	// NonIdempotent requests must not run twice.
	NonIdempotent bool
	// Started says that the endpoint may have run the request.
	Started bool
}

// Safe says whether repeating the request cannot run a non-idempotent request twice.
func Safe(f Failure) bool { return !f.NonIdempotent || !f.Started }

// Useful says whether a retry that needs the given time can end before the deadline. A zero deadline
// means none.
func Useful(now, deadline time.Time, need time.Duration) bool {
	return deadline.IsZero() || deadline.Sub(now) > max(need, minRemaining)
}

// Options bound retries. Zero values mean the defaults.
type Options struct {
	Ratio   float64
	Reserve int
	// Window is the time over which requests and retries are counted.
	Window time.Duration
}

// Budget bounds the retries of each class and of all classes.
type Budget struct {
	opts     Options
	counters map[string]*counter
}

// NewBudget returns an empty budget.
func NewBudget(opts Options) *Budget {
	if opts.Ratio == 0 {
		opts.Ratio = DefaultRatio
	}
	if opts.Reserve == 0 {
		opts.Reserve = DefaultReserve
	}
	if opts.Window == 0 {
		opts.Window = Window
	}
	return &Budget{opts: opts, counters: map[string]*counter{}}
}

// Request counts a first attempt.
func (b *Budget) Request(now time.Time, class string) {
	index := b.bucketIndex(now)
	b.counter(class).bucket(index).requests++
	b.counter(allClasses).bucket(index).requests++
}

// Take takes one retry from the budget. It returns false when the class or the total is used up.
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

// Left says whether Take would succeed.
func (b *Budget) Left(now time.Time, class string) bool {
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

type bucket struct {
	index    int64
	requests int
	retries  int
}

// counter counts over the window in buckets of a tenth of it.
type counter [bucketCount]bucket

func (b *Budget) bucketIndex(now time.Time) int64 {
	return now.UnixNano() / int64(b.opts.Window/bucketCount)
}

func (c *counter) bucket(index int64) *bucket {
	b := &c[index%bucketCount]
	if b.index != index {
		*b = bucket{index: index}
	}
	return b
}

func (b *Budget) allows(c *counter, now time.Time) bool {
	index := b.bucketIndex(now)
	requests, retries := 0, 0
	for _, n := range c {
		if index-n.index < bucketCount {
			requests += n.requests
			retries += n.retries
		}
	}
	return retries < max(b.opts.Reserve, int(b.opts.Ratio*float64(requests)))
}
