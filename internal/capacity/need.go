package capacity

import (
	"cmp"
	"math"
	"time"
)

// Need is the requirement for a load, in engines.
type Need struct {
	// Engines is the number of engines.
	Engines int
	// OnDemand is the number of on-demand engines among them, which serve the most urgent tier without any spot engine.
	OnDemand int
	// Survivors is the number of engines that must remain after the loss of all spot engines of one zone.
	Survivors int
	// Work is the engine time that the load needs, in prefilled prompt tokens per second, and Speed what an engine does.
	Work, Speed float64
	// Utilization is the utilization that the class targets allow.
	Utilization float64
}

func ceil(v float64) int { return int(math.Ceil(v - 1e-9)) }

// work returns the engine time that a class needs, in prefilled prompt tokens per second.
func (c *Class) work() float64 { return prefillOverhead*c.Prefill + decodeCost*c.Decode }

// loadSample is the load at one time, in prefilled prompt tokens per second.
type loadSample struct {
	at time.Time
	// total is the work of all classes and largest that of the class with the most. urgent is the work of the
	// most urgent tier.
	total, largest, urgent float64
	streams                int
}

// loadHistory keeps the load of the last peakWindow.
type loadHistory struct {
	samples []loadSample
	// smoothed holds the last rates of each class and smoothedAt their time, to compute the rate since.
	smoothed   map[string]Class
	smoothedAt time.Time
	// since is when the present load was first seen, and start the first observation.
	since, start time.Time
	// speed is the prefill speed of an engine, in tokens per second, and measured is set when it has been measured.
	speed    float64
	measured bool
}

// seen reports whether the load has been observed long enough to lower the capacity, and what an engine does.
func (h *loadHistory) seen(now time.Time) bool {
	if !h.since.IsZero() {
		return now.Sub(h.since) >= seenAfter && h.measured
	}
	return now.Sub(h.start) >= idleAfter
}

// idle reports whether there has been no load since the first observation.
func (h *loadHistory) idle() bool { return h.since.IsZero() }

// observe adds the load of an Input and returns the requirement for the largest load within peakWindow.
func (h *loadHistory) observe(now time.Time, in Input, o *Options) Need {
	if h.start.IsZero() {
		h.start = now
	}
	h.observeSpeed(in, o)
	classes := h.withJumps(now, in)
	s := loadSample{at: now, streams: in.Streams}
	requests, mostUrgent := 0.0, math.MaxInt
	for i := range classes {
		if classes[i].Requests > 0 {
			mostUrgent = min(mostUrgent, classes[i].Tier)
		}
	}
	for i := range classes {
		c := &classes[i]
		requests += c.Requests
		s.total += c.work()
		s.largest = max(s.largest, c.work())
		if c.Tier == mostUrgent {
			s.urgent += c.work()
		}
	}
	if requests >= minRequests && h.since.IsZero() {
		h.since = now
	}
	s.total += float64(in.PendingPrefill) / backlogTime.Seconds()
	// Callers that were refused may not have come back yet.
	s.total *= 1 + in.Refused
	h.samples = append(h.samples, s)
	for len(h.samples) > 1 && now.Sub(h.samples[0].at) > peakWindow {
		h.samples = h.samples[1:]
	}
	return h.need(in, classes, o)
}

// observeSpeed updates the prefill speed of an engine.
func (h *loadHistory) observeSpeed(in Input, o *Options) {
	measured := cmp.Or(o.PrefillSpeed, in.PrefillSpeed)
	switch {
	case measured > 0 && !h.measured:
		h.speed, h.measured = clampSpeed(measured, o), true
	case measured > 0:
		h.speed += speedSmoothing * (clampSpeed(measured, o) - h.speed)
	case !h.measured:
		h.speed = maxMeasuredSpeed
	}
}

// clampSpeed limits a measured speed.
func clampSpeed(measured float64, o *Options) float64 {
	if o.PrefillSpeed > 0 {
		return o.PrefillSpeed
	}
	return min(max(measured, minMeasuredSpeed), maxMeasuredSpeed)
}

// withJumps returns the classes with the rates of the last interval for those whose load has jumped. The smoothed rates
// follow a jump only after the time in which the first engines for it can boot.
func (h *loadHistory) withJumps(now time.Time, in Input) []Class {
	last, elapsed := h.smoothed, now.Sub(h.smoothedAt)
	h.smoothed, h.smoothedAt = map[string]Class{}, now
	classes := append([]Class(nil), in.Classes...)
	for i := range classes {
		c := &classes[i]
		h.smoothed[c.Name] = *c
		before, known := last[c.Name]
		if !known || in.HalfLife <= 0 || elapsed < in.HalfLife/4 {
			continue
		}
		kept := math.Exp2(-float64(elapsed) / float64(in.HalfLife))
		ratio := (c.Requests - kept*before.Requests) / (1 - kept) / max(c.Requests, minRequests)
		if ratio < jumpRatio {
			continue
		}
		ratio = min(ratio, maxJumpRatio)
		c.Requests, c.Prefill, c.Decode = ratio*c.Requests, ratio*c.Prefill, ratio*c.Decode
	}
	return classes
}

// need returns the requirement for the largest load within peakWindow.
func (h *loadHistory) need(in Input, classes []Class, o *Options) Need {
	var peak loadSample
	var burst float64
	for _, s := range h.samples {
		peak.total, peak.urgent = max(peak.total, s.total), max(peak.urgent, s.urgent)
		peak.streams = max(peak.streams, s.streams)
		burst = max(burst, s.total+(o.BurstFactor-1)*h.usual(s.largest))
	}
	speed := h.speed * meanSpeed(in.Endpoints)
	n := Need{Work: peak.total, Speed: speed, Utilization: utilization(classes, speed, o)}
	n.Engines = max(
		ceil(peak.total/(speed*n.Utilization)),
		ceil(burst/(speed*burstUtilization)),
		ceil(float64(peak.streams)/(streamUtilization*float64(max(in.Pool.Engine.Slots, 1)))),
		1)
	n.OnDemand = min(n.Engines, max(ceil(peak.urgent/(speed*urgentUtilization)), ceil(o.MinOnDemand*float64(n.Engines)), 1))
	n.Survivors = min(n.Engines, max(ceil(peak.total/(speed*survivorUtilization)), n.OnDemand))
	return n
}

// usual limits the work of the largest class to the mean within peakWindow, so that no further burst is expected on top of
// one in progress.
func (h *loadHistory) usual(largest float64) float64 {
	sum := 0.0
	for _, s := range h.samples {
		sum += s.largest
	}
	return min(largest, sum/float64(len(h.samples)))
}

// meanSpeed returns the mean relative speed of the endpoints that serve. Faster ones count as 1, because a measurement on
// few requests may be too high.
func meanSpeed(endpoints []Endpoint) float64 {
	const minSpeed = 0.3 // slower endpoints get no requests, and count as failing before that
	sum, n := 0.0, 0
	for _, e := range endpoints {
		if !e.Draining && !e.Failing && e.Speed > 0 {
			sum += min(e.Speed, 1)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return max(sum/float64(n), minSpeed)
}

// utilization returns the largest utilization with which the target fraction of each class waits no longer than its
// first-byte target allows. For one engine, the probability of a wait above w is taken as u*exp(-(1-u)*w/s) for the
// utilization u and the mean prefill time s of the requests that share it, as in a queue with one server. A request is late
// only if two engines have that wait: the one with its cached parts and the best one that they can be copied to.
func utilization(classes []Class, speed float64, o *Options) float64 {
	result := o.MaxUtilization
	shared := sharedPrefillTime(classes, speed)
	for i := range classes {
		c := &classes[i]
		if c.Requests <= 0 || c.FirstByte <= 0 {
			continue
		}
		own := prefillOverhead * c.Prefill / c.Requests / speed
		others := shared
		if strict(classes, c) {
			// Placement gives the classes with the shortest gap target engines of their own.
			others = own
		}
		slack := waitFraction*c.FirstByte.Seconds() - own
		for result > minUtilization && math.Pow(result*math.Exp(-(1-result)*slack/max(others, 1e-3)), 2) > 1-o.Target {
			result -= 0.01
		}
	}
	return max(result, min(minUtilization, o.MaxUtilization))
}

// sharedPrefillTime returns the mean prefill time, in seconds, of the requests of the classes that share engines.
func sharedPrefillTime(classes []Class, speed float64) float64 {
	var tokens, requests float64
	for i := range classes {
		if !strict(classes, &classes[i]) {
			tokens += prefillOverhead * classes[i].Prefill
			requests += classes[i].Requests
		}
	}
	if requests == 0 {
		return 0
	}
	return tokens / requests / speed
}

// strict reports whether a class has the shortest gap target and others have longer ones.
func strict(classes []Class, c *Class) bool {
	longer := false
	for i := range classes {
		if g := classes[i].EventGap; g > 0 && g < c.EventGap {
			return false
		} else if g > c.EventGap {
			longer = true
		}
	}
	return longer && c.EventGap > 0
}
