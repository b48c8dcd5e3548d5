package placement

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivewind/chivewind/traffic"
)

const (
	// cacheFraction is the fraction of an engine's memory that prompt parts, including those of running
	// requests, may use before the least recently used ones are evicted. The rest is left for generated tokens.
	cacheFraction = 0.9
	// pendingTTL is the time since its last use after which a pending part may be evicted.
	pendingTTL = 10 * time.Second
	// maxUpdatesPerReport limits the number of cached parts in one report.
	maxUpdatesPerReport = 24
	// updateRepeats is the number of reports that carry each cached part, because reports can be lost.
	updateRepeats = 2
)

// PrefixChain identifies the parts of a prompt by prefix hashes: the hash of a part includes all parts before it,
// because a part can be reused only together with those.
type PrefixChain struct {
	// Keys are the prefix hashes. Ends are the numbers of tokens from the start of the prompt to the end of
	// each part.
	Keys []uint64
	Ends []int
	// Total is the length of the prompt in tokens, and Shared the length of all parts but the last.
	Total  int
	Shared int
}

// NewPrefixChain returns the chain of a prompt, or an empty chain if p is nil.
func NewPrefixChain(p *traffic.Prompt) PrefixChain {
	if p == nil {
		return PrefixChain{}
	}
	c := PrefixChain{Total: p.Tokens, Shared: min(p.SharedTokens(), p.Tokens)}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(p.Model)
	sum := 0
	for _, part := range p.Parts {
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(part.ID)
		sum += part.Tokens
		c.Keys = append(c.Keys, d.Sum64())
		c.Ends = append(c.Ends, sum)
	}
	c.Total = max(c.Total, sum)
	return c
}

// sharedPrefixKey returns the prefix hash of all parts but the last. It returns false if there are fewer than
// two parts.
func (c PrefixChain) sharedPrefixKey() (uint64, bool) {
	if len(c.Keys) < 2 {
		return 0, false
	}
	return c.Keys[len(c.Keys)-2], true
}

// prefixTokens returns the number of tokens in the first n parts.
func (c PrefixChain) prefixTokens(n int) int {
	if n == 0 {
		return 0
	}
	return c.Ends[n-1]
}

// cacheEntry is one prompt part on one engine.
type cacheEntry struct {
	key    uint64
	tokens int
	// confirmed is set once the engine has prefilled the part; until then the part is pending.
	confirmed bool
	// pendingPrefills is the number of requests without a first event whose prompt includes the part.
	pendingPrefills int
	lastUsed        time.Time
}

// engineCache models the prompt cache of one engine, with least-recently-used eviction.
type engineCache struct {
	parts  map[uint64]*list.Element
	lru    *list.List
	tokens int
}

// cacheUpdate is a cached part that has to be reported to the other daemons.
type cacheUpdate struct {
	key         uint64
	engine      uint32
	tokens      int
	repeatsLeft int
}

// cacheIndex tracks which engines have which prompt parts, derived from the requests that all daemons sent to
// them.
type cacheIndex struct {
	engines map[uint32]*engineCache
	// confirmedOn holds the set of engines that have prefilled a part, by part.
	confirmedOn map[uint64]map[uint32]bool
	// engineCounts holds the number of engines that have a part or are prefilling it, by part.
	engineCounts map[uint64]int
	updates      []cacheUpdate
}

func newCacheIndex() *cacheIndex {
	return &cacheIndex{
		engines: map[uint32]*engineCache{}, confirmedOn: map[uint64]map[uint32]bool{}, engineCounts: map[uint64]int{},
	}
}

func (m *cacheIndex) engine(hash uint32) *engineCache {
	e := m.engines[hash]
	if e == nil {
		e = &engineCache{parts: map[uint64]*list.Element{}, lru: list.New()}
		m.engines[hash] = e
	}
	return e
}

// matchPrefix returns the number of leading parts that an engine has or is prefilling, and how many of them are
// confirmed.
func (m *cacheIndex) matchPrefix(c PrefixChain, engine uint32) (matched, confirmed int) {
	e := m.engines[engine]
	if e == nil {
		return 0, 0
	}
	for matched < len(c.Keys) {
		el := e.parts[c.Keys[matched]]
		if el == nil {
			break
		}
		if confirmed == matched && el.Value.(*cacheEntry).confirmed {
			confirmed++
		}
		matched++
	}
	return matched, confirmed
}

// sharedPrefixKnown reports whether some engine has all shared parts of a chain or is prefilling them.
func (m *cacheIndex) sharedPrefixKnown(c PrefixChain) bool {
	key, ok := c.sharedPrefixKey()
	return ok && m.engineCounts[key] > 0
}

// copySource is an engine that has the given number of leading parts of a chain.
type copySource struct {
	engine uint32
	parts  int
}

// copySources holds the two best engines to copy a chain from, so that each engine finds one other than itself.
type copySources [2]copySource

// bestFor returns the best source from which the given engine can copy, and the number of leading parts that the
// source has. Both are 0 if there is none.
func (s copySources) bestFor(engine uint32) (uint32, int) {
	for _, candidate := range s {
		if candidate.parts > 0 && candidate.engine != engine {
			return candidate.engine, candidate.parts
		}
	}
	return 0, 0
}

// findCopySources returns the usable engines with the most confirmed leading parts. Among equal ones, the
// engine that used them last is first.
func (m *cacheIndex) findCopySources(c PrefixChain, usable func(engine uint32) bool) copySources {
	var found copySources
	n := 0
	for parts := len(c.Keys); parts > 0 && n < len(found); parts-- {
		var best, second copySource
		var bestAt, secondAt time.Time
		for engine := range m.confirmedOn[c.Keys[parts-1]] {
			el := m.engines[engine].parts[c.Keys[parts-1]]
			if el == nil || (n > 0 && engine == found[0].engine) || !usable(engine) {
				continue
			}
			at := el.Value.(*cacheEntry).lastUsed
			switch {
			case best.parts == 0 || at.After(bestAt) || (at.Equal(bestAt) && engine < best.engine):
				second, secondAt = best, bestAt
				best, bestAt = copySource{engine, parts}, at
			case second.parts == 0 || at.After(secondAt) || (at.Equal(secondAt) && engine < second.engine):
				second, secondAt = copySource{engine, parts}, at
			}
		}
		for _, s := range []copySource{best, second} {
			if s.parts > 0 && n < len(found) {
				found[n] = s
				n++
			}
		}
	}
	return found
}

// markPending records that an engine is about to prefill a chain.
func (m *cacheIndex) markPending(now time.Time, c PrefixChain, engine uint32) {
	e := m.engine(engine)
	for i, key := range c.Keys {
		m.upsert(now, e, engine, key, c.prefixTokens(i+1)-c.prefixTokens(i), false)
		e.parts[key].Value.(*cacheEntry).pendingPrefills++
	}
}

// markConfirmed records that an engine has prefilled a chain, and evicts parts beyond the engine's capacity in
// tokens.
func (m *cacheIndex) markConfirmed(now time.Time, c PrefixChain, engine uint32, capacity int) {
	e := m.engine(engine)
	for i, key := range c.Keys {
		tokens := c.prefixTokens(i+1) - c.prefixTokens(i)
		if el := e.parts[key]; el != nil {
			el.Value.(*cacheEntry).pendingPrefills--
		}
		if fresh := m.upsert(now, e, engine, key, tokens, true); fresh {
			m.updates = append(m.updates, cacheUpdate{key: key, engine: engine, tokens: tokens, repeatsLeft: updateRepeats})
		}
	}
	m.evict(now, e, engine, capacity)
}

// upsert adds a part or marks it as used, and reports whether it is newly confirmed.
func (m *cacheIndex) upsert(now time.Time, e *engineCache, engine uint32, key uint64, tokens int, confirmed bool) bool {
	el := e.parts[key]
	if el == nil {
		el = e.lru.PushFront(&cacheEntry{key: key, tokens: tokens})
		e.parts[key] = el
		e.tokens += tokens
		m.engineCounts[key]++
	}
	e.lru.MoveToFront(el)
	part := el.Value.(*cacheEntry)
	part.lastUsed = now
	if !confirmed || part.confirmed {
		return false
	}
	part.confirmed = true
	if m.confirmedOn[key] == nil {
		m.confirmedOn[key] = map[uint32]bool{}
	}
	m.confirmedOn[key][engine] = true
	return true
}

// evict removes the least recently used parts beyond the engine's capacity in tokens; 0 means no limit. Pending
// parts are kept until they have not been used for pendingTTL.
func (m *cacheIndex) evict(now time.Time, e *engineCache, engine uint32, capacity int) {
	limit := int(cacheFraction * float64(capacity))
	for el := e.lru.Back(); el != nil && capacity > 0 && e.tokens > limit; {
		previous := el.Prev()
		if part := el.Value.(*cacheEntry); part.confirmed || now.Sub(part.lastUsed) > pendingTTL {
			m.remove(e, engine, el)
		}
		el = previous
	}
}

func (m *cacheIndex) remove(e *engineCache, engine uint32, el *list.Element) {
	part := el.Value.(*cacheEntry)
	e.lru.Remove(el)
	delete(e.parts, part.key)
	e.tokens -= part.tokens
	if m.engineCounts[part.key]--; m.engineCounts[part.key] == 0 {
		delete(m.engineCounts, part.key)
	}
	if engines := m.confirmedOn[part.key]; engines != nil {
		delete(engines, engine)
		if len(engines) == 0 {
			delete(m.confirmedOn, part.key)
		}
	}
}

// releasePending records that a request ended before the engine had prefilled its chain. Pending parts that no
// other request needs are removed.
func (m *cacheIndex) releasePending(c PrefixChain, engine uint32) {
	e := m.engines[engine]
	if e == nil {
		return
	}
	for _, key := range c.Keys {
		el := e.parts[key]
		if el == nil {
			continue
		}
		part := el.Value.(*cacheEntry)
		if part.pendingPrefills--; part.pendingPrefills <= 0 && !part.confirmed {
			m.remove(e, engine, el)
		}
	}
}

// removeEngine removes all parts of an engine.
func (m *cacheIndex) removeEngine(engine uint32) {
	e := m.engines[engine]
	if e == nil {
		return
	}
	for el := e.lru.Front(); el != nil; {
		next := el.Next()
		m.remove(e, engine, el)
		el = next
	}
	delete(m.engines, engine)
}

// takeUpdates returns the cached parts for the next report. Each part is returned updateRepeats times.
func (m *cacheIndex) takeUpdates() []cacheUpdate {
	n := min(len(m.updates), maxUpdatesPerReport)
	out := append([]cacheUpdate(nil), m.updates[:n]...)
	rest := m.updates[:0]
	for i, item := range m.updates {
		if i < n {
			item.repeatsLeft--
		}
		if item.repeatsLeft > 0 {
			rest = append(rest, item)
		}
	}
	m.updates = rest
	return out
}
