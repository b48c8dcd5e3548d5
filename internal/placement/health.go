package placement

import (
	"math"
	"time"
)

const (
	// initialBackoff and maxBackoff limit the time for which an unreachable endpoint receives no requests. It
	// doubles with each failed probe.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// failureSmoothing is the weight of one attempt in the failure rate.
	failureSmoothing = 0.15
	// failureHalfLife is the time in which the failure rate halves without further attempts, so that an
	// endpoint that has recovered is tried again.
	failureHalfLife = 3 * time.Second
)

// health tracks the failures of an endpoint.
type health struct {
	downUntil   time.Time
	backoff     time.Duration
	failureRate float64
	updated     time.Time
	// probing is set while the probe request after a back-off is in progress.
	probing bool
}

// usable reports whether the endpoint may receive a request while the given number of requests is in progress
// on it. After a back-off it receives one at a time until one succeeds.
func (h *health) usable(now time.Time, running int) bool {
	if now.Before(h.downUntil) {
		return false
	}
	return h.backoff == 0 || !h.probing || running == 0
}

func (h *health) started(now time.Time) {
	if h.backoff > 0 && !now.Before(h.downUntil) {
		h.probing = true
	}
}

func (h *health) currentFailureRate(now time.Time) float64 {
	if h.failureRate == 0 {
		return 0
	}
	return h.failureRate * math.Exp2(-float64(now.Sub(h.updated))/float64(failureHalfLife))
}

func (h *health) record(now time.Time, failure float64) {
	rate := h.currentFailureRate(now)
	h.failureRate = rate + failureSmoothing*(failure-rate)
	h.updated = now
}

func (h *health) succeeded(now time.Time) {
	h.record(now, 0)
	h.backoff, h.probing = 0, false
}

func (h *health) failed(now time.Time) {
	h.record(now, 1)
	h.probing = false
}

// unreachable starts a back-off. Failures during a back-off do not extend it, because several requests may fail
// for the same reason.
func (h *health) unreachable(now time.Time) {
	h.record(now, 1)
	h.backOff(now)
}

// backOff starts a back-off without counting a failure.
func (h *health) backOff(now time.Time) {
	h.probing = false
	if now.Before(h.downUntil) {
		return
	}
	h.backoff = min(max(2*h.backoff, initialBackoff), maxBackoff)
	h.downUntil = now.Add(h.backoff)
}
