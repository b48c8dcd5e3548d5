package placement

import (
	"math"
	"time"

	"github.com/chivewind/chivewind/internal/rendezvous"
)

const (
	// goodPaceRatio is the ratio of an answer's time to the one expected of the endpoint's peers up to which the limit
	// grows. Admission lets the expected time take up to 0.65 of a target, so that an answer 1.5 times as late still
	// meets it.
	goodPaceRatio = 1.5
	// badPaceRatio is the ratio from which the limit shrinks. Under overload admission lets the expected time take 0.4 of
	// a target, which an answer 2.5 times as late misses.
	badPaceRatio = 2.5
	// paceCut is the factor by which a bad answer reduces the limit, and paceCutInterval the shortest time between two
	// reductions: the requests of one moment are slow for the same reason.
	paceCut         = 0.7
	paceCutInterval = 250 * time.Millisecond
	// newEndpointFraction is the fraction of an endpoint's slots with which one that is new to the pool begins. It works
	// but has nothing cached.
	newEndpointFraction = 0.125
	// idlePaceDoubling is the time in which the limit for a plain service doubles as long as this daemon sends it no
	// requests: other daemons find its pace meanwhile, which this one does not see.
	idlePaceDoubling = time.Second
	// paceRetention is the time without an answer after which a limit ends. What was learned of the endpoint is too old,
	// for example on a daemon whose requests another one places.
	paceRetention = 10 * time.Second
	// minPacedOutput is the number of output tokens from which the time between the first event and the end of a stream
	// indicates the pace of its events. With fewer tokens, fixed costs dominate.
	minPacedOutput = 16
	// paceSmoothing is the weight of a new answer in an average that measures the pace of answers.
	paceSmoothing = 0.1
)

// pacer limits the requests in progress on endpoints that have just started or recovered. The limit follows from how they
// answer compared with the other endpoints of the pool: it grows by one with each answer that is as fast as those, so that
// it doubles with each round of answers, and shrinks with slow and failed ones. It ends when it has reached what the
// endpoint may run anyway.
//
// For engines the limit applies to the requests of all daemons, because the scheduler places them all. For plain services
// each daemon has its own limit, of which it takes its share of the fleet: with a share below one, only some of the
// daemons, chosen by hash, send requests to the endpoint.
type pacer struct {
	paces map[uint32]*pace
}

// pace is the limit of one endpoint.
type pace struct {
	limit float64
	// changed is the time of the last answer that was compared, or of the last idle growth.
	changed time.Time
	cutAt   time.Time
}

// EnablePacing makes the placer limit the requests on endpoints that have just started or recovered.
func (b *Placer) EnablePacing() {
	b.pacer = &pacer{paces: map[uint32]*pace{}}
}

// Paced returns the number of endpoints with a limit.
func (b *Placer) Paced() int {
	if b.pacer == nil {
		return 0
	}
	return len(b.pacer.paces)
}

// unlimited returns the number of requests in progress from which an endpoint needs no limit of its own.
func (p *pool) unlimited(e *endpoint) float64 {
	if p.Engine != nil {
		return maxStreamFraction * float64(max(e.Slots, 1))
	}
	return float64(max(e.Slots, 1))
}

// begin sets a limit for an endpoint, or reduces the one it has.
func (p *pacer) begin(now time.Time, hash uint32, limit float64) {
	if p == nil {
		return
	}
	known := p.paces[hash]
	if known == nil {
		known = &pace{limit: math.Inf(1)}
		p.paces[hash] = known
	}
	known.limit, known.changed = max(min(known.limit, limit), 1), now
}

// beginNew sets the limit of an endpoint that is new to a pool in use.
func (p *pacer) beginNew(now time.Time, e *endpoint) {
	p.begin(now, e.hash, newEndpointFraction*float64(e.Slots))
}

// forget removes the limit of an endpoint that no longer exists.
func (p *pacer) forget(hash uint32) {
	if p != nil {
		delete(p.paces, hash)
	}
}

// paceAllows reports whether an endpoint may receive another request now.
func (b *Placer) paceAllows(now time.Time, p *pool, e *endpoint) bool {
	if b.pacer == nil {
		return true
	}
	known := b.pacer.paces[e.hash]
	if known == nil {
		return true
	}
	if now.Sub(known.changed) > paceRetention && e.requests() == 0 {
		delete(b.pacer.paces, e.hash)
		return true
	}
	inProgress := e.load().streams
	if p.Engine != nil {
		return inProgress < int(known.limit)
	}
	if e.own.streams == 0 {
		b.growIdle(now, p, e, known)
	}
	if inProgress >= int(known.limit) {
		return false
	}
	share := known.limit / float64(max(b.daemons, 1))
	if share >= 1 {
		return e.own.streams < int(share)
	}
	return e.own.streams == 0 && float64(rendezvous.Weight(b.salt, rendezvous.Hash(e.hash)))/math.MaxUint64 < share
}

// growIdle raises the limit of a plain service to which this daemon sends no requests.
func (b *Placer) growIdle(now time.Time, p *pool, e *endpoint, known *pace) {
	if idle := now.Sub(known.changed); idle > 0 {
		known.limit *= math.Exp2(float64(idle) / float64(idlePaceDoubling))
		known.changed = now
	}
	b.endPaceAt(p, e, known)
}

// endPaceAt removes a limit that has reached what the endpoint may run anyway. For a plain service each daemon must reach
// its share of that.
func (b *Placer) endPaceAt(p *pool, e *endpoint, known *pace) {
	if known.limit >= p.unlimited(e) {
		delete(b.pacer.paces, e.hash)
	}
}

// compare changes the limit after an answer that took the given multiple of the time expected of the endpoint's peers.
func (b *Placer) compare(now time.Time, p *pool, e *endpoint, ratio float64) {
	if b.pacer == nil || p == nil {
		return
	}
	known := b.pacer.paces[e.hash]
	if known == nil {
		return
	}
	known.changed = now
	switch {
	case ratio <= goodPaceRatio:
		// Answers of an endpoint that has far fewer requests than its limit say nothing about a higher one.
		if 2*float64(e.load().streams+1) >= known.limit {
			known.limit++
		}
		b.endPaceAt(p, e, known)
	case ratio >= badPaceRatio:
		known.cut(now)
	}
}

// cut reduces the limit.
func (k *pace) cut(now time.Time) {
	if now.Sub(k.cutAt) >= paceCutInterval {
		k.limit, k.cutAt = max(paceCut*k.limit, 1), now
	}
}

// paceFailed changes the limit after an attempt that failed. An endpoint that is unreachable begins with the requests that
// it still has: none are left after a crash, and nearly all after the loss of one connection.
func (b *Placer) paceFailed(now time.Time, e *endpoint, o Outcome) {
	if b.pacer == nil {
		return
	}
	switch o {
	case Unreachable, Gone:
		b.pacer.begin(now, e.hash, float64(e.load().streams))
		// The endpoint gets nothing during the back-off, so that no daemon finds its pace meanwhile.
		if b.pacer.paces[e.hash].changed = now; now.Before(e.health.downUntil) {
			b.pacer.paces[e.hash].changed = e.health.downUntil
		}
	case Failed, Refused:
		if known := b.pacer.paces[e.hash]; known != nil {
			known.changed = now
			known.cut(now)
		}
	}
}

// answerPace measures how long the answers of a pool take after their first event, per output token, or altogether for
// plain services.
type answerPace struct {
	mean time.Duration
}

// ratio returns a time as a multiple of the mean. If typical is set, it then includes the time in the mean.
func (a *answerPace) ratio(d time.Duration, typical bool) float64 {
	if a.mean <= 0 {
		a.mean = max(d, 1)
		return 1
	}
	ratio := float64(d) / float64(a.mean)
	if !typical {
		return ratio
	}
	a.mean += time.Duration(paceSmoothing * float64(min(d, time.Duration(maxOutlierRatio*float64(a.mean)))-a.mean))
	return ratio
}

// compareFirstEvent compares the time to a first event with the one expected of the pool's engines.
func (t *Ticket) compareFirstEvent(now time.Time, actual time.Duration) {
	expected := t.pool.latency.predict(float64(t.backlog))
	t.placer.compare(now, t.pool, t.e, float64(actual)/float64(max(expected, time.Millisecond)))
}

// compareEnd compares the pace of a complete answer with that of the pool.
func (t *Ticket) compareEnd(now time.Time) {
	if t.placer.pacer == nil || t.pool == nil {
		return
	}
	// The mean is that of the endpoints without a limit: a slow one must not be compared with itself.
	typical := t.placer.pacer.paces[t.e.hash] == nil
	if t.plain {
		t.placer.compare(now, t.pool, t.e, t.pool.answers.ratio(now.Sub(t.started), typical))
		return
	}
	if t.output < minPacedOutput || !t.firstEventSeen {
		return
	}
	// A fast end is no reason to send more before the first events are seen to be fast.
	if ratio := t.pool.answers.ratio(now.Sub(t.firstEventAt)/time.Duration(t.output), typical); ratio >= badPaceRatio {
		t.placer.compare(now, t.pool, t.e, ratio)
	}
}
