package placement

import (
	"testing"
	"time"
)

// mixedLoad returns the classes quick (short interactive prompts), middle (medium prompts) and long (long
// prompts). The arrival rates of all classes are multiplied by scale, and that of long also by burst from second
// 5 to second 14.
func mixedLoad(scale, burst float64) (quick, middle, long *loadClass) {
	quick = &loadClass{
		route:        streamRoute("quick", 0, 500*time.Millisecond, 250*time.Millisecond),
		sharedTokens: 350, uniqueTokens: 1110, prefixes: 100, outputTokens: 150, perSecond: 12 * scale,
	}
	middle = &loadClass{
		route:        streamRoute("middle", 1, 800*time.Millisecond, 400*time.Millisecond),
		sharedTokens: 3000, uniqueTokens: 2890, prefixes: 40, outputTokens: 50, perSecond: 5 * scale,
	}
	long = &loadClass{
		route:        streamRoute("long", 2, 2*time.Second, time.Second),
		sharedTokens: 13300, uniqueTokens: 3720, prefixes: 80, outputTokens: 120, perSecond: 12 * scale,
		burst: burst, burstFrom: 5 * time.Second, burstUntil: 14 * time.Second,
	}
	return quick, middle, long
}

// TestBurstOfLongPrompts guards against short prompts that miss their inter-token targets because long prompts
// are prefilled on the same engines, in small and in large pools. The bound is the design's goal that a class
// within its capacity meets its target.
func TestBurstOfLongPrompts(t *testing.T) {
	for _, engines := range []int{3, 9, 30} {
		quick, middle, long := mixedLoad(float64(engines)/9, 2.1)
		simulate(engines, []*loadClass{quick, middle, long}, 20*time.Second)
		t.Logf("%d engines: quick %d of %d, middle %d of %d, long %d of %d in time, %d refused", engines,
			quick.inTime, quick.offered, middle.inTime, middle.offered, long.inTime, long.offered, long.refused)
		if got := quick.shareInTime(); got < 0.9 {
			t.Errorf("%d engines: %.2f of the quick requests in time, want 0.9", engines, got)
		}
		if long.inTime == 0 || long.refused > long.offered/2 {
			t.Errorf("%d engines: long requests are starved: %d in time, %d of %d refused",
				engines, long.inTime, long.refused, long.offered)
		}
	}
}

// TestOverloadRefusesLeastUrgent guards against a persistent overload in which engines serve no request in
// time, and against refusing more urgent classes while less urgent requests are started.
func TestOverloadRefusesLeastUrgent(t *testing.T) {
	quick, middle, long := mixedLoad(1, 6)
	simulate(9, []*loadClass{quick, middle, long}, 20*time.Second)
	t.Logf("quick %d of %d, middle %d of %d, long %d of %d in time, %d late, %d refused",
		quick.inTime, quick.offered, middle.inTime, middle.offered, long.inTime, long.offered, long.late, long.refused)
	if got := quick.shareInTime(); got < 0.9 {
		t.Errorf("%.2f of the quick requests in time during a burst of long ones, want 0.9", got)
	}
	if quick.refused > 0 || middle.refused > middle.offered/12 {
		t.Errorf("refused %d quick and %d of %d middle requests while %d long ones were started",
			quick.refused, middle.refused, middle.offered, long.started)
	}
	if long.refused == 0 {
		t.Error("no request was refused in a sixfold burst")
	}
	if done := long.inTime + long.late; float64(long.inTime) < 0.7*float64(done) {
		t.Errorf("of %d completed long requests only %d were in time", done, long.inTime)
	}
}

// TestNoRefusalsBelowCapacity guards against refusals while engines are idle.
func TestNoRefusalsBelowCapacity(t *testing.T) {
	quick, middle, long := mixedLoad(0.3, 1)
	simulate(9, []*loadClass{quick, middle, long}, 20*time.Second)
	if n := quick.refused + middle.refused + long.refused; n > 0 {
		t.Errorf("%d requests refused at a third of the load", n)
	}
}

// TestColdStart guards against prefilling shared parts on several engines at once when a large pool starts with
// empty caches under a burst of long prompts, and against refusals that continue after the start. Prefilling
// each shared part once and all unshared parts takes about 60% of the engines' prefill capacity over the 14 s of
// arrivals, and about 80% during the burst. The bound is the design's goal that a class within its capacity meets
// its target.
func TestColdStart(t *testing.T) {
	quick := &loadClass{
		route:        streamRoute("quick", 0, 500*time.Millisecond, 300*time.Millisecond),
		sharedTokens: 350, uniqueTokens: 1110, prefixes: 300, outputTokens: 170, sizeDeviation: 0.9, perSecond: 83,
	}
	middle := &loadClass{
		route:        streamRoute("middle", 1, 800*time.Millisecond, 500*time.Millisecond),
		sharedTokens: 6300, uniqueTokens: 2890, prefixes: 160, outputTokens: 50, sizeDeviation: 0.9, perSecond: 38,
	}
	long := &loadClass{
		route:        streamRoute("long", 2, 2500*time.Millisecond, 1200*time.Millisecond),
		sharedTokens: 13300, uniqueTokens: 3720, prefixes: 597, outputTokens: 120, sizeDeviation: 0.9, perSecond: 145,
		burst: 2.76, burstFrom: 500 * time.Millisecond, burstUntil: 9500 * time.Millisecond,
	}
	sim := simulate(60, []*loadClass{quick, middle, long}, 14*time.Second)
	t.Logf("quick %d of %d, middle %d of %d, long %d of %d in time, %d late, %d refused; %d prefilled, %d again, %d copied",
		quick.inTime, quick.offered, middle.inTime, middle.offered, long.inTime, long.offered, long.late, long.refused,
		sim.prefilledOnce, sim.prefilledAgain, sim.copied)
	for _, class := range []*loadClass{quick, middle, long} {
		if share := float64(class.inTimeWarm) / float64(class.offeredWarm); share < 0.9 {
			t.Errorf("%s: %.2f of %d requests after the start in time, want 0.9", class.route.Class, share, class.offeredWarm)
		}
	}
	if sim.prefilledAgain > sim.prefilledOnce/10 {
		t.Errorf("%d shared tokens prefilled once, %d again", sim.prefilledOnce, sim.prefilledAgain)
	}
}

// TestOverloadServesLargePrompts guards against an overload in which the requests with the largest prompts of the least
// urgent class are refused far more often than the others, because their own prefill counts as a backlog. The bound is
// the users' rule that the largest tenth of a class is served at least half as often as the whole class.
func TestOverloadServesLargePrompts(t *testing.T) {
	for _, burst := range []float64{1.5, 2.5, 4} {
		quick := &loadClass{
			route:        streamRoute("quick", 0, 300*time.Millisecond, 250*time.Millisecond),
			sharedTokens: 172, uniqueTokens: 543, prefixes: 300, outputTokens: 280, sizeDeviation: 0.7, perSecond: 32,
		}
		middle := &loadClass{
			route:        streamRoute("middle", 1, 500*time.Millisecond, 400*time.Millisecond),
			sharedTokens: 568, uniqueTokens: 1800, prefixes: 140, outputTokens: 25, sizeDeviation: 0.9, perSecond: 32,
		}
		long := &loadClass{
			route:        streamRoute("long", 2, 1500*time.Millisecond, time.Second),
			sharedTokens: 6300, uniqueTokens: 2890, prefixes: 800, outputTokens: 50, sizeDeviation: 1, perSecond: 78,
			burst: burst, burstUntil: 15 * time.Second,
		}
		simulate(20, []*loadClass{quick, middle, long}, 20*time.Second)
		all, largest := long.servedShares()
		t.Logf("burst %.1f: long %d in time, %d late, %d of %d refused; served %.2f of all, %.2f of the largest; quick %.2f, middle %.2f in time",
			burst, long.inTime, long.late, long.refused, long.offered, all, largest, quick.shareInTime(), middle.shareInTime())
		if largest < all/2 {
			t.Errorf("burst %.1f: %.2f of the largest tenth served, of all %.2f", burst, largest, all)
		}
		if got := quick.shareInTime(); got < 0.9 {
			t.Errorf("burst %.1f: %.2f of the quick requests in time, want 0.9", burst, got)
		}
	}
}
