package capacity

import "time"

// Options holds the adjustable figures of a Planner. Zero values select the defaults.
type Options struct {
	// Target is the fraction of requests whose first event is to arrive in time. Default DefaultTarget.
	Target float64
	// MaxUtilization limits the utilization of the engines, as a fraction of their speed, under the usual load. Default
	// DefaultMaxUtilization.
	MaxUtilization float64
	// BurstFactor is the factor by which the largest class may grow without warning; the engines must carry it until more
	// have booted. Default DefaultBurstFactor.
	BurstFactor float64
	// MinOnDemand is the smallest fraction of the engines that are on-demand. Default DefaultMinOnDemand.
	MinOnDemand float64
	// Step is the largest fraction of the engines that one decision removes. Default DefaultStep.
	Step float64
	// PrefillSpeed is the prefill speed of one engine in tokens per second. Default: as measured.
	PrefillSpeed float64
}

// Defaults of Options.
const (
	// DefaultTarget leaves one request in a hundred to chance: the wait behind others has no upper bound.
	DefaultTarget = 0.99
	// DefaultMaxUtilization is about that of 120 engines under the load of the largest deployment, with the speed as
	// measured. In the simulation of placement they serve as many requests in time as 140, also in a burst of 2.6 times in
	// any class; 80 engines lose up to 13 in 100 of a class then.
	DefaultMaxUtilization = 0.5
	// DefaultBurstFactor is the largest factor of the bursts that have been observed.
	DefaultBurstFactor = 2.6
	// DefaultMinOnDemand keeps a base that no reclaim affects. In the simulation of placement, 30 engines of 120 serve the
	// most urgent class as before and seven tenths of the next one in time, if the least urgent one is refused.
	DefaultMinOnDemand = 0.25
	// DefaultStep bounds what a decision takes away. Each removed engine takes its cached prompt parts with it.
	DefaultStep = 0.06
)

func (o *Options) setDefaults() {
	for _, f := range []struct {
		value    *float64
		fallback float64
	}{
		{&o.Target, DefaultTarget}, {&o.MaxUtilization, DefaultMaxUtilization}, {&o.BurstFactor, DefaultBurstFactor},
		{&o.MinOnDemand, DefaultMinOnDemand}, {&o.Step, DefaultStep},
	} {
		if *f.value == 0 {
			*f.value = f.fallback
		}
	}
}

// Figures of the requirement.
const (
	// decodeCost is the engine time of an output token relative to that of a prefilled prompt token, as in placement.
	decodeCost = 20.0
	// prefillOverhead is the ratio of all prefilled tokens to the unshared ones. The rest are shared parts that an engine
	// prefills because its cache has lost them or never had them.
	prefillOverhead = 1.15
	// waitFraction is the fraction of the first-byte target that admission lets a request wait at most.
	waitFraction = 0.8
	// minUtilization limits the effect of a target that no number of engines can meet, such as one shorter than the prefill.
	minUtilization = 0.25
	// burstUtilization is the utilization that is acceptable for the few seconds of a burst. Admission still keeps the
	// backlog within the targets there.
	burstUtilization = 0.85
	// survivorUtilization is the utilization after the loss of a zone's spot endpoints, until others have booted. It is that
	// of 80 engines under the load of the largest deployment, which lose 1 to 2 in 100 of a class.
	survivorUtilization = 0.8
	// urgentUtilization is the utilization of the on-demand endpoints by the classes of the most urgent tier, if no spot
	// endpoint is left. The least urgent classes are refused then.
	urgentUtilization = 0.8
	// streamUtilization is the fraction of the slots that may be in use. Placement regards an engine as full at 0.65.
	streamUtilization = 0.45
	// backlogTime is the time within which a backlog of prompt tokens is to be worked off.
	backlogTime = time.Second
	// peakWindow is the time for which the largest load counts. It exceeds the period of the load's waves.
	peakWindow = 12 * time.Second
	// jumpRatio is the ratio of the rate of the last interval to the smoothed one from which it counts as a jump. Smaller
	// ratios occur by chance at a hundred requests per second.
	jumpRatio = 1.3
	// maxJumpRatio limits the rate of a single interval, in which delayed reports may arrive together.
	maxJumpRatio = 4.0
	// minRequests is the rate from which there is a load, in requests per second.
	minRequests = 1.0
	// seenAfter is the time for which a load must have been seen before the capacity is lowered. The smoothed rates reach
	// nine tenths of the actual ones in that time.
	seenAfter = 5 * time.Second
	// idleAfter is the time without a load after which its absence counts as the load.
	idleAfter = 5 * time.Minute
	// speedSmoothing is the weight of a new measurement of the prefill speed.
	speedSmoothing = 0.2
	// maxMeasuredSpeed limits the measured prefill speed in tokens per second. A regression over short prompts may
	// overestimate it many times.
	maxMeasuredSpeed = 65_000
	// minMeasuredSpeed is the smallest measured speed. Engines of a plausible size are faster; a lower measurement reflects a
	// backlog, which counts anyway.
	minMeasuredSpeed = 5_000
)

// Figures of the allocation and of the moves.
const (
	// unseenOnDemandShare and unseenSurvivorShare are the fractions of the engines that are on-demand, and that must remain
	// after the loss of a zone's spot endpoints, before a load has been seen.
	unseenOnDemandShare = 0.35
	unseenSurvivorShare = 0.7
	// spotZoneShare is the largest fraction of the spot endpoints in one zone, and onDemandZoneShare the smallest fraction
	// of the on-demand ones, if there are at least three zones.
	spotZoneShare     = 0.4
	onDemandZoneShare = 0.2
	// raiseMargin is added to a requirement that has changed, and lowerMargin is how far one must fall to have an effect. The
	// largest load within peakWindow varies by about 5 in 100 by chance.
	raiseMargin = 0.02
	lowerMargin = 0.13
	// stableFor is the time for which the number of registered endpoints must have been the same before the first order,
	// and settleLimit the longest wait for that.
	stableFor   = 900 * time.Millisecond
	settleLimit = 6 * time.Second
	// observeFor is the time from the start of a term to the first order of fewer endpoints.
	observeFor = 5 * time.Second
	// lowerInterval is the shortest time between two decisions to order fewer endpoints.
	lowerInterval = 900 * time.Millisecond
	// idleStep replaces Options.Step before there is any load: the engines have no requests and empty caches.
	idleStep = 0.25
	// maxDrainingShare is the largest fraction of the endpoints that may be draining when more are removed.
	maxDrainingShare = 0.2
	// disturbedShare is the fraction of the endpoints that must be missing for a disturbance, and disturbedFor the time for
	// which nothing is lowered after one.
	disturbedShare = 0.04
	disturbedFor   = 5 * time.Second
	// missingGrace is the time in addition to the boot time after which missing endpoints count as lost. The platform
	// restarts a crashed endpoint within this time.
	missingGrace = 3 * time.Second
	// excessAfter is the time after which endpoints above the ordered number are believed to have been ordered by another
	// holder. It exceeds the time to drain.
	excessAfter = 15 * time.Second
	// loweredRetention is the time for which draining endpoints are explained by an order of fewer.
	loweredRetention = 10 * time.Second
	// reclaimBlock is the time for which no spot endpoints are ordered in a zone whose spot endpoints were reclaimed.
	reclaimBlock = 11 * time.Second
	// minBlock and maxBlock limit the time for which a kind is not ordered after the platform had none. It doubles with
	// each such reply.
	minBlock = 2 * time.Second
	maxBlock = 4 * time.Second
	// maxReportAge is the age of the load reports from which nothing is lowered.
	maxReportAge = 2 * time.Second
)
