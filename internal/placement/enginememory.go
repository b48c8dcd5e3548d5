package placement

import (
	"math"
	"time"

	"github.com/chivewind/chivewind/internal/rendezvous"
)

// The decisions in this file respond to the memory of engines. An engine whose requests exceed its memory crashes with
// all of them, so no request is placed on an engine that may not hold it, whatever its class.

const (
	// outputMargin is the factor applied to the expected outputs of the requests on an engine, because an answer may be
	// longer than expected. Only a daemon that sends a request itself sees how long its answer has become.
	outputMargin = 1.25
	// unscheduledFraction is the fraction of an engine's memory that a daemon uses that places without a scheduler: it
	// doesn't know yet what others have placed since their last reports.
	unscheduledFraction = 0.88
	// unreportedHalfLife is the time in which the weight of the tokens that a daemon has placed without a scheduler halves
	// in the estimate of what others have placed and not reported. Reports take up to 400 ms, and some are lost.
	unreportedHalfLife = 500 * time.Millisecond
	// unreportedSpread is the factor applied to that estimate, because the others' requests are not spread evenly.
	unreportedSpread = 2.0
	// crowdedFraction is the fraction of an engine's memory in use above which only some of the daemons that place without
	// a scheduler use it, one in crowdedShare. Otherwise all of them would choose the same engine, the one with the least load.
	crowdedFraction = 0.4
	crowdedShare    = 3
	// remoteMargin is the factor applied to the estimated memory of requests that other daemons placed, because the
	// reports say how many requests and pending tokens there are, and not how much they hold.
	remoteMargin = 1.5
	// remotePeakRetention is the time for which the largest reported number of pending tokens counts as held. Pending
	// tokens are still held after they have been prefilled, until the request ends.
	remotePeakRetention = 10 * time.Second
	// heldSmoothing is the weight of a new request in pool.meanHeld, and durationSmoothing that in pool.meanDuration.
	heldSmoothing     = 0.02
	durationSmoothing = 0.05
	// initialDuration is the assumed duration of a request until one has been observed.
	initialDuration = time.Second
	// maxUnknownFraction limits the part of an engine's memory that is assumed to be in use by daemons whose load is
	// unknown, so that this assumption alone refuses no request of ordinary size.
	maxUnknownFraction = 0.5

	// minClaimFraction is the fraction of an engine's memory from which a request that fits no engine claims one.
	// Smaller requests find room on some engine whenever requests end.
	minClaimFraction = 1.0 / 16
	// minFullClaimFraction is the same for a request of the lowest priority that an engine could hold and that is refused
	// because memoryFraction is exceeded, as it always is for the largest requests on an engine that is in use.
	minFullClaimFraction = 0.25
	// claimedEngines is the fraction of a pool's engines that may be claimed at a time, at least one engine.
	claimedEngines = 0.25
	// claimGrace is how long a claim lasts after the time at which the caller was told to retry.
	claimGrace = 2 * time.Second
)

// memoryClaim reserves memory of an engine for a request that fits none of the pool's engines. Until it expires, only
// requests that fit beside it are placed on the engine.
type memoryClaim struct {
	// key is the prefix hash of the whole prompt, by which the request is recognized when its caller retries.
	key     uint64
	tokens  int
	since   time.Time
	expires time.Time
}

// memoryAccount is the part of a pool's state that concerns the memory of its engines.
type memoryAccount struct {
	// meanHeld is the smoothed number of tokens that a request holds; 0 until one has been placed.
	meanHeld float64
	// meanDuration is the smoothed duration of a request.
	meanDuration time.Duration
	// own is the number of tokens that requests sent by this daemon hold on all engines.
	own int
	// unreported is the decayed sum of the tokens that this daemon has placed without a scheduler.
	unreported decayingTokens
	// reserve is memory that less urgent requests leave free.
	reserve memoryReserve
	// claims holds the claimed engines by the key of the claim.
	claims map[uint64]*endpoint
}

func newMemoryAccount() memoryAccount {
	return memoryAccount{meanDuration: initialDuration, claims: map[uint64]*endpoint{}}
}

// decayingTokens is a number of tokens that halves every unreportedHalfLife.
type decayingTokens struct {
	tokens  float64
	updated time.Time
}

func (d *decayingTokens) decay(now time.Time) {
	d.tokens *= math.Exp2(-float64(now.Sub(d.updated)) / float64(unreportedHalfLife))
	d.updated = now
}

// remotePeak is the largest number of pending tokens on an endpoint that other daemons have reported lately.
type remotePeak struct {
	tokens int
	at     time.Time
}

func (p *remotePeak) observe(now time.Time, l load) {
	if l.streams <= 0 {
		*p = remotePeak{}
	} else if l.pendingPrefill >= p.tokens || now.Sub(p.at) > remotePeakRetention {
		*p = remotePeak{tokens: l.pendingPrefill, at: now}
	}
}

// claimKey returns the prefix hash of a whole prompt. It returns false if the prompt has no parts.
func (c PrefixChain) claimKey() (uint64, bool) {
	if len(c.Keys) == 0 {
		return 0, false
	}
	return c.Keys[len(c.Keys)-1], true
}

// SetDaemons sets the number of known daemons, including this one.
func (b *Placer) SetDaemons(n int) { b.daemons = n }

// memoryCheck decides for one request which engines can hold it, and keeps the engine that it may claim.
type memoryCheck struct {
	b        *Placer
	p        *pool
	r        *annotatedRequest
	now      time.Time
	capacity int
	// need is the number of tokens that the request holds if it shares none.
	need   int
	key    uint64
	hasKey bool
	// reserve is the number of tokens on each engine in use that are left to more urgent requests.
	reserve int
	// unknown is the estimated number of tokens on each engine of daemons whose load is unknown.
	unknown int
	// unreported is the estimated number of tokens that the daemons whose load is known have placed on each engine and
	// not reported yet.
	unreported int
	// claimed is the engine that the request has claimed, or nil.
	claimed *endpoint
	// noRoom is set when an engine was excluded. roomiest is the one of these that the request claims, missing the number
	// of tokens that it lacks, and held that of the tokens that it holds.
	noRoom   bool
	roomiest *endpoint
	missing  int
	held     int
}

func (b *Placer) newMemoryCheck(now time.Time, p *pool, r *annotatedRequest) memoryCheck {
	m := memoryCheck{b: b, p: p, r: r, now: now}
	if p.Engine == nil || p.Engine.CacheTokens <= 0 {
		return m
	}
	m.capacity, m.need = p.Engine.CacheTokens, r.Chain.Total+r.Output
	m.reserve = int(p.memory.reserve.against(now, r.Tier, func() bool { return b.lowestPriority(now, p, r) }) * float64(m.capacity))
	m.key, m.hasKey = r.Chain.claimKey()
	if m.hasKey {
		if e := p.memory.claims[m.key]; e != nil && now.Before(e.claim.expires) {
			m.claimed = e
		}
	}
	if r.Unscheduled && len(p.endpoints) > 0 {
		p.memory.unreported.decay(now)
		m.unreported = int(unreportedSpread * p.memory.unreported.tokens * float64(len(b.loadReporters)) / float64(len(p.endpoints)))
	}
	if unknown := b.daemons - 1 - len(b.loadReporters); r.Unscheduled && unknown > 0 && len(p.endpoints) > 0 {
		m.unknown = min(p.memory.own/len(p.endpoints)*unknown, int(maxUnknownFraction*float64(m.capacity)))
	}
	return m
}

// tooLarge reports whether the request exceeds the memory of an empty engine.
func (m *memoryCheck) tooLarge() bool { return m.capacity > 0 && m.need > m.capacity }

// fits reports whether an engine can hold the request besides those that it has.
func (m *memoryCheck) fits(e *endpoint) bool {
	if m.capacity == 0 {
		return true
	}
	others := m.b.remoteHeld(m.p, e) + m.unknown
	limit := m.capacity
	if m.r.Unscheduled && m.b.daemons > 1 {
		limit = m.unscheduledLimit(e, others+e.memory.tokens)
	}
	if e.claim.tokens > 0 && e != m.claimed && m.now.Before(e.claim.expires) {
		limit -= e.claim.tokens
	}
	if e != m.claimed && others+e.memory.tokens > 0 {
		limit -= m.reserve
	}
	held := others + e.memory.tokens + int((outputMargin-1)*float64(e.memory.outputs))
	total := held + e.memory.added(m.r.Chain, m.r.Output)
	if total <= limit {
		return true
	}
	m.exclude(e, total-limit, held)
	return false
}

// unscheduledLimit returns the number of tokens up to which a request is placed without a scheduler on an engine that is
// known to hold some. The limit leaves room for another daemon that places a request of the same size there at the same
// time. Only the daemons that use an engine also when it is crowded may place requests there that leave no such room, and
// only while nothing is known to be on it.
func (m *memoryCheck) unscheduledLimit(e *endpoint, held int) int {
	mine := len(m.p.endpoints) <= crowdedShare || rendezvous.Weight(m.b.salt, rendezvous.Hash(e.hash))%crowdedShare == 0
	switch {
	case mine && held == 0:
		return m.capacity
	case !mine && float64(held) > crowdedFraction*float64(m.capacity):
		return 0
	}
	return int(unscheduledFraction*float64(m.capacity)) - m.unreported - m.need
}

// exclude records an engine that lacks a number of tokens for the request. The engine that the request has claimed, or
// else one that it may claim, is preferred to others that lack fewer.
func (m *memoryCheck) exclude(e *endpoint, missing, held int) {
	better := !m.noRoom || missing < m.missing
	m.noRoom = true
	switch {
	case m.claimed != nil && e == m.claimed:
		m.roomiest, m.missing, m.held = e, missing, held
	case m.claimed == nil && m.claimable(e):
		if m.roomiest == nil || better {
			m.roomiest, m.missing, m.held = e, missing, held
		}
	case m.roomiest == nil && better:
		m.missing, m.held = missing, held
	}
}

// claimable reports whether an engine may be claimed. An engine is unclaimed for as long as it was claimed before, so that
// others get at least half of its time.
func (m *memoryCheck) claimable(e *endpoint) bool {
	return !m.now.Before(e.claim.expires) && !m.now.Before(e.claimableFrom)
}

// refusal returns the refusal of a request that no engine can hold now. The time to retry is the one in which enough of
// the engine's requests are expected to end, given that they end evenly over the mean duration. A request that is not
// small claims the engine that lacks the fewest tokens, if not too many are claimed, so that room becomes free for it.
// No memory is kept free for a workspace above its share.
func (m *memoryCheck) refusal(position standing) *Refusal {
	share := min(float64(m.missing)/float64(max(m.held, 1)), 1)
	after := retryAfter(time.Duration(share * float64(m.p.memory.meanDuration)))
	if position != aboveShare {
		m.claim(after)
		m.p.memory.reserve.add(m.now, m.r.Tier, float64(m.need)/float64(m.capacity))
	}
	return &Refusal{Reason: MemoryFull, RetryAfter: after}
}

// claimFull lets a request claim the engine of a choice that is refused for Full, if its memory is the cause.
func (m *memoryCheck) claimFull(c Choice, after time.Duration) {
	e := m.b.byHash[c.Hash]
	if e == nil || float64(m.need) < minFullClaimFraction*float64(m.capacity) || !e.memory.exceeds(m.r.Chain, m.r.Output, m.capacity) || !m.claimable(e) {
		return
	}
	m.roomiest = e
	m.claim(after)
}

// claim reserves memory of the roomiest engine until some time after the caller has been told to retry.
func (m *memoryCheck) claim(after time.Duration) {
	e := m.roomiest
	if e == nil || m.b.dryRun || !m.hasKey || float64(m.need) < minClaimFraction*float64(m.capacity) {
		return
	}
	expires := m.now.Add(after + claimGrace)
	if e == m.claimed {
		e.claim.expires = expires
		return
	}
	claims := m.p.memory.claims
	for key, claimed := range claims {
		if !m.now.Before(claimed.claim.expires) || !claimed.open {
			m.p.releaseClaim(claimed.claim.expires, key)
		}
	}
	if len(claims) < max(int(claimedEngines*float64(len(m.p.endpoints))), 1) {
		e.claim = memoryClaim{key: m.key, tokens: m.need, since: m.now, expires: expires}
		claims[m.key] = e
	}
}

// releaseClaim ends the claim with a key, if there is one.
func (p *pool) releaseClaim(now time.Time, key uint64) {
	e := p.memory.claims[key]
	if e == nil {
		return
	}
	delete(p.memory.claims, key)
	if e.claim.key == key {
		e.claimableFrom = now.Add(now.Sub(e.claim.since))
		e.claim = memoryClaim{}
	}
}

// remoteHeld returns the estimated number of tokens that requests of other daemons hold which this daemon has not placed.
func (b *Placer) remoteHeld(p *pool, e *endpoint) int {
	if e.remoteSum.streams <= 0 {
		return 0
	}
	mean := p.memory.meanHeld
	if mean == 0 {
		mean = float64(p.Engine.CacheTokens) / float64(max(e.Slots, 1))
	}
	return int(remoteMargin * max(float64(e.remoteSum.streams)*mean, float64(e.remotePeak.tokens)))
}

// observeHeld adds the memory of a new attempt to the pool's account.
func (t *Ticket) observeHeld(now time.Time, unscheduled bool) {
	account := &t.pool.memory
	held := t.chain.Total + t.output
	if unscheduled {
		account.unreported.decay(now)
		account.unreported.tokens += float64(held)
	}
	if held > 0 && account.meanHeld == 0 {
		account.meanHeld = float64(held)
	}
	account.meanHeld += heldSmoothing * (float64(held) - account.meanHeld)
	if t.owner != ScheduledForPeer {
		account.own += held
	}
	if key, ok := t.chain.claimKey(); ok && len(account.claims) > 0 {
		t.pool.releaseClaim(now, key)
	}
}

// releaseHeld removes the memory of an ended attempt.
func (t *Ticket) releaseHeld(now time.Time, o Outcome) {
	t.e.memory.remove(t.chain, t.output)
	if t.pool == nil {
		return
	}
	account := &t.pool.memory
	if t.owner != ScheduledForPeer {
		account.own -= t.chain.Total + t.output
	}
	if o == Served {
		account.meanDuration += time.Duration(durationSmoothing * float64(now.Sub(t.started)-account.meanDuration))
	}
}

// growOutput raises the ticket's expected output when the endpoint has sent more. It only sees attempts that this daemon
// sends.
func (t *Ticket) growOutput() {
	if t.plain || t.pool == nil || t.owner == ScheduledForPeer {
		return
	}
	t.events++
	if extra := t.events*t.pool.Engine.EventTokens - t.output; extra > 0 {
		t.output += extra
		t.e.memory.tokens += extra
		t.e.memory.outputs += extra
		t.pool.memory.own += extra
	}
}
