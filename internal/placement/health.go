package placement

import (
	"math"
	"time"
)

const (
	// firstPause and lastPause bound the time for which an unreachable endpoint gets no requests; it doubles
	// with each failed trial.
	firstPause = 300 * time.Millisecond
	lastPause  = 4 * time.Second
	// failureGain is the weight of one answer in the share of failures.
	failureGain = 0.15
	// failureMemory is the time after which the share of failures has halved without further requests, so
	// that an endpoint that recovered is tried again.
	failureMemory = 3 * time.Second
)

// health follows the failures of an endpoint.
type health struct {
	downUntil time.Time
	pause     time.Duration
	failures  float64
	updated   time.Time
	// trial is set while the one request runs that an endpoint gets after a pause.
	trial bool
}

// usable says whether the endpoint may get a request. After a pause it gets one at a time until it has served.
func (h *health) usable(now time.Time, running int) bool {
	if now.Before(h.downUntil) {
		return false
	}
	return h.pause == 0 || !h.trial || running == 0
}

func (h *health) began(now time.Time) {
	if h.pause > 0 && !now.Before(h.downUntil) {
		h.trial = true
	}
}

func (h *health) failureShare(now time.Time) float64 {
	if h.failures == 0 {
		return 0
	}
	return h.failures * math.Exp2(-float64(now.Sub(h.updated))/float64(failureMemory))
}

func (h *health) record(now time.Time, failure float64) {
	share := h.failureShare(now)
	h.failures = share + failureGain*(failure-share)
	h.updated = now
}

func (h *health) succeeded(now time.Time) {
	h.record(now, 0)
	h.pause, h.trial = 0, false
}

func (h *health) failed(now time.Time) {
	h.record(now, 1)
	h.trial = false
}

// unreachable takes the endpoint out of use. Several requests that fail by the same fault count once.
func (h *health) unreachable(now time.Time) {
	h.record(now, 1)
	h.trial = false
	if now.Before(h.downUntil) {
		return
	}
	h.pause = min(max(2*h.pause, firstPause), lastPause)
	h.downUntil = now.Add(h.pause)
}
