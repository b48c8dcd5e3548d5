package placement

import (
	"testing"
	"time"

	"github.com/chivewind/chivewind/traffic"
)

// twoPools returns a placer with the engine pools "a" and "b" of two engines each. Pool "a" serves one class of tier 0,
// pool "b" one of tier 2 with a shorter inter-token target.
func twoPools() *Placer {
	engine := &traffic.Engine{Slots: 64, CacheTokens: 1000000}
	table := &traffic.Table{Pools: map[string]traffic.Pool{"a": {Name: "a", Engine: engine}, "b": {Name: "b", Engine: engine}}}
	byPool, all := map[string][]traffic.Endpoint{}, map[string]traffic.Endpoint{}
	for i, pool := range []string{"a", "b"} {
		route := streamRoute("class-"+pool, 2*i, time.Second, time.Duration(2-i)*time.Second)
		route.Pools = []traffic.WeightedPool{{Pool: pool, Weight: 1}}
		table.Routes = append(table.Routes, route)
		for _, id := range []string{pool + "0", pool + "1"} {
			byPool[pool] = append(byPool[pool], traffic.Endpoint{ID: id, Pool: pool, Zone: "z0", Slots: 64})
			all[id] = byPool[pool][len(byPool[pool])-1]
		}
	}
	b := New(1)
	b.SetTable(table)
	b.SetEndpoints(start, byPool, all)
	return b
}

// TestPoolsAreIndependent guards against admission and partitions that mix the classes of different pools: a pool whose
// class has a higher priority than that of another pool would never refuse and serve nothing in time under overload,
// and its engines would be divided for a strict class that it does not serve.
func TestPoolsAreIndependent(t *testing.T) {
	b := twoPools()
	request := func(pool string, tier int, prompt string) *Request {
		return &Request{
			Class: HashClass(pool, "class-"+pool), Zone: "z0", Tier: tier, FirstByte: time.Second, Remaining: 10 * time.Second,
			Chain: testPrompt(prompt, 10, 10000),
		}
	}
	low := request("b", 2, "x")
	b.RecordArrival(start, low)
	mustChoose(t, b, start, "b", low)
	refused := 0
	for i := range 40 {
		r := request("a", 0, string(rune('0'+i)))
		b.RecordArrival(start, r)
		choice, refusal := b.Choose(start, "a", r)
		if refusal != nil {
			if refusal.Reason == Overload {
				refused++
			}
			continue
		}
		b.Start(start, "a", r, choice, Local)
	}
	if refused == 0 {
		t.Error("nothing was refused for overload of 400,000 tokens for two engines within a second")
	}
	for _, name := range []string{"a", "b"} {
		if n := b.pools[name].partition.strictEngines; n != 0 {
			t.Errorf("pool %s with a single class keeps %d engines for strict classes", name, n)
		}
	}
}

// TestRemovedPool guards against pools that are kept after they have left the routing table.
func TestRemovedPool(t *testing.T) {
	b := twoPools()
	b.SetTable(&traffic.Table{Pools: map[string]traffic.Pool{"a": {Name: "a"}}})
	b.SetEndpoints(start, map[string][]traffic.Endpoint{}, map[string]traffic.Endpoint{})
	if len(b.pools) != 1 {
		t.Errorf("%d pools, want 1", len(b.pools))
	}
	if _, refusal := b.Choose(start, "b", &Request{}); refusal == nil || refusal.Reason != NoEndpoint {
		t.Errorf("request to a removed pool: %+v, want a refusal", refusal)
	}
}

// TestViewChangeKeepsPriorities guards against refusing urgent requests for overload after a change of the endpoints or of
// the routing table, when the less urgent class has had no request since.
func TestViewChangeKeepsPriorities(t *testing.T) {
	routes := []traffic.Route{streamRoute("urgent", 0, time.Second, time.Second), streamRoute("patient", 2, time.Second, time.Second)}
	table := func() *traffic.Table {
		table := &traffic.Table{Pools: map[string]traffic.Pool{"p": {Name: "p", Engine: &traffic.Engine{Slots: 64, CacheTokens: 1000000}}}}
		for _, route := range routes {
			route.Pools = []traffic.WeightedPool{{Pool: "p", Weight: 1}}
			table.Routes = append(table.Routes, route)
		}
		return table
	}
	request := func(route traffic.Route, prompt string) *Request {
		return &Request{
			Class: HashClass("p", route.Class), Zone: "z0", Tier: route.Tier, FirstByte: time.Second, Remaining: 10 * time.Second,
			Chain: testPrompt(prompt, 10, 20000),
		}
	}
	engine := traffic.Endpoint{ID: "e", Pool: "p", Zone: "z0", Slots: 64}
	setView := func(b *Placer) {
		b.SetTable(table())
		b.SetEndpoints(start, map[string][]traffic.Endpoint{"p": {engine}}, map[string]traffic.Endpoint{"e": engine})
	}
	b := New(1)
	setView(b)
	patient := request(routes[1], "x")
	b.Start(start, "p", patient, mustChoose(t, b, start, "p", patient), Local)
	setView(b)
	urgent := request(routes[0], "y")
	for _, c := range []struct {
		after   time.Duration
		refused bool
	}{{time.Second, false}, {2 * classRetention, true}} {
		_, refusal := b.Choose(start.Add(c.after), "p", urgent)
		if refused := refusal != nil; refused != c.refused {
			t.Errorf("%s after the last request of the less urgent class: refused %v, want %v", c.after, refused, c.refused)
		}
	}
}
