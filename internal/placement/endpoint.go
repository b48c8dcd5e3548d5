package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivewind/chivewind/traffic"
)

const (
	// speedSmoothing is the weight of a new measurement of an engine's relative speed.
	speedSmoothing = 0.1
	// minSpeedSampleTokens is the number of pending prefill tokens from which the time to the first event
	// indicates the speed. With fewer tokens, fixed costs dominate.
	minSpeedSampleTokens = 3000
	// minRelativeSpeed and maxRelativeSpeed limit a measurement of the relative speed.
	minRelativeSpeed = 0.1
	maxRelativeSpeed = 2.0
	// initialServiceTime is the assumed service time of a plain service until it has been measured, and
	// serviceTimeSmoothing the weight of a new measurement.
	initialServiceTime   = 60 * time.Millisecond
	serviceTimeSmoothing = 0.1
	// unresponsiveAfter is the time without any data after which an endpoint with requests counts as
	// unresponsive.
	unresponsiveAfter = time.Second
)

// load is the work in progress on an endpoint.
type load struct {
	// pendingPrefill is the number of prompt tokens to be prefilled for requests without a first event.
	pendingPrefill int
	// streams counts the requests in progress, and strict those of strict classes.
	streams int
	strict  int
}

func (l *load) sub(o load) {
	l.pendingPrefill -= o.pendingPrefill
	l.streams -= o.streams
	l.strict -= o.strict
}

func (l *load) add(o load) {
	l.pendingPrefill += o.pendingPrefill
	l.streams += o.streams
	l.strict += o.strict
}

// endpoint is the state of one incarnation of an endpoint.
type endpoint struct {
	traffic.Endpoint
	hash uint32
	// open is set while the endpoint accepts new requests.
	open bool
	// own is the load of this daemon's requests, and ownScheduled the part of it that another daemon placed as
	// the scheduler.
	own          load
	ownScheduled load
	// scheduledForPeers is the load of other daemons' requests that this daemon placed as their scheduler.
	scheduledForPeers load
	// remote holds the load reported by each other daemon, and remoteSum the sum of these loads.
	remote    map[string]load
	remoteSum load
	// remotePeak is the largest number of pending tokens in remoteSum of the last seconds.
	remotePeak remotePeak
	memory     memoryUsage
	// claim is the memory that is kept free for a request, and claimableFrom the time from which another request may
	// claim memory.
	claim         memoryClaim
	claimableFrom time.Time
	health        health
	// relativeSpeed is the engine's prefill speed relative to the pool's.
	relativeSpeed float64
	// serviceTime is the smoothed duration of a request to a plain service.
	serviceTime time.Duration
	// lastProgress is the time when the endpoint last sent data, or received a request while it had none.
	lastProgress time.Time
}

func newEndpoint(now time.Time, info traffic.Endpoint) *endpoint {
	return &endpoint{
		Endpoint: info, hash: incarnationHash(info), remote: map[string]load{}, relativeSpeed: 1, memory: newMemoryUsage(),
		serviceTime: initialServiceTime, lastProgress: now,
	}
}

// load returns the load from all daemons.
func (e *endpoint) load() load {
	total := e.own
	total.add(e.scheduledForPeers)
	total.add(e.remoteSum)
	return total
}

// setRemote replaces the load reported by another daemon.
func (e *endpoint) setRemote(daemon string, l load) {
	e.remoteSum.sub(e.remote[daemon])
	if l == (load{}) {
		delete(e.remote, daemon)
		return
	}
	e.remote[daemon] = l
	e.remoteSum.add(l)
}

// requests returns the number of requests on the endpoint that this daemon placed or sent.
func (e *endpoint) requests() int { return e.own.streams + e.scheduledForPeers.streams }

// unresponsive reports whether the endpoint has sent nothing for unresponsiveAfter although it has requests
// that this daemon placed or sent.
func (e *endpoint) unresponsive(now time.Time) bool {
	return e.requests() > 0 && now.Sub(e.lastProgress) > unresponsiveAfter
}

// prefillSpeed returns the engine's prefill speed in tokens per millisecond.
func (e *endpoint) prefillSpeed(p *pool) float64 { return p.latency.prefillSpeed() * e.relativeSpeed }

// plainWait returns the expected time until another request to a plain service is complete.
func (e *endpoint) plainWait() time.Duration {
	slots := max(e.Slots, 1)
	streams := e.load().streams
	queued := max(streams+1-slots, 0)
	utilization := float64(min(streams, slots)) / float64(slots)
	// A small cost for taken slots spreads the requests before a queue forms.
	return time.Duration(float64(e.serviceTime) * (1 + 0.3*utilization + float64(queued)/float64(slots)))
}

// Ticket is an attempt in progress, or a request that waits for an engine.
type Ticket struct {
	placer *Placer
	pool   *pool
	e      *endpoint
	load   load
	owner  Owner
	// epoch is the placer's schedulerEpoch at the start. A later scheduler does not know the attempt.
	epoch int
	plain bool
	// waiting is set when the request waits for shared parts and has not been sent.
	waiting bool
	// probe is set if the request is the one that the endpoint gets after a pause.
	probe  bool
	chain  PrefixChain
	output int
	// events counts the parts of the response that this daemon has received.
	events   int
	expected time.Duration
	// backlog is the number of pending prefill tokens on the endpoint at the start, including the request's own.
	backlog        int
	started        time.Time
	firstEventAt   time.Time
	firstEventSeen bool
	ended          bool
}

// Owner says which daemon sent an attempt and which daemon placed it.
type Owner uint8

// The owners of an attempt.
const (
	// Local attempts were placed and sent by this daemon.
	Local Owner = iota
	// ScheduledByPeer attempts are sent by this daemon and were placed by another daemon as its scheduler.
	ScheduledByPeer
	// ScheduledForPeer attempts are sent by another daemon and were placed by this daemon as its scheduler.
	ScheduledForPeer
)

// SchedulerChanged records a change of the scheduler. The new scheduler does not know the attempts that its
// predecessor placed, so reports count them as this daemon's own from now on.
func (b *Placer) SchedulerChanged() {
	b.schedulerEpoch++
	for _, e := range b.endpoints {
		e.ownScheduled = load{}
	}
}

// Start records that an attempt is sent to the chosen endpoint.
func (b *Placer) Start(now time.Time, poolName string, r *Request, c Choice, owner Owner) *Ticket {
	t := b.newTicket(now, poolName, r, c, owner)
	if !t.plain {
		b.cache.markPending(now, t.chain, t.e.hash)
	}
	t.e.health.started(now)
	if owner == ScheduledByPeer && t.pool != nil && t.pool.shares != nil && r.Workspace != 0 {
		// Without the scheduler, the shares start from the requests that it admitted.
		work := shareWork(r, c)
		t.pool.shares.offer(now, r, work, false)
		t.pool.shares.admit(now, r, work)
	}
	if owner != ScheduledForPeer {
		t.probe = b.pauses.started(t.e.hash)
	}
	return t
}

// Reserve records that a request waits for the chosen endpoint. The caller must end the ticket before it places
// the request again.
func (b *Placer) Reserve(now time.Time, poolName string, r *Request, c Choice, owner Owner) *Ticket {
	t := b.newTicket(now, poolName, r, c, owner)
	t.waiting = true
	return t
}

// newTicket adds the load of a request to the chosen endpoint.
func (b *Placer) newTicket(now time.Time, poolName string, r *Request, c Choice, owner Owner) *Ticket {
	p := b.pools[poolName]
	e := b.endpoint(now, c.Endpoint)
	t := &Ticket{
		placer: b, pool: p, e: e, started: now, owner: owner, epoch: b.schedulerEpoch, expected: c.Wait,
		plain: p == nil || p.Engine == nil,
	}
	t.load = load{pendingPrefill: c.PrefillTokens, streams: 1}
	if b.strictClasses[r.Class] {
		t.load.strict = 1
	}
	if e.requests() == 0 {
		e.lastProgress = now
	}
	t.backlog = e.load().pendingPrefill + c.PrefillTokens
	t.apply(t.load)
	if !t.plain {
		t.chain = r.Chain
		t.output = r.Output
		e.memory.add(t.chain, t.output)
		t.observeHeld(now, r.Unscheduled)
	}
	return t
}

// apply adds a change of load to the counters of the ticket's owner.
func (t *Ticket) apply(l load) {
	switch t.owner {
	case ScheduledForPeer:
		t.e.scheduledForPeers.add(l)
	case ScheduledByPeer:
		if t.epoch == t.placer.schedulerEpoch {
			t.e.ownScheduled.add(l)
		}
		t.e.own.add(l)
	default:
		t.e.own.add(l)
	}
}

// Event records that the endpoint has sent a part of the response.
func (t *Ticket) Event(now time.Time) {
	t.e.lastProgress = now
	if t.ended {
		return
	}
	t.growOutput()
	if t.firstEventSeen {
		return
	}
	t.firstEventSeen, t.firstEventAt = true, now
	if t.owner != ScheduledForPeer {
		t.placer.pauses.accepted(now, t.e.hash)
	}
	t.apply(load{pendingPrefill: -t.load.pendingPrefill})
	if t.plain {
		return
	}
	if t.pool != nil {
		t.compareFirstEvent(now, now.Sub(t.started))
		t.observeFirstEvent(now.Sub(t.started))
	}
	t.placer.cache.markConfirmed(now, t.chain, t.e.hash, t.cacheCapacity())
}

// FirstEventSeen reports whether the first event has arrived.
func (t *Ticket) FirstEventSeen() bool { return t.firstEventSeen }

func (t *Ticket) cacheCapacity() int {
	if t.pool == nil || t.pool.Engine == nil {
		return 0
	}
	return t.pool.Engine.CacheTokens
}

// observeFirstEvent updates the latency model and the engine's relative speed with a time to the first event.
func (t *Ticket) observeFirstEvent(actual time.Duration) {
	model := &t.pool.latency
	if t.backlog >= minSpeedSampleTokens {
		expected := model.predict(float64(t.backlog))
		sample := min(max(float64(expected)/float64(max(actual, time.Millisecond)), minRelativeSpeed), maxRelativeSpeed)
		t.e.relativeSpeed += speedSmoothing * (sample - t.e.relativeSpeed)
	}
	model.observe(t.backlog, actual)
}

// Outcome is the result of an attempt as far as it affects placement.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Served: the endpoint sent a complete response.
	Served Outcome = iota
	// Refused: the endpoint stated that it did not execute the request.
	Refused
	// Failed: the endpoint sent an error or an incomplete response.
	Failed
	// Unreachable: the connection failed or was reset before a response.
	Unreachable
	// Gone: no process listens on the endpoint's address, or a different one does.
	Gone
	// Canceled: the caller disconnected or the deadline passed.
	Canceled
)

// End records the end of an attempt. Further calls have no effect.
func (t *Ticket) End(now time.Time, o Outcome) {
	if t.ended {
		return
	}
	t.ended = true
	e := t.e
	delta := load{streams: -t.load.streams, strict: -t.load.strict}
	if !t.firstEventSeen {
		delta.pendingPrefill = -t.load.pendingPrefill
	}
	t.apply(delta)
	if !t.plain {
		t.releaseHeld(now, o)
	}
	if t.waiting {
		return
	}
	if t.probe {
		t.placer.pauses.probeEnded(e.hash)
	}
	if !t.plain && !t.firstEventSeen {
		t.placer.cache.releasePending(t.chain, e.hash)
	}
	switch o {
	case Served:
		e.lastProgress = now
		e.health.succeeded(now)
		t.compareEnd(now)
		if t.plain {
			e.serviceTime += time.Duration(serviceTimeSmoothing * float64(now.Sub(t.started)-e.serviceTime))
		}
	case Failed, Refused:
		e.health.failed(now)
	case Unreachable:
		t.placer.unreachable(now, e)
	case Gone:
		// An endpoint restarted on the same address has an empty cache.
		t.placer.unreachable(now, e)
		t.placer.cache.removeEngine(e.hash)
	}
	t.placer.paceFailed(now, e, o)
}

// unreachable starts a back-off of an endpoint. With pacing, its limit says how much it gets afterwards; the cost of a
// failure would leave it idle for many seconds more wherever others have room.
func (b *Placer) unreachable(now time.Time, e *endpoint) {
	if b.pacer != nil {
		e.health.backOff(now)
		return
	}
	e.health.unreachable(now)
}

// interleaveZones sorts endpoints so that any leading part of the list is spread over the availability zones.
// All daemons compute the same order.
func interleaveZones(endpoints []*endpoint) []*endpoint {
	byZone := map[string][]*endpoint{}
	for _, e := range endpoints {
		byZone[e.Zone] = append(byZone[e.Zone], e)
	}
	rank := make(map[*endpoint]int, len(endpoints))
	for _, list := range byZone {
		slices.SortFunc(list, func(a, b *endpoint) int { return cmp.Compare(a.hash, b.hash) })
		for i, e := range list {
			rank[e] = i
		}
	}
	slices.SortFunc(endpoints, func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(rank[a], rank[b]), cmp.Compare(a.hash, b.hash))
	})
	return endpoints
}
