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

// Limits of placement.
const (
	// prefixBlocks is the number of prompt blocks that choose the shard.
	prefixBlocks = 4
	// loadMaxAge is the age above which a shard's load counts as unknown.
	loadMaxAge = 30 * time.Second
	// retryMin and retryMax bound the wait before a scheduler that failed, or that does not yet
	// know that it owns a shard, is asked again.
	retryMin = 50 * time.Millisecond
	retryMax = time.Second
	// unreachableAfter is the number of failed streams in a row, one of them new, after which
	// waiting requests go to their other candidate.
	unreachableAfter = 2
)

// failure delays the next try after failures in a row.
type failure struct {
	count int
	until time.Time
	last  time.Time
}

// add counts a failure. The first one has no delay: a new connection is tried at once.
func (f *failure) add(now time.Time, immediate bool) {
	if now.Sub(f.last) > 5*retryMax {
		f.count = 0
	}
	f.count++
	f.last = now
	f.until = now
	step := f.count - 1
	if immediate {
		step--
	}
	if step >= 0 {
		f.until = now.Add(min(retryMin<<min(step, 6), retryMax))
	}
}

// candidates returns up to two shards of a pool, the less loaded one first. Requests with the same
// prompt prefix go to the same shards, where the prefix is cached; requests without known blocks
// are spread.
func (c *Client) candidates(pool string, a *peer.Acquire) []string {
	p := c.pools[pool]
	if p == nil {
		return nil
	}
	top := p.set.Top(routeKey(a), 2)
	list := make([]string, len(top))
	for i, at := range top {
		list[i] = p.ids[at]
	}
	if len(list) == 2 {
		first, ok1 := c.load(list[0])
		second, ok2 := c.load(list[1])
		if ok1 && ok2 && second < first {
			list[0], list[1] = list[1], list[0]
		}
	}
	return list
}

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

// load returns the requests of a shard per slot, if they are known.
func (c *Client) load(shard string) (float64, bool) {
	s, ok := c.loads[shard]
	if !ok || time.Since(s.at) > loadMaxAge {
		return 0, false
	}
	return float64(s.load.Waiting+s.load.Running) / float64(max(1, s.load.Slots)), true
}

// placeLoop places calls again after changes, and sheds calls that no scheduler serves.
func (c *Client) placeLoop() {
	ticker := time.NewTicker(PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.dirty:
			c.placeAll()
		case <-ticker.C:
			c.placeAll()
			c.shedUnserved()
			c.forget()
		}
	}
}

func (c *Client) placeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls := slices.SortedFunc(maps.Values(c.calls), func(a, b *call) int {
		// Running attempts come first, so that no waiting one gets their slots; waiting ones keep
		// their order.
		return cmp.Or(cmp.Compare(b.state, a.state), a.arrival.Compare(b.arrival))
	})
	for _, k := range calls {
		c.place(k)
	}
}

// place binds a call to the owner of its shard and registers it there. c.mu is held.
func (c *Client) place(k *call) {
	c.chooseShard(k)
	if k.shard == "" {
		c.cancelAt(k)
		return
	}
	owner := c.owner(k.shard)
	if k.link != nil && owner != nil && k.link.serves(owner) && k.placed == k.shard {
		return
	}
	if owner == nil {
		return
	}
	c.cancelAt(k)
	if k.state == callWaiting && c.unreachable(owner) {
		if other := c.alternate(k, owner); other != nil {
			owner = other
		}
	}
	if c.delayed(k.shard, owner) {
		return
	}
	l := c.linkTo(owner)
	if l == nil {
		return
	}
	l.usedAt = time.Now()
	k.link = l
	k.placed = k.shard
	if k.state == callGranted {
		c.count.resumed.Inc(1)
		k.reported = k.tokens.Load()
	} else if k.asked {
		c.count.reasked.Inc(1)
	}
	k.asked = true
	l.out.put(k.message())
}

// chooseShard corrects a call's shard after a change of the configuration: a running call belongs
// to the shard of its endpoint, a waiting one to a shard of its pool. c.mu is held.
func (c *Client) chooseShard(k *call) {
	if k.state == callGranted {
		k.shard = c.shardOf[k.endpoint]
		return
	}
	if c.defined[k.shard] {
		return
	}
	k.candidates = c.candidates(k.pool, k.acquire)
	k.shed = nil
	k.shard = ""
	if len(k.candidates) > 0 {
		k.shard = k.candidates[0]
	}
}

func (c *Client) owner(shard string) *peer.Member {
	owners := c.cfg.Members.Owners(shard, 1)
	if len(owners) == 0 {
		return nil
	}
	return owners[0]
}

// unreachable says that several streams to a member failed in a row. c.mu is held.
func (c *Client) unreachable(m *peer.Member) bool {
	f := c.failures[m.Id]
	return f != nil && f.count >= unreachableAfter
}

// alternate moves a waiting call to its other candidate when that has another, reachable owner.
// c.mu is held.
func (c *Client) alternate(k *call, owner *peer.Member) *peer.Member {
	for _, shard := range k.candidates {
		other := c.owner(shard)
		if shard != k.shard && other != nil && other.Id != owner.Id && !c.unreachable(other) {
			k.shard = shard
			return other
		}
	}
	return nil
}

// delayed says that the owner must not be asked yet, and asks for a later run of the place loop.
// c.mu is held.
func (c *Client) delayed(shard string, owner *peer.Member) bool {
	now := time.Now()
	for _, f := range []*failure{c.failures[owner.Id], c.moves[moveKey(shard, owner.Id)]} {
		if f != nil && now.Before(f.until) {
			if !now.Before(c.wakeAt) || f.until.Before(c.wakeAt) {
				c.wakeAt = f.until
				time.AfterFunc(f.until.Sub(now), c.wake)
			}
			return true
		}
	}
	return false
}

func moveKey(shard, member string) string { return shard + "\x00" + member }

// cancelAt withdraws a call from the scheduler it is bound to. c.mu is held.
func (c *Client) cancelAt(k *call) {
	if k.link == nil {
		return
	}
	k.link.out.put(&peer.ScheduleRequest{Message: &peer.ScheduleRequest_Cancel{
		Cancel: &peer.Cancel{Attempt: attempt(k.id)},
	}})
	k.link = nil
}

// shedUnserved sheds waiting calls whose scheduler is not reachable, since they may hold callers
// for longer than a retry would.
func (c *Client) shedUnserved() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.calls {
		if k.state != callWaiting {
			continue
		}
		if k.link != nil && k.link.up {
			k.servedAt = now
			continue
		}
		expired := !k.deadline.IsZero() && now.After(k.deadline)
		if !expired && now.Sub(k.servedAt) < unavailableLimit {
			continue
		}
		reason := ReasonNoScheduler
		if expired {
			reason = ReasonExpired
		}
		c.cancelAt(k)
		c.end(k)
		k.result <- &dispatch.ShedError{Reason: reason, RetryAfter: time.Second}
	}
}

// forget drops failures and loads that no longer matter.
func (c *Client) forget() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	old := func(_ string, f *failure) bool { return now.Sub(f.last) > loadMaxAge }
	maps.DeleteFunc(c.failures, old)
	maps.DeleteFunc(c.moves, old)
	maps.DeleteFunc(c.loads, func(_ string, s loadSample) bool { return now.Sub(s.at) > loadMaxAge })
}
