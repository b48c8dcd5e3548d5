package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivewind/chivewind/internal/dispatch"
	"github.com/chivewind/chivewind/internal/rendezvous"
	"github.com/chivewind/chivewind/peer"
)

// Parameters of placement.
const (
	// prefixBlocks is the number of leading prompt blocks that are hashed to select the shards.
	prefixBlocks = 4
	// loadMaxAge is the age above which a reported shard load is ignored.
	loadMaxAge = 30 * time.Second
	// minBackoff and maxBackoff bound the delay before the next message to a scheduler whose stream
	// failed or that replied that it does not own a shard.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// unreachableThreshold is the number of consecutive stream failures after which waiting requests
	// are placed at their other candidate. The first failure may be that of an old connection, so a
	// second one, of a new connection, is required.
	unreachableThreshold = 2
)

// backoff computes exponential retry delays after consecutive failures.
type backoff struct {
	failures    int
	until       time.Time
	lastFailure time.Time
}

// recordFailure counts a failure and sets until, the time before which no retry is made. If immediate
// is true, the retry after the first failure is not delayed, because a new connection may succeed. The
// count restarts if the previous failure was more than 5*maxBackoff ago.
func (b *backoff) recordFailure(now time.Time, immediate bool) {
	if now.Sub(b.lastFailure) > 5*maxBackoff {
		b.failures = 0
	}
	b.failures++
	b.lastFailure = now
	b.until = now
	exponent := b.failures - 1
	if immediate {
		exponent--
	}
	if exponent >= 0 {
		// The exponent is limited so that the shift does not overflow.
		b.until = now.Add(min(minBackoff<<min(exponent, 6), maxBackoff))
	}
}

// candidates returns up to two shards of a pool, the one with the lower utilization first if both
// utilizations are known. Requests with the same workspace and prompt prefix get the same shards, where
// the prefix is likely to be cached; requests without prompt blocks are distributed by request ID. c.mu
// is held.
func (c *Client) candidates(pool string, a *peer.Acquire) []string {
	p := c.pools[pool]
	if p == nil {
		return nil
	}
	top := p.set.Top(routeKey(a), 2)
	list := make([]string, len(top))
	for i, index := range top {
		list[i] = p.ids[index]
	}
	if len(list) == 2 {
		first, ok1 := c.utilization(list[0])
		second, ok2 := c.utilization(list[1])
		if ok1 && ok2 && second < first {
			list[0], list[1] = list[1], list[0]
		}
	}
	return list
}

// routeKey hashes the workspace and the prompt prefix, or the request ID if there are no prompt blocks.
func routeKey(a *peer.Acquire) rendezvous.Hash {
	h := xxhash.New()
	_, _ = h.WriteString(a.Workspace)
	if len(a.Blocks) == 0 {
		_, _ = h.WriteString(a.Attempt.RequestId)
	}
	for i, b := range a.Blocks {
		if i == prefixBlocks {
			break
		}
		var buf [8]byte
		for j := range buf {
			buf[j] = byte(b >> (8 * j))
		}
		_, _ = h.Write(buf[:])
	}
	return rendezvous.Hash(h.Sum64())
}

// utilization returns the waiting and running requests of a shard per slot. It returns false if there
// is no recent load. c.mu is held.
func (c *Client) utilization(shard string) (float64, bool) {
	s, ok := c.loads[shard]
	if !ok || time.Since(s.at) > loadMaxAge {
		return 0, false
	}
	return float64(s.load.Waiting+s.load.Running) / float64(max(1, s.load.Slots)), true
}

// placeLoop updates the placement of calls after changes and each PingInterval, and sheds calls that
// no scheduler serves.
func (c *Client) placeLoop() {
	ticker := time.NewTicker(PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.changed:
			c.placeAll()
		case <-ticker.C:
			c.placeAll()
			c.shedUnserved()
			c.deleteStale()
		}
	}
}

// placeAll places all calls, granted ones first.
func (c *Client) placeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls := slices.SortedFunc(maps.Values(c.calls), func(a, b *call) int {
		// Running attempts are registered first, so that their slots are not granted to waiting
		// ones; within each state, calls are sorted by arrival.
		return cmp.Or(cmp.Compare(b.state, a.state), a.arrival.Compare(b.arrival))
	})
	for _, k := range calls {
		c.place(k)
	}
}

// place registers a call with the owner of its shard and binds it to the link over which it did so. It
// does nothing if the call is already registered there or the shard has no owner. Otherwise it first withdraws
// the call from the scheduler with which it is registered. A waiting call whose owner is unreachable is placed
// at its other candidate shard if possible. If the owner must not be contacted yet, the call stays unbound
// until a later run. c.mu is held.
func (c *Client) place(k *call) {
	c.refreshShard(k)
	if k.shard == "" {
		c.withdraw(k)
		return
	}
	owner := c.owner(k.shard)
	if k.link != nil && owner != nil && k.link.connectsTo(owner) && k.registeredShard == k.shard {
		return
	}
	if owner == nil {
		return
	}
	c.withdraw(k)
	if k.state == callWaiting && c.unreachable(owner) {
		if other := c.switchCandidate(k, owner); other != nil {
			owner = other
		}
	}
	if c.backingOff(k.shard, owner) {
		return
	}
	l := c.linkTo(owner)
	if l == nil {
		return
	}
	l.lastUsedAt = time.Now()
	k.link = l
	k.registeredShard = k.shard
	if k.state == callGranted {
		c.count.resumed.Inc(1)
		k.reportedTokens = k.tokens.Load()
	} else if k.registeredBefore {
		c.count.reregistered.Inc(1)
	}
	k.registeredBefore = true
	l.out.put(k.registration())
}

// refreshShard updates a call's shard after a configuration change: a granted call belongs to the shard
// of its endpoint, a waiting call to a candidate shard of its pool. c.mu is held.
func (c *Client) refreshShard(k *call) {
	if k.state == callGranted {
		k.shard = c.endpointShard[k.endpoint]
		return
	}
	if c.shardIDs[k.shard] {
		return
	}
	k.candidates = c.candidates(k.pool, k.acquire)
	k.firstShed = nil
	k.shard = ""
	if len(k.candidates) > 0 {
		k.shard = k.candidates[0]
	}
}

// owner returns the member that owns a shard in this daemon's view, or nil if there is none.
func (c *Client) owner(shard string) *peer.Member {
	owners := c.cfg.Members.Owners(shard, 1)
	if len(owners) == 0 {
		return nil
	}
	return owners[0]
}

// unreachable reports whether at least unreachableThreshold consecutive streams to a member have failed.
// c.mu is held.
func (c *Client) unreachable(m *peer.Member) bool {
	b := c.streamBackoffs[m.Id]
	return b != nil && b.failures >= unreachableThreshold
}

// switchCandidate moves a waiting call to its other candidate shard if that has a different owner that
// is reachable, and returns that owner, else nil. c.mu is held.
func (c *Client) switchCandidate(k *call, owner *peer.Member) *peer.Member {
	for _, shard := range k.candidates {
		other := c.owner(shard)
		if shard != k.shard && other != nil && other.Id != owner.Id && !c.unreachable(other) {
			k.shard = shard
			return other
		}
	}
	return nil
}

// backingOff reports whether the owner must not be contacted yet for a shard. If so, it triggers
// placement at the end of the delay. c.mu is held.
func (c *Client) backingOff(shard string, owner *peer.Member) bool {
	now := time.Now()
	for _, b := range []*backoff{c.streamBackoffs[owner.Id], c.movedBackoffs[movedKey(shard, owner.Id)]} {
		if b != nil && now.Before(b.until) {
			if !now.Before(c.nextRetryAt) || b.until.Before(c.nextRetryAt) {
				c.nextRetryAt = b.until
				time.AfterFunc(b.until.Sub(now), c.triggerPlacement)
			}
			return true
		}
	}
	return false
}

// movedKey returns the key of a shard and a member in Client.movedBackoffs.
func movedKey(shard, member string) string { return shard + "\x00" + member }

// withdraw sends a Cancel for a call to the scheduler that it is bound to, and unbinds it. c.mu is held.
func (c *Client) withdraw(k *call) {
	if k.link == nil {
		return
	}
	k.link.out.put(&peer.ScheduleRequest{Message: &peer.ScheduleRequest_Cancel{
		Cancel: &peer.Cancel{Attempt: wireAttempt(k.id)},
	}})
	k.link = nil
}

// shedUnserved sheds waiting calls that have had no responsive scheduler for unservedTimeout, or that
// have none after their deadline. Otherwise their callers could wait for longer than a retry would take.
func (c *Client) shedUnserved() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.calls {
		if k.state != callWaiting {
			continue
		}
		if k.link != nil && k.link.responsive {
			k.lastServedAt = now
			continue
		}
		expired := !k.deadline.IsZero() && now.After(k.deadline)
		if !expired && now.Sub(k.lastServedAt) < unservedTimeout {
			continue
		}
		reason := ReasonNoScheduler
		if expired {
			reason = ReasonExpired
		}
		c.withdraw(k)
		c.removeCall(k)
		k.result <- &dispatch.ShedError{Reason: reason, RetryAfter: time.Second}
	}
}

// deleteStale deletes backoffs and loads that are older than loadMaxAge.
func (c *Client) deleteStale() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	stale := func(_ string, b *backoff) bool { return now.Sub(b.lastFailure) > loadMaxAge }
	maps.DeleteFunc(c.streamBackoffs, stale)
	maps.DeleteFunc(c.movedBackoffs, stale)
	maps.DeleteFunc(c.loads, func(_ string, s loadSample) bool { return now.Sub(s.at) > loadMaxAge })
}
