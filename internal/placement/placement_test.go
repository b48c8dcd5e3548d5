package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/traffic"
)

var start = time.Unix(1000, 0)

// testPlacer returns a placer with a pool of engines "p" and a plain pool "q", alternating between two zones.
func testPlacer(engines, plain int) *Placer {
	b := New(1)
	b.SetTable(&traffic.Table{Pools: map[string]traffic.Pool{
		"p": {Name: "p", Engine: &traffic.Engine{Slots: 64, CacheTokens: 100000, TokenBytes: 18432, LinkBytesPerMs: 11e6}}, "q": {Name: "q"},
	}})
	byPool, all := map[string][]traffic.Endpoint{}, map[string]traffic.Endpoint{}
	add := func(pool string, n, slots int) {
		for i := range n {
			e := traffic.Endpoint{ID: fmt.Sprintf("%s%d", pool, i), Pool: pool, Zone: fmt.Sprintf("z%d", i%2), Slots: slots, Address: fmt.Sprintf("%s%d:1", pool, i)}
			byPool[pool] = append(byPool[pool], e)
			all[e.ID] = e
		}
	}
	add("p", engines, 64)
	add("q", plain, 6)
	b.SetEndpoints(start, byPool, all)
	return b
}

func testPrompt(prefix string, shared, unique int) PrefixChain {
	return NewPrefixChain(&traffic.Prompt{Tokens: shared + unique, Parts: []traffic.Part{
		{ID: prefix, Tokens: shared}, {ID: prefix + "-own", Tokens: unique},
	}})
}

func mustChoose(t *testing.T, b *Placer, now time.Time, pool string, r *Request) Choice {
	t.Helper()
	c, refusal := b.Choose(now, pool, r)
	if refusal != nil {
		t.Fatalf("refused for reason %d", refusal.Reason)
	}
	return c
}

// TestSharedPartsAreReadOnce guards against prefilling the same parts on several engines, before and after one
// of them has cached them.
func TestSharedPartsAreReadOnce(t *testing.T) {
	b := testPlacer(9, 0)
	r := &Request{Class: 1, Zone: "z0", Chain: testPrompt("a", 8000, 100), FirstByte: 2 * time.Second}
	first := mustChoose(t, b, start, "p", r)
	ticket := b.Start(start, "p", r, first, Local)
	if second := mustChoose(t, b, start, "p", r); second.Hash != first.Hash {
		t.Error("a part that one engine is prefilling is prefilled by another engine")
	}
	// Another daemon without a report of the first request.
	other := testPlacer(9, 0)
	if choice := mustChoose(t, other, start, "p", r); choice.Hash != first.Hash {
		t.Error("two daemons choose different engines for a new part")
	}
	ticket.Event(start.Add(time.Second))
	ticket.End(start.Add(2*time.Second), Served)
	r.Avoid = []uint32{first.Hash}
	if c := mustChoose(t, b, start.Add(2*time.Second), "p", r); c.FetchFrom != first.Hash || c.PrefillTokens > 100 {
		t.Errorf("the parts are prefilled again: %+v", c)
	}
	report := &peer.Report{Daemon: "d"}
	b.FillReport(start, report, true)
	other.HandleReport(start, report, false)
	if c := mustChoose(t, other, start, "p", r); c.FetchFrom != first.Hash {
		t.Error("another daemon does not know which engine has the parts after a report")
	}
}

// TestRestartedEndpointHasEmptyCache guards against cached parts that are carried over from an earlier
// incarnation.
func TestRestartedEndpointHasEmptyCache(t *testing.T) {
	b := testPlacer(1, 0)
	r := &Request{Class: 1, Zone: "z0", Chain: testPrompt("a", 8000, 100), FirstByte: 2 * time.Second}
	ticket := b.Start(start, "p", r, mustChoose(t, b, start, "p", r), Local)
	ticket.Event(start)
	ticket.End(start, Served)
	if c := mustChoose(t, b, start, "p", r); c.PrefillTokens != 0 {
		t.Fatalf("%d tokens to prefill right after the same request", c.PrefillTokens)
	}
	e := traffic.Endpoint{ID: "p0", Pool: "p", Zone: "z0", Slots: 64, StartedAtMs: 5}
	b.SetEndpoints(start, map[string][]traffic.Endpoint{"p": {e}}, map[string]traffic.Endpoint{"p0": e})
	if c := mustChoose(t, b, start, "p", r); c.PrefillTokens != 8100 {
		t.Errorf("%d tokens to prefill after a restart, want 8100", c.PrefillTokens)
	}
}

// TestUnreachableEndpoint guards against sending requests to an endpoint that just failed, against never trying
// it again, and against a refusal when all endpoints are in back-off.
func TestUnreachableEndpoint(t *testing.T) {
	b := testPlacer(0, 2)
	r := &Request{Zone: "z0", FirstByte: 300 * time.Millisecond}
	first := mustChoose(t, b, start, "q", r)
	b.Start(start, "q", r, first, Local).End(start, Unreachable)
	second := mustChoose(t, b, start, "q", r)
	if second.Hash == first.Hash {
		t.Error("an unreachable endpoint is chosen again immediately")
	}
	b.Start(start, "q", r, second, Local).End(start, Unreachable)
	mustChoose(t, b, start, "q", r)
	later := start.Add(initialBackoff)
	probe := b.Start(later, "q", r, Choice{Endpoint: first.Endpoint, Hash: first.Hash}, Local)
	if c := mustChoose(t, b, later, "q", r); c.Hash == first.Hash {
		t.Error("an endpoint that is being probed gets a second request")
	}
	probe.End(later, Served)
	again := false
	for range 4 {
		c := mustChoose(t, b, later, "q", r)
		b.Start(later, "q", r, c, Local)
		again = again || c.Hash == first.Hash
	}
	if !again {
		t.Error("an endpoint that has recovered gets no requests")
	}
}

// TestPlainLoadIsSpread guards against requests that wait for a slot while another endpoint has a free one, and
// against a failing endpoint that keeps its share of requests.
func TestPlainLoadIsSpread(t *testing.T) {
	b := testPlacer(0, 4)
	r := &Request{Zone: "z0", FirstByte: 300 * time.Millisecond}
	counts := map[uint32]int{}
	for range 24 {
		c := mustChoose(t, b, start, "q", r)
		b.Start(start, "q", r, c, Local)
		counts[c.Hash]++
	}
	for hash, n := range counts {
		if n > 6 {
			t.Errorf("endpoint %d has %d of 24 requests at 6 slots while others have free ones", hash, n)
		}
	}
	b = testPlacer(0, 4)
	bad := mustChoose(t, b, start, "q", r)
	for range 10 {
		b.Start(start, "q", r, bad, Local).End(start, Failed)
	}
	if c := mustChoose(t, b, start, "q", r); c.Hash == bad.Hash {
		t.Error("an endpoint that fails all requests is preferred")
	}
}

// TestMemoryIsNotOvercommitted guards against requests that an engine must preempt for lack of memory.
func TestMemoryIsNotOvercommitted(t *testing.T) {
	b := testPlacer(1, 0)
	for i := range 200 {
		r := &Request{Class: 1, Zone: "z0", Chain: testPrompt(fmt.Sprint(i), 0, 6000), Output: 500, FirstByte: time.Hour}
		c, refusal := b.Choose(start, "p", r)
		if refusal != nil {
			break
		}
		b.Start(start, "p", r, c, Local).Event(start)
	}
	if got := b.endpoints["p0"].memory.tokens; got > 100000 {
		t.Errorf("%d tokens in use of 100000", got)
	}
}

// TestLoadReturnsToZero guards against load that remains after its request has ended, which makes an endpoint
// look permanently busy, for each owner of a request and across a change of the scheduler.
func TestLoadReturnsToZero(t *testing.T) {
	for _, owner := range []Owner{Local, ScheduledByPeer, ScheduledForPeer} {
		b := testPlacer(1, 0)
		r := &Request{Class: 1, Zone: "z0", Chain: testPrompt("a", 500, 100), Output: 10, FirstByte: time.Second}
		c := mustChoose(t, b, start, "p", r)
		prefilling := b.Start(start, "p", r, c, owner)
		running := b.Start(start, "p", r, c, owner)
		running.Event(start)
		b.SchedulerChanged()
		for _, ticket := range []*Ticket{prefilling, running} {
			ticket.End(start, Canceled)
			ticket.End(start, Canceled)
		}
		e := b.endpoints["p0"]
		if e.load() != (load{}) || e.ownScheduled != (load{}) || e.memory.tokens != 0 {
			t.Errorf("owner %d: load %+v, scheduled %+v, memory %d", owner, e.load(), e.ownScheduled, e.memory.tokens)
		}
	}
}

// TestReportedLoad guards against counting a request twice, or not at all, when both its daemon and its
// scheduler know it.
func TestReportedLoad(t *testing.T) {
	r := &Request{Class: 1, Zone: "z0", Chain: testPrompt("a", 0, 1000), FirstByte: time.Second}
	daemon, scheduler, third := testPlacer(1, 0), testPlacer(1, 0), testPlacer(1, 0)
	c := mustChoose(t, scheduler, start, "p", r)
	scheduler.Start(start, "p", r, c, ScheduledForPeer)
	daemon.Start(start, "p", r, c, ScheduledByPeer)
	daemon.Start(start, "p", r, c, Local)
	report := &peer.Report{Daemon: "d"}
	daemon.FillReport(start, report, true)
	for range 2 {
		scheduler.HandleReport(start, report, true)
		third.HandleReport(start, report, false)
	}
	for name, b := range map[string]*Placer{"scheduler": scheduler, "third": third} {
		if got := b.endpoints["p0"].load(); got.streams != 2 || got.pendingPrefill != 2000 {
			t.Errorf("%s sees %+v, want 2 streams and 2000 tokens", name, got)
		}
	}
	third.ForgetDaemon("d")
	if got := third.endpoints["p0"].load(); got != (load{}) {
		t.Errorf("load of a forgotten daemon: %+v", got)
	}
}
