package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivewind/chivewind/traffic"
)

const (
	// speedGain is the weight of a new measurement of an engine's relative speed.
	speedGain = 0.1
	// minMeasured is the number of unread tokens from which the time to the first event shows the speed;
	// below, fixed costs dominate.
	minMeasured = 3000
	// minRelative and maxRelative bound a measurement of the relative speed.
	minRelative = 0.1
	maxRelative = 2.0
	// initialService is the time that a plain service takes until it has been measured.
	initialService = 60 * time.Millisecond
	serviceGain    = 0.1
	// silence is how long an endpoint with requests may send nothing before it is suspected.
	silence = time.Second
)

// load is what occupies an endpoint.
type load struct {
	// unread are prompt tokens of requests without a first event.
	unread int
	// streams counts requests in progress, strict those with the shortest pauses.
	streams int
	strict  int
}

func (l *load) sub(o load) {
	l.unread -= o.unread
	l.streams -= o.streams
	l.strict -= o.strict
}

func (l *load) add(o load) {
	l.unread += o.unread
	l.streams += o.streams
	l.strict += o.strict
}

// endpoint is the state of one incarnation of an endpoint.
type endpoint struct {
	traffic.Endpoint
	hash uint32
	// own is the load of this daemon's requests, and ownScheduled the part of it that its scheduler placed.
	own          load
	ownScheduled load
	// hosted is the load of requests that this daemon placed as the scheduler of others.
	hosted load
	// remote is the load of the other daemons by their reports, and remoteSum the sum of it.
	remote    map[string]load
	remoteSum load
	memory    memory
	health    health
	// speed is the engine's reading speed relative to its pool.
	speed float64
	// service is the smoothed time of a plain request at an idle slot.
	service time.Duration
	// progressAt is when the endpoint last sent something or received a request while it had none.
	progressAt time.Time
}

func newEndpoint(now time.Time, info traffic.Endpoint) *endpoint {
	return &endpoint{
		Endpoint: info, hash: hashID(info), remote: map[string]load{}, speed: 1, memory: newMemory(),
		service: initialService, progressAt: now,
	}
}

// load returns the load by all daemons.
func (e *endpoint) load() load {
	total := e.own
	total.add(e.hosted)
	total.add(e.remoteSum)
	return total
}

// setRemote replaces the load of another daemon.
func (e *endpoint) setRemote(daemon string, l load) {
	e.remoteSum.sub(e.remote[daemon])
	if l == (load{}) {
		delete(e.remote, daemon)
		return
	}
	e.remote[daemon] = l
	e.remoteSum.add(l)
}

// requests returns the number of requests that this daemon knows to be running there.
func (e *endpoint) requests() int { return e.own.streams + e.hosted.streams }

// silent says that the endpoint has sent nothing for a while although requests of this daemon run there.
func (e *endpoint) silent(now time.Time) bool {
	return e.requests() > 0 && now.Sub(e.progressAt) > silence
}

// readingSpeed returns the engine's speed in tokens per millisecond.
func (e *endpoint) readingSpeed(p *pool) float64 { return p.calibration.speed() * e.speed }

// plainWait returns the expected time of one more request at a plain service.
func (e *endpoint) plainWait() time.Duration {
	slots := max(e.Slots, 1)
	streams := e.load().streams
	waiting := max(streams+1-slots, 0)
	busy := float64(min(streams, slots)) / float64(slots)
	// A little cost for taken slots spreads the requests before a queue forms.
	return time.Duration(float64(e.service) * (1 + 0.3*busy + float64(waiting)/float64(slots)))
}

// Ticket is an attempt in progress.
type Ticket struct {
	board *Board
	pool  *pool
	e     *endpoint
	load  load
	owner Owner
	// epoch is the scheduler's at the start; a later scheduler does not know the attempt.
	epoch int
	plain bool
	// reserved says that the request waits and is not sent yet.
	reserved bool
	chain    Chain
	output   int
	expected time.Duration
	ahead    int
	started  time.Time
	first    bool
	ended    bool
}

// Owner says whose attempt it is.
type Owner uint8

// The owners of an attempt.
const (
	// Own attempts were placed by this daemon for itself.
	Own Owner = iota
	// Scheduled attempts are this daemon's, placed by the scheduler of the pool.
	Scheduled
	// Hosted attempts are another daemon's, placed by this one as scheduler.
	Hosted
)

// NewScheduler says that another process schedules from now on. It does not know the attempts that the one
// before placed, so that reports count them as this daemon's own.
func (b *Board) NewScheduler() {
	b.epoch++
	for _, e := range b.endpoints {
		e.ownScheduled = load{}
	}
}

// Start records that an attempt is sent to the chosen endpoint.
func (b *Board) Start(now time.Time, poolName string, r *Request, c Choice, owner Owner) *Ticket {
	t := b.ticket(now, poolName, r, c, owner)
	if !t.plain {
		b.cache.promise(now, t.chain, t.e.hash)
	}
	t.e.health.began(now)
	return t
}

// Reserve records that a request waits for the chosen endpoint. The ticket ends before the request is placed
// again.
func (b *Board) Reserve(now time.Time, poolName string, r *Request, c Choice, owner Owner) *Ticket {
	t := b.ticket(now, poolName, r, c, owner)
	t.reserved = true
	return t
}

// ticket adds the load of a request to the chosen endpoint.
func (b *Board) ticket(now time.Time, poolName string, r *Request, c Choice, owner Owner) *Ticket {
	p := b.pools[poolName]
	e := b.endpoint(now, c.Endpoint)
	t := &Ticket{board: b, pool: p, e: e, started: now, owner: owner, epoch: b.epoch, expected: c.Wait, plain: p == nil || p.Engine == nil}
	t.load = load{unread: c.Read, streams: 1}
	if b.strict[r.Class] {
		t.load.strict = 1
	}
	if e.requests() == 0 {
		e.progressAt = now
	}
	t.ahead = e.load().unread + c.Read
	t.apply(t.load)
	if !t.plain {
		t.chain = r.Chain
		t.output = r.Output
		e.memory.add(t.chain, t.output)
	}
	return t
}

// apply adds a change of load to the owner's part.
func (t *Ticket) apply(l load) {
	switch t.owner {
	case Hosted:
		t.e.hosted.add(l)
	case Scheduled:
		if t.epoch == t.board.epoch {
			t.e.ownScheduled.add(l)
		}
		t.e.own.add(l)
	default:
		t.e.own.add(l)
	}
}

// Event records that the endpoint has sent something of the answer.
func (t *Ticket) Event(now time.Time) {
	t.e.progressAt = now
	if t.first || t.ended {
		return
	}
	t.first = true
	t.apply(load{unread: -t.load.unread})
	if t.plain {
		return
	}
	if t.pool != nil {
		t.measure(now.Sub(t.started))
	}
	t.board.cache.confirm(now, t.chain, t.e.hash, t.capacity())
}

// First says whether the first event has arrived.
func (t *Ticket) First() bool { return t.first }

func (t *Ticket) capacity() int {
	if t.pool == nil || t.pool.Engine == nil {
		return 0
	}
	return t.pool.Engine.CacheTokens
}

// measure updates the expected times from the time to the first event.
func (t *Ticket) measure(actual time.Duration) {
	c := &t.pool.calibration
	if t.ahead >= minMeasured {
		expected := c.expect(float64(t.ahead))
		relative := min(max(float64(expected)/float64(max(actual, time.Millisecond)), minRelative), maxRelative)
		t.e.speed += speedGain * (relative - t.e.speed)
	}
	c.observe(t.ahead, actual)
}

// Outcome says how an attempt ended, as far as placement is concerned.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Served: the endpoint gave a complete answer.
	Served Outcome = iota
	// Refused: the endpoint stated that it did not run the request.
	Refused
	// Failed: the endpoint answered with an error or broke its answer.
	Failed
	// Unreachable: no connection could be made, or it was reset before an answer.
	Unreachable
	// Gone: no process listens at the endpoint's address, or another one does.
	Gone
	// Abandoned: the caller left or the time was up.
	Abandoned
)

// End records the end of an attempt.
func (t *Ticket) End(now time.Time, o Outcome) {
	if t.ended {
		return
	}
	t.ended = true
	e := t.e
	rest := load{streams: -t.load.streams, strict: -t.load.strict}
	if !t.first {
		rest.unread = -t.load.unread
	}
	t.apply(rest)
	if !t.plain {
		e.memory.remove(t.chain, t.output)
	}
	if t.reserved {
		return
	}
	if !t.plain && !t.first {
		t.board.cache.withdraw(t.chain, e.hash)
	}
	switch o {
	case Served:
		e.progressAt = now
		e.health.succeeded(now)
		if t.plain {
			e.service += time.Duration(serviceGain * float64(now.Sub(t.started)-e.service))
		}
	case Failed, Refused:
		e.health.failed(now)
	case Unreachable:
		e.health.unreachable(now)
	case Gone:
		// An endpoint that starts again at the address begins with an empty cache.
		e.health.unreachable(now)
		t.board.cache.drop(e.hash)
	}
}

// interleaveZones orders endpoints so that each prefix of the list is spread over the availability zones.
// All daemons get the same order.
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
