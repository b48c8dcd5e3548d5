// Package health detects slow and crashed endpoints and temporarily ejects them.
//
// An endpoint is slow when its progress rate (tokens per second and attempt) stays below half of the median of
// all ready endpoints for two seconds. At most a third of the endpoints may be out of use at a time: when more
// are slow, they probably share a cause, and ejecting them would only remove capacity. As an exception, one of two
// endpoints is ejected when it crashes. An ejected endpoint first gets one probe request at the end of its ejection
// period. After that request has succeeded or streamed at normal speed, the endpoint gets a gradually growing share
// of its slots. The period doubles when an endpoint is ejected again soon after its last ejection.
//
// The package has no clock and no locks: callers pass the time, as the duration since a fixed start, and
// serialize access.
package health

import (
	"slices"
	"time"
)

// State says whether an endpoint may receive requests.
type State uint8

// The states of an endpoint.
const (
	// Ready endpoints receive requests up to their share of slots, which grows after an ejection.
	Ready State = iota
	// Ejected endpoints receive no requests.
	Ejected
	// Probing endpoints receive one probe request at a time.
	Probing
)

// String returns the state's name as shown to operators.
func (s State) String() string {
	switch s {
	case Ejected:
		return "ejected"
	case Probing:
		return "trial"
	}
	return "ready"
}

const (
	// slowRatio is the fraction of the median progress rate below which an endpoint is slow.
	slowRatio = 0.5
	// slowWindow is how long an endpoint must be slow before it is ejected. It is also the longest time without
	// progress before a streaming endpoint counts as stalled.
	slowWindow = 2 * time.Second
	// TickInterval is the time between two evaluations.
	TickInterval = 500 * time.Millisecond
	// minMeasured is the number of measured endpoints required for a meaningful median.
	minMeasured = 3
	// maxUnavailableDivisor limits the endpoints out of use at a time to their total number divided by it.
	maxUnavailableDivisor = 3
	// minEjection and maxEjection bound the ejection period.
	minEjection = 5 * time.Second
	maxEjection = time.Minute
	// ejectionResetAfter is the time without an ejection after which the period returns to minEjection.
	ejectionResetAfter = 5 * time.Minute
	// rampInterval is the time between two increases of a returning endpoint's share of slots.
	rampInterval = 2 * time.Second
	// initialShare is the share of its slots that a returning endpoint gets first. It doubles with each
	// rampInterval.
	initialShare = 0.25
	// maxFailures is the number of consecutive failures that count as a crash.
	maxFailures = 5
)

// Endpoint is the health state of one endpoint.
type Endpoint struct {
	state State
	share float64
	// tokens and elapsed (seconds) accumulate the reported progress since the last update of rate.
	tokens  float64
	elapsed float64
	// rate is the smoothed progress rate in tokens per second and attempt. It is valid only while measured is
	// set.
	rate     float64
	measured bool
	// streaming counts the attempts that have received their first token and have not ended.
	streaming    int
	lastProgress time.Duration
	slowSince    time.Duration
	slow         bool
	failures     int
	// changedAt is the time of the last change of the state or share, and ejectedAt the start of the last
	// ejection. ejectedAt is valid only if everEjected is set.
	changedAt      time.Duration
	ejectedAt      time.Duration
	everEjected    bool
	ejectionPeriod time.Duration
}

// State returns the endpoint's current state.
func (e *Endpoint) State() State { return e.state }

// Share returns the fraction of the endpoint's slots that may be used.
func (e *Endpoint) Share() float64 { return e.share }

// FirstToken records that another attempt has received its first token.
func (e *Endpoint) FirstToken(now time.Duration) {
	e.streaming++
	e.lastProgress = now
}

// AttemptEnded records the end of an attempt for which FirstToken was called.
func (e *Endpoint) AttemptEnded() { e.streaming-- }

// Progress records the number of tokens that one attempt received during a period. Zero tokens mean a stall.
func (e *Endpoint) Progress(now time.Duration, tokens int, period time.Duration) {
	e.tokens += float64(tokens)
	e.elapsed += period.Seconds()
	if tokens > 0 {
		e.lastProgress = now
	}
}

// Monitor evaluates the endpoints of one shard.
type Monitor struct {
	endpoints []*Endpoint
	// median is the median progress rate of the ready endpoints, or 0 if fewer than minMeasured are measured.
	median   float64
	nextTick time.Duration
	// rates is a buffer for the calculation of the median.
	rates []float64
}

// NewMonitor returns a monitor without endpoints.
func NewMonitor() *Monitor { return &Monitor{} }

// Add adds a new endpoint to the monitor and returns it.
func (m *Monitor) Add() *Endpoint {
	e := &Endpoint{share: 1, ejectionPeriod: minEjection}
	m.endpoints = append(m.endpoints, e)
	return e
}

// Remove removes an endpoint from the monitor.
func (m *Monitor) Remove(e *Endpoint) {
	if i := slices.Index(m.endpoints, e); i >= 0 {
		m.endpoints = slices.Delete(m.endpoints, i, i+1)
	}
}

// Succeeded records a completed attempt. An endpoint in Probing becomes Ready, or is ejected again if it is slow.
func (m *Monitor) Succeeded(now time.Duration, e *Endpoint) {
	e.failures = 0
	if e.state != Probing {
		return
	}
	m.updateRate(now, e)
	if m.isSlow(e) {
		m.eject(now, e)
		return
	}
	m.reinstate(now, e)
}

// Failed records an attempt that failed for another reason than a broken connection, for example because the
// connection was refused. It ejects an endpoint in Probing. For a Ready endpoint, maxFailures consecutive failures
// count as a crash.
func (m *Monitor) Failed(now time.Duration, e *Endpoint) {
	e.failures++
	if e.state == Probing || e.failures >= maxFailures {
		m.Crashed(now, e)
	}
}

// Crashed records that the endpoint broke the connections of its attempts. Every affected attempt reports this.
// The first report ejects the endpoint, unless too many endpoints are out of use; further reports have no
// effect on an ejected endpoint. The failures of an endpoint that was not ejected still count, so that its next failure
// ejects it as soon as enough others are back.
func (m *Monitor) Crashed(now time.Duration, e *Endpoint) {
	if e.state == Ejected {
		return
	}
	// Unlike slowness, a crash is certain, so even one of two endpoints may be ejected.
	limit := len(m.endpoints) / maxUnavailableDivisor
	if len(m.endpoints) >= 2 {
		limit = max(1, limit)
	}
	if e.state == Probing || m.unavailable() < limit {
		m.eject(now, e)
	}
}

// Tick evaluates all endpoints and returns the time of the next evaluation. Calls before that time do nothing.
func (m *Monitor) Tick(now time.Duration) time.Duration {
	if now < m.nextTick {
		return m.nextTick
	}
	m.nextTick = now + TickInterval
	m.rates = m.rates[:0]
	for _, e := range m.endpoints {
		m.updateRate(now, e)
		if e.measured && e.state == Ready {
			m.rates = append(m.rates, e.rate)
		}
	}
	m.median = 0
	if len(m.rates) >= minMeasured {
		slices.Sort(m.rates)
		m.median = m.rates[len(m.rates)/2]
	}
	for _, e := range m.endpoints {
		m.evaluate(now, e)
	}
	return m.nextTick
}

// updateRate updates the endpoint's rate from the progress since the last update.
func (m *Monitor) updateRate(now time.Duration, e *Endpoint) {
	switch {
	case e.elapsed > 0:
		rate := e.tokens / e.elapsed
		if !e.measured {
			e.rate = rate
		}
		e.rate += 0.5 * (rate - e.rate)
		e.measured = true
	case e.streaming > 0 && now-e.lastProgress > slowWindow:
		// Streaming attempts without progress reports are stalled.
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
		if now-e.changedAt >= e.ejectionPeriod {
			e.state, e.changedAt, e.measured, e.slow = Probing, now, false, false
		}
		return
	case Probing:
		if e.measured && e.streaming > 0 && now-e.changedAt >= slowWindow && !m.isSlow(e) {
			m.reinstate(now, e)
		}
	case Ready:
		if e.share < 1 && now-e.changedAt >= rampInterval {
			e.share, e.changedAt = min(1, 2*e.share), now
		}
	}
	if !m.isSlow(e) {
		e.slow = false
		return
	}
	if !e.slow {
		e.slow, e.slowSince = true, now
	}
	if now-e.slowSince >= slowWindow && (e.state == Probing || m.unavailable() < len(m.endpoints)/maxUnavailableDivisor) {
		m.eject(now, e)
	}
}

// unavailable returns the number of endpoints that are Ejected or Probing.
func (m *Monitor) unavailable() int {
	n := 0
	for _, e := range m.endpoints {
		if e.state != Ready {
			n++
		}
	}
	return n
}

func (m *Monitor) eject(now time.Duration, e *Endpoint) {
	if e.everEjected && now-e.ejectedAt < ejectionResetAfter {
		e.ejectionPeriod = min(2*e.ejectionPeriod, maxEjection)
	} else {
		e.ejectionPeriod = minEjection
	}
	e.state, e.changedAt, e.slow = Ejected, now, false
	e.ejectedAt, e.everEjected = now, true
	e.failures = 0
}

func (m *Monitor) reinstate(now time.Duration, e *Endpoint) {
	e.state, e.share, e.changedAt, e.slow = Ready, initialShare, now, false
}
