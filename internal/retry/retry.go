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

	buckets = 10
	// total is the key of the counters over all classes; a class name is never empty.
	total = ""
	// minUseful is the least time to the deadline in which a retry can still succeed.
	minUseful = 20 * time.Millisecond
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
	return deadline.IsZero() || deadline.Sub(now) > max(need, minUseful)
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
	o        Options
	counters map[string]*counter
}

// NewBudget returns an empty budget.
func NewBudget(o Options) *Budget {
	if o.Ratio == 0 {
		o.Ratio = DefaultRatio
	}
	if o.Reserve == 0 {
		o.Reserve = DefaultReserve
	}
	if o.Window == 0 {
		o.Window = Window
	}
	return &Budget{o: o, counters: map[string]*counter{}}
}

// Request counts a first attempt.
func (b *Budget) Request(now time.Time, class string) {
	slot := b.slot(now)
	b.counter(class).at(slot).requests++
	b.counter(total).at(slot).requests++
}

// Take takes one retry from the budget. It returns false when the class or the total is used up.
func (b *Budget) Take(now time.Time, class string) bool {
	c, all := b.counter(class), b.counter(total)
	if !b.allows(c, now) || !b.allows(all, now) {
		return false
	}
	slot := b.slot(now)
	c.at(slot).retries++
	all.at(slot).retries++
	return true
}

// Left says whether Take would succeed.
func (b *Budget) Left(now time.Time, class string) bool {
	return b.allows(b.counter(class), now) && b.allows(b.counter(total), now)
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
	slot     int64
	requests int
	retries  int
}

// counter counts over the window in buckets of a tenth of it.
type counter [buckets]bucket

func (b *Budget) slot(now time.Time) int64 { return now.UnixNano() / int64(b.o.Window/buckets) }

func (c *counter) at(slot int64) *bucket {
	b := &c[slot%buckets]
	if b.slot != slot {
		*b = bucket{slot: slot}
	}
	return b
}

func (b *Budget) allows(c *counter, now time.Time) bool {
	slot := b.slot(now)
	requests, retries := 0, 0
	for _, n := range c {
		if slot-n.slot < buckets {
			requests += n.requests
			retries += n.retries
		}
	}
	return retries < max(b.o.Reserve, int(b.o.Ratio*float64(requests)))
}
