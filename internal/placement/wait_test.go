package placement

import (
	"testing"
	"time"
)

// TestWaitForParts guards against an engine that reads shared parts twice because it gets a second request
// before it has read them, and against a request that waits without need.
func TestWaitForParts(t *testing.T) {
	b := testBoard(2, 0)
	ask := func(thing string, mayWait time.Duration) *Request {
		return &Request{Class: 1, Zone: "z0", Chain: testPrompt(thing, 8000, 100), FirstByte: 2 * time.Second, MayWait: mayWait}
	}
	r := ask("a", time.Second)
	first := mustChoose(t, b, start, "p", r)
	if first.Hold {
		t.Fatal("a request for parts that nobody reads waits")
	}
	leader := b.Start(start, "p", r, first, Own)
	second := mustChoose(t, b, start, "p", r)
	if !second.Hold || second.Hash != first.Hash {
		t.Fatalf("the second request does not wait for the engine that reads its parts: %+v", second)
	}
	if c := mustChoose(t, b, start, "p", ask("a", 0)); c.Hold {
		t.Error("a request waits that may not wait any longer")
	}
	if c := mustChoose(t, b, start, "p", ask("b", time.Second)); c.Hold {
		t.Error("a request for other parts waits")
	}

	reserved := b.Reserve(start, "p", r, second, Own)
	if got := b.byHash[first.Hash].load(); got.streams != 2 || got.unread != 8100+second.Read {
		t.Errorf("load with a waiting request: %+v", got)
	}
	reserved.End(start, Abandoned)
	leader.Event(start.Add(200 * time.Millisecond))
	if c := mustChoose(t, b, start, "p", r); c.Hold || c.Read > 100 {
		t.Errorf("after the parts were read: %+v", c)
	}
	leader.End(start.Add(time.Second), Served)
	if got := b.byHash[first.Hash].load(); got != (load{}) {
		t.Errorf("load after all requests: %+v", got)
	}
}

// TestPromiseEndsWithItsReaders guards against requests that wait for parts which no engine reads any more.
func TestPromiseEndsWithItsReaders(t *testing.T) {
	for _, o := range []Outcome{Abandoned, Failed, Refused, Unreachable} {
		b := testBoard(1, 0)
		r := &Request{Class: 1, Zone: "z0", Chain: testPrompt("a", 8000, 100), FirstByte: 2 * time.Second, MayWait: time.Second}
		choice := mustChoose(t, b, start, "p", r)
		one, two := b.Start(start, "p", r, choice, Own), b.Start(start, "p", r, choice, Own)
		one.End(start, o)
		later := start.Add(firstPause)
		if c := mustChoose(t, b, later, "p", r); !c.Hold {
			t.Errorf("outcome %d: the parts are forgotten while another request makes the engine read them", o)
		}
		two.End(start, o)
		if c := mustChoose(t, b, later, "p", r); c.Hold || c.Read != 8100 {
			t.Errorf("outcome %d: the parts count as being read: %+v", o, c)
		}
	}
}

// TestCopyOfPartsOnTheirWay guards against a prompt that is read because the copy that an earlier request
// ordered has not arrived yet.
func TestCopyOfPartsOnTheirWay(t *testing.T) {
	b := testBoard(2, 0)
	r := &Request{Class: 1, Zone: "z0", Chain: testPrompt("a", 8000, 100), FirstByte: 2 * time.Second, MayWait: time.Second}
	first := mustChoose(t, b, start, "p", r)
	leader := b.Start(start, "p", r, first, Own)
	leader.Event(start)
	r.Avoid = []uint32{first.Hash}
	copied := mustChoose(t, b, start, "p", r)
	b.Start(start, "p", r, copied, Own)
	if c := mustChoose(t, b, start, "p", r); c.FetchFrom != first.Hash || c.Hold {
		t.Errorf("the engine is not told where the parts are: %+v", c)
	}
}

// TestExpectedWait guards against an overload that is over and still makes requests wait or be refused: the
// times of its first events arrive seconds late and must not be taken for those of short backlogs.
func TestExpectedWait(t *testing.T) {
	c := newCalibration()
	for range 400 {
		c.observe(80000, 3500*time.Millisecond)
	}
	if got := c.expect(80000); got < 3*time.Second || got > 4*time.Second {
		t.Errorf("expected %s behind 80,000 tokens, seen 3.5s", got)
	}
	if got := c.correct(c.expect(5000)); got > 700*time.Millisecond {
		t.Errorf("expected %s behind 5,000 tokens after an overload", got)
	}
	// One hung request must not change the expectation by much.
	before := c.expect(20000)
	c.observe(20000, time.Minute)
	if got := c.expect(20000); got > before+before/10 {
		t.Errorf("one hung request changes the expected time from %s to %s", before, got)
	}
}

// TestServedWhereThereIsTime guards against a refusal because the cheapest engine has a long backlog while
// another one could serve the request in time.
func TestServedWhereThereIsTime(t *testing.T) {
	b := testBoard(2, 0)
	r := &Request{Class: 1, Zone: "z0", Chain: testPrompt("a", 30000, 100), FirstByte: 2 * time.Second, Tier: 2, Remaining: 10 * time.Second}
	home := mustChoose(t, b, start, "p", r)
	// The other engine is in the same zone, and the backlog at the home is just above the bound.
	limit := b.waitLimit(start, b.pools["p"], &candidate{Request: r})
	if limit <= 0 {
		t.Fatal("the least urgent class has no bound")
	}
	p := b.pools["p"]
	backlog := 0
	for p.calibration.expect(float64(backlog+30100)) <= limit {
		backlog += 1000
	}
	e := b.byHash[home.Hash]
	busy := &Request{Class: 1, Zone: "z0", Chain: testPrompt("b", 100, 100), FirstByte: 2 * time.Second, Tier: 2}
	b.Start(start, "p", busy, Choice{Endpoint: e.Endpoint, Hash: e.hash, Read: backlog}, Own)
	c, refusal := b.Choose(start, "p", r)
	if refusal != nil || c.Hash == home.Hash {
		t.Errorf("refused or sent to the busy engine although another one is idle: %+v, %+v", c, refusal)
	}
}

// TestShorterBacklogInLargePools guards against one bound for pools of all sizes: the load of few engines
// fluctuates more, so that a short bound refuses requests which would be served in time.
func TestShorterBacklogInLargePools(t *testing.T) {
	var l pressure
	last := 1.0
	for _, n := range []int{3, 9, 60, 1000} {
		share := l.share(start, n)
		if share > calmShare || share <= overloadShare || share >= last {
			t.Errorf("%d engines: %.2f of the target, smaller pool %.2f", n, share, last)
		}
		last = share
	}
	for range 100 {
		l.count(start, true)
	}
	if got := l.share(start, 3); got != overloadShare {
		t.Errorf("in an overload %.2f of the target, want %.2f", got, overloadShare)
	}
}

// TestStoppedEndpointHasNothing guards against requests that are sent for cached parts to an endpoint which
// has crashed and may run again at the same address before its entry changes.
func TestStoppedEndpointHasNothing(t *testing.T) {
	b := testBoard(1, 0)
	r := &Request{Class: 1, Zone: "z0", Chain: testPrompt("a", 8000, 100), FirstByte: 2 * time.Second}
	first := b.Start(start, "p", r, mustChoose(t, b, start, "p", r), Own)
	first.Event(start)
	first.End(start, Served)
	b.Start(start, "p", r, mustChoose(t, b, start, "p", r), Own).End(start, Unreachable)
	later := start.Add(firstPause)
	if c := mustChoose(t, b, later, "p", r); c.Read != 0 {
		t.Errorf("%d tokens to read after a broken connection, want 0", c.Read)
	}
	b.Start(later, "p", r, mustChoose(t, b, later, "p", r), Own).End(later, Gone)
	if c := mustChoose(t, b, later.Add(2*firstPause), "p", r); c.Read != 8100 {
		t.Errorf("%d tokens to read at an endpoint that had stopped, want 8100", c.Read)
	}
}
