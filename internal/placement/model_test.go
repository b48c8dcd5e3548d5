package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/chivewind/chivewind/traffic"
)

// Parameters of the simulated load.
const (
	// tiers is the number of classes. urgentFraction is the fraction of requests from workspaces that have
	// priority over all others.
	tiers          = 3
	urgentFraction = 0.15
	// warmUp is the time in which a pool that starts with empty caches prefills the commonly used parts.
	warmUp = 5 * time.Second
	// drainTime is how long the simulation continues after the last arrival.
	drainTime = 12 * time.Second
)

// loadClass is a class of the simulated load and the results of its requests.
type loadClass struct {
	route                      traffic.Route
	sharedTokens, uniqueTokens int
	prefixes                   int
	outputTokens               int
	// sizeDeviation is the standard deviation of the logarithm of the sizes; 0 makes all sizes equal.
	sizeDeviation float64
	perSecond     float64
	burst         float64
	burstFrom     time.Duration
	burstUntil    time.Duration
	prefixSizes   map[int]int
	// offeredWarm and inTimeWarm count only the requests that arrive after warmUp.
	offeredWarm, inTimeWarm int
	offered, inTime         int
	started                 int
	refused                 int
	late                    int
}

// rate returns the arrivals per second at a time since the start.
func (k *loadClass) rate(at time.Duration) float64 {
	if at >= k.burstFrom && at < k.burstUntil {
		return k.perSecond * k.burst
	}
	return k.perSecond
}

func (k *loadClass) recordEnd(j *simRequest) {
	if j.firstEventAfter <= k.route.FirstByte && j.maxGap <= k.route.Gap {
		k.inTime++
		if j.arrived.Sub(start) > warmUp {
			k.inTimeWarm++
		}
	} else {
		k.late++
	}
}

// size returns a random size with the given mean.
func (k *loadClass) size(random *rand.Rand, mean int) int {
	if k.sizeDeviation == 0 {
		return mean
	}
	return max(int(float64(mean)*math.Exp(k.sizeDeviation*random.NormFloat64()-k.sizeDeviation*k.sizeDeviation/2)), 16)
}

// pendingRequest is a simulated request that has not been sent to an engine.
type pendingRequest struct {
	class   *loadClass
	urgency int
	r       *Request
	arrived time.Time
	ticket  *Ticket
	retryAt time.Time
}

// simulation is a pool of simulated engines under load.
type simulation struct {
	waiting []*pendingRequest
	b       *Board
	engines map[string]*simEngine
	random  *rand.Rand
	// prefilledOnce and prefilledAgain count the shared tokens that were prefilled for the first time and
	// again. copied counts the shared tokens that were copied from another engine.
	prefilledOnce, prefilledAgain, copied int
	seen                                  map[uint64]bool
}

// countPrefill counts the tokens of the shared parts after the first have ones, which are to be prefilled.
func (m *simulation) countPrefill(c Chain, have int) {
	for i := have; i < len(c.Keys)-1; i++ {
		n := c.prefixTokens(i+1) - c.prefixTokens(i)
		if m.seen[c.Keys[i]] {
			m.prefilledAgain += n
		} else {
			m.prefilledOnce += n
		}
		m.seen[c.Keys[i]] = true
	}
}

// simulate runs a load on a number of engines and records the results in the classes.
func simulate(engines int, classes []*loadClass, length time.Duration) *simulation {
	table := &traffic.Table{Pools: map[string]traffic.Pool{"p": {Name: "p", Engine: &traffic.Engine{
		Slots: engineSlots, CacheTokens: engineMemory, TokenBytes: tokenBytes, LinkBytesPerMs: linkBytesPerMs, EventTokens: eventTokens,
	}}}}
	for _, k := range classes {
		table.Routes = append(table.Routes, k.route)
	}
	m := &simulation{b: New(1), engines: map[string]*simEngine{}, random: rand.New(rand.NewPCG(1, 2)), seen: map[uint64]bool{}}
	byPool, all := map[string][]traffic.Endpoint{}, map[string]traffic.Endpoint{}
	var names []string
	for i := range engines {
		e := traffic.Endpoint{ID: fmt.Sprintf("e%02d", i), Pool: "p", Zone: fmt.Sprintf("z%d", i%3), Slots: engineSlots}
		byPool["p"] = append(byPool["p"], e)
		all[e.ID] = e
		m.engines[e.ID] = newSimEngine(e.ID)
		names = append(names, e.ID)
	}
	m.b.SetTable(table)
	m.b.SetEndpoints(start, byPool, all)
	const tick = time.Millisecond
	for at := time.Duration(0); at < length+drainTime; at += tick {
		now := start.Add(at)
		for _, k := range classes {
			if at < length && m.random.Float64() < k.rate(at)*tick.Seconds() {
				m.arrive(now, k)
			}
		}
		waiting := m.waiting
		m.waiting = nil
		for _, a := range waiting {
			if now.Before(a.retryAt) {
				m.waiting = append(m.waiting, a)
				continue
			}
			a.ticket.End(now, Abandoned)
			m.place(now, a)
		}
		for _, name := range names {
			e := m.engines[name]
			for !e.ready.After(now) {
				if len(e.requests) == 0 {
					e.ready = now.Add(tick)
					break
				}
				e.step(e.ready, m)
			}
		}
	}
	return m
}

// arrive creates a request of a class and places it.
func (m *simulation) arrive(now time.Time, k *loadClass) {
	k.offered++
	if now.Sub(start) > warmUp {
		k.offeredWarm++
	}
	prefix := m.random.IntN(k.prefixes)
	if k.prefixSizes == nil {
		k.prefixSizes = map[int]int{}
	}
	if k.prefixSizes[prefix] == 0 {
		k.prefixSizes[prefix] = k.size(m.random, k.sharedTokens)
	}
	shared, unique := k.prefixSizes[prefix], k.size(m.random, k.uniqueTokens)
	prompt := &traffic.Prompt{Tokens: shared + unique, MaxOutput: k.outputTokens, Parts: []traffic.Part{
		{ID: fmt.Sprintf("%s-%d", k.route.Class, prefix), Tokens: shared}, {ID: fmt.Sprint(m.random.Uint64()), Tokens: unique},
	}}
	r := &Request{
		Class: HashClass(k.route.Class), Zone: "z0", Chain: NewChain(prompt), Output: k.outputTokens,
		FirstByte: k.route.FirstByte, Tier: k.route.Tier, Remaining: 12 * time.Second,
	}
	m.b.Arrived(now, r)
	a := &pendingRequest{class: k, r: r, arrived: now, urgency: tiers + k.route.Tier}
	if m.random.Float64() < urgentFraction {
		a.urgency -= tiers
	}
	m.place(now, a)
}

// place sends a request to the chosen engine, lets it wait, or counts its refusal.
func (m *simulation) place(now time.Time, a *pendingRequest) {
	k := a.class
	a.r.MayWait = MayWait(k.route.FirstByte) - now.Sub(a.arrived)
	choice, refusal := m.b.Choose(now, "p", a.r)
	if refusal != nil {
		k.refused++
		return
	}
	if choice.Hold {
		a.r.Waited = true
		a.ticket, a.retryAt = m.b.Reserve(now, "p", a.r, choice, Own), now.Add(HoldInterval)
		m.waiting = append(m.waiting, a)
		return
	}
	k.started++
	e := m.engines[choice.Endpoint.ID]
	j := &simRequest{
		class: k, urgency: a.urgency, arrived: a.arrived, ready: now.Add(deliveryDelay), chain: a.r.Chain,
		outputTokens: max(k.size(m.random, k.outputTokens), 1), ticket: m.b.Start(now, "p", a.r, choice, Own),
	}
	for _, source := range m.engines {
		if choice.FetchFrom != 0 && incarnationHash(traffic.Endpoint{ID: source.name}) == choice.FetchFrom {
			j.source = source
		}
	}
	if e.ready.Before(now) {
		e.ready = now
	}
	e.requests = append(e.requests, j)
}

func streamRoute(class string, tier int, first, gap time.Duration) traffic.Route {
	return traffic.Route{Class: class, Stream: true, Tier: tier, FirstByte: first, Gap: gap}
}

func (k *loadClass) shareInTime() float64 { return float64(k.inTime) / float64(max(k.offered, 1)) }
