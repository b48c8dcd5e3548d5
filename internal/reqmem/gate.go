package reqmem

import (
	"sync"
	"time"
)

// checkInterval is the interval at which a waiting request checks for bodies that are to be abandoned.
const checkInterval = 250 * time.Millisecond

// Counts are the numbers of events since the start.
type Counts struct {
	// Waits counts waits for memory, Rejections the bodies that got none, and Stalled those among them that were abandoned
	// because they made no progress while others waited.
	Waits, Rejections, Stalled int64
}

// Gate is an Account for concurrent use.
type Gate struct {
	mu      sync.Mutex
	account *Account
	leases  map[*Grant]*Lease
	counts  Counts
}

// NewGate returns a Gate with a budget in bytes.
func NewGate(budget, maxBody int64) *Gate {
	return &Gate{account: New(budget, maxBody), leases: map[*Grant]*Lease{}}
}

// Lease is the memory of the body of one request. Close must be called when the handler returns.
type Lease struct {
	gate  *Gate
	grant *Grant
	// interrupt ends a read of the body that is in progress.
	interrupt func()
	// wake receives the result of a wait; nil while the request does not wait. gate.mu guards it.
	wake chan bool
}

// Open returns the lease of a request. interrupt is called, by another goroutine, if the body has to give way to others
// while its handler reads it. maxBody is the size of the largest legal body.
func (g *Gate) Open(c Claim, maxBody int64, interrupt func()) *Lease {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if maxBody != g.account.maxBody {
		g.account.SetMaxBody(maxBody)
	}
	return &Lease{gate: g, grant: g.account.Open(now, c), interrupt: interrupt}
}

// Grow reserves n more bytes and waits for them if necessary. It returns false if the request is to be rejected.
func (l *Lease) Grow(n int64) bool {
	g := l.gate
	now := time.Now()
	g.mu.Lock()
	outcome := g.account.Grow(now, l.grant, n)
	var wake chan bool
	switch outcome {
	case Granted:
		if l.grant.order != 0 {
			g.leases[l.grant] = l
		}
	case Rejected:
		g.counts.Rejections++
	case Waiting:
		g.counts.Waits++
		wake = make(chan bool, 1)
		l.wake = wake
		g.leases[l.grant] = l
		g.settle(now)
	}
	g.mu.Unlock()
	if outcome != Waiting {
		return outcome == Granted
	}
	return l.wait(wake)
}

// wait waits until the growth has been granted or rejected.
func (l *Lease) wait(wake <-chan bool) bool {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case ok := <-wake:
			return ok
		case now := <-ticker.C:
			l.gate.mu.Lock()
			l.gate.settle(now)
			l.gate.mu.Unlock()
		}
	}
}

// settle grants memory to waiting requests and abandons bodies. g.mu must be held.
func (g *Gate) settle(now time.Time) {
	for _, grant := range g.account.Expire(now) {
		g.counts.Rejections++
		l := g.leases[grant]
		if l.wake != nil {
			l.answer(false)
			continue
		}
		g.counts.Stalled++
		l.interrupt()
	}
	for _, grant := range g.account.Schedule(now) {
		g.leases[grant].answer(true)
	}
}

// answer ends the wait of a lease. gate.mu must be held.
func (l *Lease) answer(granted bool) {
	l.wake <- granted
	l.wake = nil
}

// Progress records that bytes of a large body have arrived.
func (l *Lease) Progress(now time.Time) {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	l.gate.account.Progress(now, l.grant)
}

// Complete records that the whole body has arrived. It returns false if the request is to be rejected, because its body
// has been abandoned.
func (l *Lease) Complete() bool {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	ok := l.gate.account.Complete(l.grant)
	l.gate.wakeWaiters()
	return ok
}

// Abandoned reports whether the body has to give way to others.
func (l *Lease) Abandoned() bool {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	return l.grant.state == abandoned
}

// RetryAfter returns the time after which the rejected request probably gets memory.
func (l *Lease) RetryAfter() time.Duration {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	return l.gate.account.RetryAfter(time.Now(), l.grant)
}

// Close releases the memory. It may be called more than once.
func (l *Lease) Close() {
	g := l.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.grant.order == 0 {
		// The time is only needed for large bodies.
		g.account.Close(time.Time{}, l.grant)
	} else {
		g.account.Close(time.Now(), l.grant)
		delete(g.leases, l.grant)
	}
	g.wakeWaiters()
}

// wakeWaiters grants memory to waiting requests. g.mu must be held.
func (g *Gate) wakeWaiters() {
	if g.account.Waiters() > 0 {
		g.settle(time.Now())
	}
}

// Hold adds memory of a kind that cannot wait, or releases it if n is negative.
func (g *Gate) Hold(k Kind, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Hold(k, n)
	if n < 0 {
		g.wakeWaiters()
	}
}

// Fits reports whether n more bytes leave room for a whole body.
func (g *Gate) Fits(n int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.account.Fits(n)
}

// Status returns the memory held by each kind, the number of waiting requests and the counts.
func (g *Gate) Status() (held [kinds]int64, waiters int, counts Counts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.account.held, g.account.waiters, g.counts
}
