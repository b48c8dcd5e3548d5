package placement

import (
	"testing"
	"time"
)

// TestWaitForPendingParts guards against prefilling shared parts twice because a second request is sent before
// the prefill is complete, and against a request that waits unnecessarily.
func TestWaitForPendingParts(t *testing.T) {
	b := testPlacer(2, 0)
	request := func(prefix string, maxWait time.Duration) *Request {
		return &Request{Class: 1, Zone: "z0", Chain: testPrompt(prefix, 8000, 100), FirstByte: 2 * time.Second, MaxWait: maxWait}
	}
	r := request("a", time.Second)
	first := mustChoose(t, b, start, "p", r)
	if first.WaitForPrefill {
		t.Fatal("a request waits for parts that no engine is prefilling")
	}
	firstTicket := b.Start(start, "p", r, first, Local)
	second := mustChoose(t, b, start, "p", r)
	if !second.WaitForPrefill || second.Hash != first.Hash {
		t.Fatalf("the second request does not wait for the engine that is prefilling its parts: %+v", second)
	}
	if c := mustChoose(t, b, start, "p", request("a", 0)); c.WaitForPrefill {
		t.Error("a request without remaining wait time waits")
	}
	if c := mustChoose(t, b, start, "p", request("b", time.Second)); c.WaitForPrefill {
		t.Error("a request for other parts waits")
	}

	reserved := b.Reserve(start, "p", r, second, Local)
	if got := b.byHash[first.Hash].load(); got.streams != 2 || got.pendingPrefill != 8100+second.PrefillTokens {
		t.Errorf("load with a waiting request: %+v", got)
	}
	reserved.End(start, Canceled)
	firstTicket.Event(start.Add(200 * time.Millisecond))
	if c := mustChoose(t, b, start, "p", r); c.WaitForPrefill || c.PrefillTokens > 100 {
		t.Errorf("after the parts were prefilled: %+v", c)
	}
	firstTicket.End(start.Add(time.Second), Served)
	if got := b.byHash[first.Hash].load(); got != (load{}) {
		t.Errorf("load after all requests: %+v", got)
	}
}

// TestPendingPartsEndWithTheirRequests guards against requests that wait for parts that no request is
// prefilling any longer.
func TestPendingPartsEndWithTheirRequests(t *testing.T) {
	for _, o := range []Outcome{Canceled, Failed, Refused, Unreachable} {
		b := testPlacer(1, 0)
		r := &Request{Class: 1, Zone: "z0", Chain: testPrompt("a", 8000, 100), FirstByte: 2 * time.Second, MaxWait: time.Second}
		choice := mustChoose(t, b, start, "p", r)
		one, two := b.Start(start, "p", r, choice, Local), b.Start(start, "p", r, choice, Local)
		one.End(start, o)
		later := start.Add(initialBackoff)
		if c := mustChoose(t, b, later, "p", r); !c.WaitForPrefill {
			t.Errorf("outcome %d: the parts are removed while the engine is prefilling them for another request", o)
		}
		two.End(start, o)
		if c := mustChoose(t, b, later, "p", r); c.WaitForPrefill || c.PrefillTokens != 8100 {
			t.Errorf("outcome %d: the parts still count as pending: %+v", o, c)
		}
	}
}

// TestCopyOfPartsInTransit guards against prefilling parts because the copy for an earlier request is not
// complete yet.
func TestCopyOfPartsInTransit(t *testing.T) {
	b := testPlacer(2, 0)
	r := &Request{Class: 1, Zone: "z0", Chain: testPrompt("a", 8000, 100), FirstByte: 2 * time.Second, MaxWait: time.Second}
	first := mustChoose(t, b, start, "p", r)
	firstTicket := b.Start(start, "p", r, first, Local)
	firstTicket.Event(start)
	r.Avoid = []uint32{first.Hash}
	copied := mustChoose(t, b, start, "p", r)
	b.Start(start, "p", r, copied, Local)
	if c := mustChoose(t, b, start, "p", r); c.FetchFrom != first.Hash || c.WaitForPrefill {
		t.Errorf("no copy of the parts is requested: %+v", c)
	}
}

// TestExpectedWait guards against requests that wait or are refused after an overload has ended: the late first
// events of the overload must not raise the expected times for short backlogs.
func TestExpectedWait(t *testing.T) {
	model := newLatencyModel()
	for range 400 {
		model.observe(80000, 3500*time.Millisecond)
	}
	if got := model.predict(80000); got < 3*time.Second || got > 4*time.Second {
		t.Errorf("expected %s behind 80,000 tokens, observed 3.5s", got)
	}
	if got := model.withMargin(model.predict(5000)); got > 700*time.Millisecond {
		t.Errorf("expected %s behind 5,000 tokens after an overload", got)
	}
	// A single request that hangs must not change the prediction much.
	before := model.predict(20000)
	model.observe(20000, time.Minute)
	if got := model.predict(20000); got > before+before/10 {
		t.Errorf("one hanging request changes the expected time from %s to %s", before, got)
	}
}

// TestChooseEndpointWithinWaitLimit guards against a refusal because the engine with the lowest cost has a long
// backlog while another engine could serve the request in time.
func TestChooseEndpointWithinWaitLimit(t *testing.T) {
	b := testPlacer(2, 0)
	r := &Request{Class: 1, Zone: "z0", Chain: testPrompt("a", 30000, 100), FirstByte: 2 * time.Second, Tier: 2, Remaining: 10 * time.Second}
	preferred := mustChoose(t, b, start, "p", r)
	// The load that the test adds to the preferred engine raises its expected wait just above the limit.
	limit := b.waitLimit(start, b.pools["p"], &annotatedRequest{Request: r})
	if !limit.isSet() {
		t.Fatal("the least urgent class has no wait limit")
	}
	p := b.pools["p"]
	backlog := 0
	for !limit.exceededBy(Choice{PrefillTokens: 30100, Wait: p.latency.predict(float64(backlog + 30100))}) {
		backlog += 1000
	}
	e := b.byHash[preferred.Hash]
	busy := &Request{Class: 1, Zone: "z0", Chain: testPrompt("b", 100, 100), FirstByte: 2 * time.Second, Tier: 2}
	b.Start(start, "p", busy, Choice{Endpoint: e.Endpoint, Hash: e.hash, PrefillTokens: backlog}, Local)
	c, refusal := b.Choose(start, "p", r)
	if refusal != nil || c.Hash == preferred.Hash {
		t.Errorf("refused or sent to the busy engine although another one is idle: %+v, %+v", c, refusal)
	}
}

// TestShorterBacklogInLargePools guards against the same wait limit for pools of all sizes: the load of a small
// pool varies more, so a low limit there refuses requests that would be served in time.
func TestShorterBacklogInLargePools(t *testing.T) {
	var refusals refusalRate
	last := 1.0
	for _, n := range []int{3, 9, 60, 1000} {
		share := refusals.waitFraction(start, n)
		if share > maxWaitFraction || share <= overloadWaitFraction || share >= last {
			t.Errorf("%d engines: %.2f of the target, smaller pool %.2f", n, share, last)
		}
		last = share
	}
	for range 100 {
		refusals.record(start, true)
	}
	if got := refusals.waitFraction(start, 3); got != overloadWaitFraction {
		t.Errorf("in an overload %.2f of the target, want %.2f", got, overloadWaitFraction)
	}
}

// TestGoneEndpointHasEmptyCache guards against sending requests for cached parts to an endpoint that has
// crashed and may be restarted at the same address before its registration changes.
func TestGoneEndpointHasEmptyCache(t *testing.T) {
	b := testPlacer(1, 0)
	r := &Request{Class: 1, Zone: "z0", Chain: testPrompt("a", 8000, 100), FirstByte: 2 * time.Second}
	first := b.Start(start, "p", r, mustChoose(t, b, start, "p", r), Local)
	first.Event(start)
	first.End(start, Served)
	b.Start(start, "p", r, mustChoose(t, b, start, "p", r), Local).End(start, Unreachable)
	later := start.Add(initialBackoff)
	if c := mustChoose(t, b, later, "p", r); c.PrefillTokens != 0 {
		t.Errorf("%d tokens to prefill after a broken connection, want 0", c.PrefillTokens)
	}
	b.Start(later, "p", r, mustChoose(t, b, later, "p", r), Local).End(later, Gone)
	if c := mustChoose(t, b, later.Add(2*initialBackoff), "p", r); c.PrefillTokens != 8100 {
		t.Errorf("%d tokens to prefill at a restarted endpoint, want 8100", c.PrefillTokens)
	}
}

// TestPreferredEngineDoesNotPrefillAgain guards against prefilling shared parts on their preferred engine while another
// engine, which was chosen when the preferred one could not be, is prefilling them.
func TestPreferredEngineDoesNotPrefillAgain(t *testing.T) {
	for _, prompt := range []string{"a", "b", "c", "d", "e", "f"} {
		b := testPlacer(9, 0)
		r := &Request{Class: 1, Zone: "z0", Chain: testPrompt(prompt, 8000, 100), FirstByte: 2 * time.Second}
		preferred := mustChoose(t, b, start, "p", r)
		first := *r
		first.Avoid = []uint32{preferred.Hash}
		other := mustChoose(t, b, start, "p", &first)
		b.Start(start, "p", &first, other, Local)
		second := *r
		second.MaxWait = time.Second
		choice := mustChoose(t, b, start, "p", &second)
		if choice.Hash != other.Hash || !choice.WaitForPrefill {
			t.Errorf("%s: sent to the preferred engine: %v, waits: %v; want a wait for the engine that prefills the parts", prompt, choice.Hash == preferred.Hash, choice.WaitForPrefill)
		}
	}
}
