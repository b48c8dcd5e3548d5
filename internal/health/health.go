// Package health finds stragglers and crashed endpoints and takes them out of use for a while.
//
// An endpoint is a straggler when its progress rate (tokens per second and attempt) stays below
// half of its peers' median for two seconds. At most a third of the endpoints is out of use at a
// time: when more look slow, the cause is likely common to all. An ejected endpoint returns after
// a period by a trial with one request, then with a growing share of its slots. The period doubles
// with each ejection that follows soon after the last.
//
// The package is pure: time is passed in and callers serialize access.
package health

import (
	"slices"
	"time"
)

// State says how an endpoint may be used.
type State uint8

// The states of an endpoint.
const (
	// Ready endpoints receive work, after a trial first with a part of their slots.
	Ready State = iota
	// Ejected endpoints receive none.
	Ejected
	// Trial endpoints receive one request at a time.
	Trial
)

// String returns the state's name for operators.
func (s State) String() string {
	switch s {
	case Ejected:
		return "ejected"
	case Trial:
		return "trial"
	}
	return "ready"
}

const (
	// slowRatio is the part of the median rate below which an endpoint is slow.
	slowRatio = 0.5
	// window is how long an endpoint must be slow, and the longest expected gap in its progress.
	window = 2 * time.Second
	// TickInterval is the time between two evaluations.
	TickInterval = 500 * time.Millisecond
	// minPeers is the number of measured endpoints from which a median is meaningful.
	minPeers = 3
	// maxShare is the inverse of the largest part of the endpoints that is out of use.
	maxShare = 3
	// firstPeriod and lastPeriod bound the time of an ejection.
	firstPeriod = 5 * time.Second
	lastPeriod  = time.Minute
	// forgetAfter is the time without an ejection after which the period is back at its first value.
	forgetAfter = 5 * time.Minute
	// stepTime is the time between two increases of a returning endpoint's share.
	stepTime = 2 * time.Second
	// firstShare is the share of its slots with which an endpoint returns; each step doubles it.
	firstShare = 0.25
	// maxFailures is the number of consecutive failures that counts as a crash.
	maxFailures = 5
)

// Endpoint is the health of one endpoint.
type Endpoint struct {
	state State
	share float64
	// tokens and elapsed accumulate progress since the last tick.
	tokens  float64
	elapsed float64
	// rate is the smoothed progress rate; measured says that it is current.
	rate     float64
	measured bool
	// streaming counts attempts that have a first token.
	streaming  int
	progressAt time.Duration
	slowSince  time.Duration
	slow       bool
	failures   int
	// since is when the state or share last changed, ejectedAt when the last ejection began.
	since     time.Duration
	ejectedAt time.Duration
	ejected   bool
	period    time.Duration
}

// State returns the endpoint's state.
func (e *Endpoint) State() State { return e.state }

// Share returns the part of the endpoint's slots that may be used.
func (e *Endpoint) Share() float64 { return e.share }

// FirstToken says that one more attempt has begun to stream.
func (e *Endpoint) FirstToken(now time.Duration) {
	e.streaming++
	e.progressAt = now
}

// Ended says that a streaming attempt has ended.
func (e *Endpoint) Ended() { e.streaming-- }

// Progress records the tokens of one attempt over a period. Zero tokens are a stall.
func (e *Endpoint) Progress(now time.Duration, tokens int, period time.Duration) {
	e.tokens += float64(tokens)
	e.elapsed += period.Seconds()
	if tokens > 0 {
		e.progressAt = now
	}
}

// Monitor watches the endpoints of one shard.
type Monitor struct {
	endpoints []*Endpoint
	median    float64
	nextTick  time.Duration
	rates     []float64
}

// NewMonitor returns a monitor without endpoints.
func NewMonitor() *Monitor { return &Monitor{} }

// Add starts to watch an endpoint.
func (m *Monitor) Add() *Endpoint {
	e := &Endpoint{share: 1, period: firstPeriod}
	m.endpoints = append(m.endpoints, e)
	return e
}

// Remove stops watching an endpoint.
func (m *Monitor) Remove(e *Endpoint) {
	if i := slices.Index(m.endpoints, e); i >= 0 {
		m.endpoints = slices.Delete(m.endpoints, i, i+1)
	}
}

// Succeeded records a completed attempt.
func (m *Monitor) Succeeded(now time.Duration, e *Endpoint) {
	e.failures = 0
	if e.state != Trial {
		return
	}
	m.fold(now, e)
	if m.isSlow(e) {
		m.eject(now, e)
		return
	}
	m.reinstate(now, e)
}

// Failed records an attempt that failed without a broken connection.
func (m *Monitor) Failed(now time.Duration, e *Endpoint) {
	e.failures++
	if e.state == Trial || e.failures >= maxFailures {
		m.Crashed(now, e)
	}
}

// Crashed records that the endpoint broke the connections of its attempts. Each of the attempts
// reports this, and only the first report ejects the endpoint.
func (m *Monitor) Crashed(now time.Duration, e *Endpoint) {
	e.failures = 0
	if e.state == Ejected {
		return
	}
	// A crash is certain, unlike slowness, so that also one of two endpoints may be ejected.
	limit := len(m.endpoints) / maxShare
	if len(m.endpoints) >= 2 {
		limit = max(1, limit)
	}
	if e.state == Trial || m.out() < limit {
		m.eject(now, e)
	}
}

// Tick evaluates all endpoints. It returns when it wants to be called next.
func (m *Monitor) Tick(now time.Duration) time.Duration {
	if now < m.nextTick {
		return m.nextTick
	}
	m.nextTick = now + TickInterval
	m.rates = m.rates[:0]
	for _, e := range m.endpoints {
		m.fold(now, e)
		if e.measured && e.state == Ready {
			m.rates = append(m.rates, e.rate)
		}
	}
	m.median = 0
	if len(m.rates) >= minPeers {
		slices.Sort(m.rates)
		m.median = m.rates[len(m.rates)/2]
	}
	for _, e := range m.endpoints {
		m.evaluate(now, e)
	}
	return m.nextTick
}

// fold turns the progress since the last tick into the endpoint's rate.
func (m *Monitor) fold(now time.Duration, e *Endpoint) {
	switch {
	case e.elapsed > 0:
		rate := e.tokens / e.elapsed
		if !e.measured {
			e.rate = rate
		}
		e.rate += 0.5 * (rate - e.rate)
		e.measured = true
	case e.streaming > 0 && now-e.progressAt > window:
		// Attempts that stream but report nothing have stalled.
		e.rate, e.measured = 0, true
	case e.streaming == 0:
		e.measured = false
	}
	e.tokens, e.elapsed = 0, 0
}

func (m *Monitor) isSlow(e *Endpoint) bool {
	return e.measured && m.median > 0 && e.rate < slowRatio*m.median
}

func (m *Monitor) evaluate(now time.Duration, e *Endpoint) {
	switch e.state {
	case Ejected:
		if now-e.since >= e.period {
			e.state, e.since, e.measured, e.slow = Trial, now, false, false
		}
		return
	case Trial:
		if e.measured && e.streaming > 0 && now-e.since >= window && !m.isSlow(e) {
			m.reinstate(now, e)
		}
	case Ready:
		if e.share < 1 && now-e.since >= stepTime {
			e.share, e.since = min(1, 2*e.share), now
		}
	}
	if !m.isSlow(e) {
		e.slow = false
		return
	}
	if !e.slow {
		e.slow, e.slowSince = true, now
	}
	if now-e.slowSince >= window && (e.state == Trial || m.out() < len(m.endpoints)/maxShare) {
		m.eject(now, e)
	}
}

// out counts the endpoints that are out of use.
func (m *Monitor) out() int {
	n := 0
	for _, e := range m.endpoints {
		if e.state != Ready {
			n++
		}
	}
	return n
}

func (m *Monitor) eject(now time.Duration, e *Endpoint) {
	if e.ejected && now-e.ejectedAt < forgetAfter {
		e.period = min(2*e.period, lastPeriod)
	} else {
		e.period = firstPeriod
	}
	e.state, e.since, e.slow = Ejected, now, false
	e.ejectedAt, e.ejected = now, true
}

func (m *Monitor) reinstate(now time.Duration, e *Endpoint) {
	e.state, e.share, e.since, e.slow = Ready, firstShare, now, false
}
