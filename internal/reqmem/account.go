// Package reqmem accounts for the memory that requests hold in a daemon: bodies, response buffers and connections.
//
// Account decides which body may grow. It is pure: it has no lock, no goroutine and no clock. Gate is the blocking layer
// on top of it that request handlers use. The load that both respond to is the number of bytes that callers send while
// earlier bodies are still in memory.
//
// Memory is reserved as bytes arrive. An announced length reserves nothing. Bodies that have not arrived completely can
// hold the whole budget while each waits for the rest, so one of them at a time is the senior: the others leave it room
// for a whole body, and it can always be completed.
package reqmem

import (
	"slices"
	"time"
)

const (
	// SmallBody is the size in bytes up to which a body is admitted without waiting for others. Ordinary requests are
	// smaller.
	SmallBody = 16 << 10
	// smallReserve is the part of the budget that may be exceeded by small bodies alone.
	smallReserve = 0.25
	// callerShare is the part of the budget that the bodies of one address, and those of one workspace, may hold. It
	// leaves room for others while one caller sends as much as it can.
	callerShare = 0.75
	// stallTime is the time without a byte after which a body is abandoned when others wait for memory. Links lose packets or
	// slow down for seconds; one that delivers nothing for longer holds memory that others need.
	stallTime = 3 * time.Second
	// seniorTime and seniorBytes are the least progress of the senior body while others wait for memory: a link of 10
	// Mbit/s that a crowd shares gives each caller more.
	seniorTime  = 3 * time.Second
	seniorBytes = 48 << 10
	// maxWait limits the time that a request waits for memory, and waitPart is the part of the time to its deadline that
	// it may wait. With half of that time, requests that take the endpoint half of it were forwarded too late to end.
	maxWait  = 5 * time.Second
	waitPart = 0.25
	// rateWindow is the time over which the rate of releases is measured.
	rateWindow = 2 * time.Second
	// minRetryAfter and maxRetryAfter limit the time after which a rejected caller is told to retry.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Kind is the use of memory.
type Kind int

// The kinds of memory.
const (
	Body Kind = iota
	Response
	Connection
	kinds
)

// String returns the name of the kind in metrics.
func (k Kind) String() string { return [...]string{"body", "response", "connection"}[k] }

// Claim describes the request that needs memory.
type Claim struct {
	// Tier is the urgency; lower tiers get memory first.
	Tier int
	// Workspace is the name of the caller's workspace, or empty.
	Workspace string
	// Address is the caller's address without its port.
	Address string
	// Deadline is the time after which the response is useless.
	Deadline time.Time
	// Length is the announced length of the body, or -1. It is only used to estimate waiting times.
	Length int64
}

// state is what happens to the body of a grant.
type state int

const (
	// growing bodies are being received.
	growing state = iota
	// waiting bodies wait for memory.
	waiting
	// complete bodies have been received; their requests are forwarded.
	complete
	// abandoned bodies give up their memory to others.
	abandoned
	closed
)

// Grant is the memory that one request holds.
type Grant struct {
	claim Claim
	state state
	held  int64
	// want is the growth that a waiting body needs, and giveUp the time at which it stops waiting for it.
	want   int64
	giveUp time.Time
	// waited is the time spent waiting, and waitStart the start of the current wait.
	waited    time.Duration
	waitStart time.Time
	// progressAt is the time of the last byte.
	progressAt time.Time
	// order is the order of arrival among large bodies; 0 for a small one, which is not listed.
	order uint64
}

// Account decides which bodies may grow. It is not safe for concurrent use.
type Account struct {
	// configured is the budget of the settings, and budget that or maxBody, whichever is larger.
	configured, budget, maxBody int64
	held                        [kinds]int64
	// large are the grants of more than SmallBody that are not closed, in order of arrival.
	large     []*Grant
	lastOrder uint64
	senior    *Grant
	// seniorSince is the start of the current measurement of the senior's progress, and seniorHeld what it held then.
	seniorSince time.Time
	seniorHeld  int64
	waiters     int
	addresses   map[string]owned
	workspaces  map[string]owned
	// released are the bytes that large bodies released since windowStart, and rate the bytes a second of the window
	// before it; 0 if none was measured.
	released    int64
	windowStart time.Time
	rate        float64
}

// New returns an Account with a budget in bytes. maxBody is the size of the largest legal body, which the budget always
// includes.
func New(budget, maxBody int64) *Account {
	return &Account{configured: budget, budget: max(budget, maxBody), maxBody: maxBody, addresses: map[string]owned{}, workspaces: map[string]owned{}}
}

// SetMaxBody changes the size of the largest legal body.
func (a *Account) SetMaxBody(n int64) { a.maxBody, a.budget = n, max(a.configured, n) }

// Held returns the memory held by a kind, in bytes.
func (a *Account) Held(k Kind) int64 { return a.held[k] }

// total returns the memory held by all kinds.
func (a *Account) total() int64 { return a.held[Body] + a.held[Response] + a.held[Connection] }

// Waiters returns the number of bodies that wait for memory.
func (a *Account) Waiters() int { return a.waiters }

// Hold adds memory that cannot wait: that of a connection or of the response to a request that has been forwarded. n is
// negative when the memory is released.
func (a *Account) Hold(k Kind, n int64) { a.held[k] += n }

// Fits reports whether n more bytes leave room for a whole body.
func (a *Account) Fits(n int64) bool { return a.total()+n <= a.budget-a.maxBody }

// Open returns the grant of a request that holds nothing yet.
func (a *Account) Open(now time.Time, c Claim) *Grant { return &Grant{claim: c, progressAt: now} }

// Progress records that bytes of the body have arrived.
func (a *Account) Progress(now time.Time, g *Grant) { g.progressAt = now }

// Outcome is the decision about the growth of a body.
type Outcome int

// The outcomes.
const (
	Granted Outcome = iota
	Waiting
	Rejected
)

// Grow asks for n more bytes. If the outcome is Waiting, the growth is granted by a later call of Schedule, or rejected by
// one of Expire.
func (a *Account) Grow(now time.Time, g *Grant, n int64) Outcome {
	switch {
	case g.state == abandoned:
		return Rejected
	case g.held+n <= SmallBody:
		if a.total()+n > a.budget+int64(smallReserve*float64(a.budget)) {
			return Rejected
		}
		a.add(g, n)
		return Granted
	}
	if g.order == 0 {
		a.list(g)
	}
	g.progressAt = now
	if a.waiters == 0 && a.mayGrow(now, g, n) {
		a.add(g, n)
		return Granted
	}
	if g == a.senior && a.total()+n <= a.budget {
		a.add(g, n)
		return Granted
	}
	limit := time.Duration(waitPart*float64(g.claim.Deadline.Sub(now))) - g.waited
	limit = min(limit, maxWait-g.waited)
	if limit <= 0 || a.expectedWait(now, g) > limit {
		a.abandon(g)
		return Rejected
	}
	g.state, g.want, g.waitStart, g.giveUp = waiting, n, now, now.Add(limit)
	a.waiters++
	return Waiting
}

// list adds a body that is no longer small to the list of large ones.
func (a *Account) list(g *Grant) {
	a.lastOrder++
	g.order = a.lastOrder
	a.large = append(a.large, g)
	a.addOwners(g, owned{held: g.held})
}

// add gives n bytes to a grant.
func (a *Account) add(g *Grant, n int64) {
	g.held += n
	a.held[Body] += n
	if g.order != 0 {
		a.addOwners(g, owned{held: n})
	}
}

// mayGrow reports whether a body may grow by n bytes. The first body that asks and may be the senior becomes it if there
// is none.
func (a *Account) mayGrow(now time.Time, g *Grant, n int64) bool {
	if a.senior == nil && a.maySucceed(g) {
		a.setSenior(now, g)
	}
	if g == a.senior {
		return a.total()+n <= a.budget
	}
	others := a.total()
	if a.senior != nil {
		others -= a.senior.held
	}
	return others+n <= a.budget-a.maxBody && a.withinShare(g, n)
}

func (a *Account) setSenior(now time.Time, g *Grant) {
	a.senior, a.seniorSince, a.seniorHeld = g, now, g.held
}

// expectedWait estimates how long a body would wait, from the bytes that the waiting bodies before it need and the rate at
// which memory was released lately. It is 0 if no rate is known.
func (a *Account) expectedWait(now time.Time, g *Grant) time.Duration {
	a.roll(now)
	if a.rate == 0 {
		return 0
	}
	ahead := a.missing(g)
	for _, o := range a.large {
		if o != g && (o.state == waiting || o.state == growing) && before(o, g) {
			ahead += a.missing(o)
		}
	}
	return time.Duration(float64(ahead) / a.rate * float64(time.Second))
}

// missing returns the bytes that a body still needs, or 0 if its length is unknown.
func (a *Account) missing(g *Grant) int64 {
	return max(0, min(g.claim.Length, a.maxBody)-g.held)
}

// before reports whether g gets memory before o: the more urgent tier first, then the earlier arrival.
func before(g, o *Grant) bool {
	if g.claim.Tier != o.claim.Tier {
		return g.claim.Tier < o.claim.Tier
	}
	return g.order < o.order
}

// roll ends the window of the release rate when it is over.
func (a *Account) roll(now time.Time) {
	if elapsed := now.Sub(a.windowStart); elapsed >= rateWindow {
		a.rate = 0
		if elapsed < 2*rateWindow {
			a.rate = float64(a.released) / elapsed.Seconds()
		}
		a.released, a.windowStart = 0, now
	}
}

// Schedule grants memory to waiting bodies and returns them, the more urgent first. It is to be called after memory has
// been released.
func (a *Account) Schedule(now time.Time) []*Grant {
	if a.waiters == 0 {
		return nil
	}
	queue := make([]*Grant, 0, a.waiters)
	for _, g := range a.large {
		if g.state == waiting {
			queue = append(queue, g)
		}
	}
	slices.SortFunc(queue, func(g, o *Grant) int {
		if before(g, o) {
			return -1
		}
		return 1
	})
	var granted []*Grant
	for _, g := range queue {
		if !a.mayGrow(now, g, g.want) {
			continue
		}
		a.add(g, g.want)
		a.endWait(now, g, growing)
		granted = append(granted, g)
	}
	return granted
}

// endWait ends the wait of a body.
func (a *Account) endWait(now time.Time, g *Grant, next state) {
	g.waited += now.Sub(g.waitStart)
	g.state, g.want, g.progressAt = next, 0, now
	a.waiters--
}

// Expire returns the bodies that are to be abandoned now: waiting ones that have waited too long, and, while others wait,
// those that make no progress. Their grants no longer grow; their memory is released by Close.
func (a *Account) Expire(now time.Time) []*Grant {
	if a.waiters == 0 {
		return nil
	}
	var out []*Grant
	for _, g := range a.large {
		if g.state == waiting && !now.Before(g.giveUp) {
			a.endWait(now, g, growing)
			a.abandon(g)
			out = append(out, g)
		}
	}
	if a.waiters == 0 {
		return out
	}
	for _, g := range a.large {
		if g.state == growing && now.Sub(g.progressAt) >= stallTime {
			a.abandon(g)
			out = append(out, g)
		}
	}
	if s := a.senior; s != nil && s.state == growing && now.Sub(a.seniorSince) >= seniorTime {
		if s.held-a.seniorHeld < seniorBytes {
			a.abandon(s)
			return append(out, s)
		}
		a.seniorSince, a.seniorHeld = now, s.held
	}
	return out
}

// abandon makes a body give way to others.
func (a *Account) abandon(g *Grant) {
	g.state = abandoned
	a.dropSenior(g)
}

func (a *Account) dropSenior(g *Grant) {
	if a.senior == g {
		a.senior = nil
	}
}

// Complete records that the whole body has arrived. It reports false if the body has been abandoned.
func (a *Account) Complete(g *Grant) bool {
	if g.state == abandoned {
		return false
	}
	g.state = complete
	if g.order != 0 {
		a.addOwners(g, owned{complete: g.held})
	}
	a.dropSenior(g)
	return true
}

// Close releases what a grant holds. Further calls have no effect.
func (a *Account) Close(now time.Time, g *Grant) {
	switch g.state {
	case closed:
		return
	case waiting:
		a.endWait(now, g, growing)
	}
	a.held[Body] -= g.held
	if g.order != 0 {
		released := owned{held: -g.held}
		if g.state == complete {
			released.complete = -g.held
		}
		a.addOwners(g, released)
		a.roll(now)
		a.released += g.held
		a.large = slices.DeleteFunc(a.large, func(o *Grant) bool { return o == g })
	}
	a.dropSenior(g)
	g.held, g.state = 0, closed
}

// RetryAfter returns the time after which a rejected request probably gets memory.
func (a *Account) RetryAfter(now time.Time, g *Grant) time.Duration {
	return min(max(a.expectedWait(now, g), minRetryAfter), maxRetryAfter)
}
