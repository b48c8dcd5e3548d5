package placement

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivewind/chivewind/traffic"
)

const (
	// cacheShare is the part of an engine's memory that prompt parts take, those of running requests included,
	// before the least recently used yield. The rest holds generated tokens.
	cacheShare = 0.9
	// promiseAge is how long a part that is being read counts as cached on its engine.
	promiseAge = 10 * time.Second
	// maxNews bounds the cached parts that one report carries.
	maxNews = 24
	// newsRepeats is the number of reports that carry each one, because reports may be lost.
	newsRepeats = 2
)

// Chain is the parts of a prompt as hashes, each of a part with all before it: a part is cached only
// together with those before it.
type Chain struct {
	// Keys are the hashes, and Ends the tokens up to the end of each part.
	Keys []uint64
	Ends []int
	// Total is the length of the prompt, and Shared that of all parts but the last.
	Total  int
	Shared int
}

// NewChain returns the chain of a prompt.
func NewChain(p *traffic.Prompt) Chain {
	if p == nil {
		return Chain{}
	}
	c := Chain{Total: p.Tokens, Shared: min(p.SharedTokens(), p.Tokens)}
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

// sharedKey returns the hash of all parts but the last.
func (c Chain) sharedKey() (uint64, bool) {
	if len(c.Keys) < 2 {
		return 0, false
	}
	return c.Keys[len(c.Keys)-2], true
}

// tokens returns the tokens of the first n parts.
func (c Chain) tokens(n int) int {
	if n == 0 {
		return 0
	}
	return c.Ends[n-1]
}

// cached is one part on one engine.
type cached struct {
	key    uint64
	tokens int
	// confirmed says that the engine has read the part; before, it is only on its way.
	confirmed bool
	// readers is the number of requests in progress that make the engine read the part.
	readers int
	at      time.Time
}

// engineCache models what one engine keeps: the least recently used parts yield.
type engineCache struct {
	parts  map[uint64]*list.Element
	order  *list.List
	tokens int
}

// news is a cached part that the other daemons have not been told of often enough.
type news struct {
	key    uint64
	engine uint32
	tokens int
	left   int
}

// cacheMap knows which engine has which parts, from requests that all daemons sent there.
type cacheMap struct {
	engines map[uint32]*engineCache
	// holders counts the engines that have confirmed a part.
	holders map[uint64]map[uint32]bool
	// on counts the engines that have a part or are reading it.
	on   map[uint64]int
	news []news
}

func newCacheMap() *cacheMap {
	return &cacheMap{engines: map[uint32]*engineCache{}, holders: map[uint64]map[uint32]bool{}, on: map[uint64]int{}}
}

func (m *cacheMap) engine(hash uint32) *engineCache {
	e := m.engines[hash]
	if e == nil {
		e = &engineCache{parts: map[uint64]*list.Element{}, order: list.New()}
		m.engines[hash] = e
	}
	return e
}

// kept returns the number of leading parts that an engine has or is reading, and the number of those that
// it has.
func (m *cacheMap) kept(c Chain, engine uint32) (kept, confirmed int) {
	e := m.engines[engine]
	if e == nil {
		return 0, 0
	}
	for kept < len(c.Keys) {
		el := e.parts[c.Keys[kept]]
		if el == nil {
			break
		}
		if confirmed == kept && el.Value.(*cached).confirmed {
			confirmed++
		}
		kept++
	}
	return kept, confirmed
}

// known says whether an engine has all shared parts of a chain or is reading them.
func (m *cacheMap) known(c Chain) bool {
	key, ok := c.sharedKey()
	return ok && m.on[key] > 0
}

// source is an engine with a number of leading parts of a chain.
type source struct {
	engine uint32
	parts  int
}

// sources has the two best engines to copy a chain from, so that each engine finds one that is not itself.
type sources [2]source

// best returns the best source for an engine; 0 parts when there is none.
func (s sources) best(engine uint32) (uint32, int) {
	for _, candidate := range s {
		if candidate.parts > 0 && candidate.engine != engine {
			return candidate.engine, candidate.parts
		}
	}
	return 0, 0
}

// sources returns the usable engines with the most leading parts, the ones that used them last first.
func (m *cacheMap) sources(c Chain, usable func(engine uint32) bool) sources {
	var found sources
	n := 0
	for parts := len(c.Keys); parts > 0 && n < len(found); parts-- {
		var best, second source
		var bestAt, secondAt time.Time
		for engine := range m.holders[c.Keys[parts-1]] {
			el := m.engines[engine].parts[c.Keys[parts-1]]
			if el == nil || (n > 0 && engine == found[0].engine) || !usable(engine) {
				continue
			}
			at := el.Value.(*cached).at
			switch {
			case best.parts == 0 || at.After(bestAt) || (at.Equal(bestAt) && engine < best.engine):
				second, secondAt = best, bestAt
				best, bestAt = source{engine, parts}, at
			case second.parts == 0 || at.After(secondAt) || (at.Equal(secondAt) && engine < second.engine):
				second, secondAt = source{engine, parts}, at
			}
		}
		for _, s := range []source{best, second} {
			if s.parts > 0 && n < len(found) {
				found[n] = s
				n++
			}
		}
	}
	return found
}

// promise records that an engine is about to read a chain.
func (m *cacheMap) promise(now time.Time, c Chain, engine uint32) {
	e := m.engine(engine)
	for i, key := range c.Keys {
		m.put(now, e, engine, key, c.tokens(i+1)-c.tokens(i), false)
		e.parts[key].Value.(*cached).readers++
	}
}

// confirm records that an engine has read a chain.
func (m *cacheMap) confirm(now time.Time, c Chain, engine uint32, capacity int) {
	e := m.engine(engine)
	for i, key := range c.Keys {
		tokens := c.tokens(i+1) - c.tokens(i)
		if el := e.parts[key]; el != nil {
			el.Value.(*cached).readers--
		}
		if fresh := m.put(now, e, engine, key, tokens, true); fresh {
			m.news = append(m.news, news{key: key, engine: engine, tokens: tokens, left: newsRepeats})
		}
	}
	m.trim(now, e, engine, capacity)
}

// put adds or refreshes a part and says whether it is newly confirmed.
func (m *cacheMap) put(now time.Time, e *engineCache, engine uint32, key uint64, tokens int, confirmed bool) bool {
	el := e.parts[key]
	if el == nil {
		el = e.order.PushFront(&cached{key: key, tokens: tokens})
		e.parts[key] = el
		e.tokens += tokens
		m.on[key]++
	}
	e.order.MoveToFront(el)
	part := el.Value.(*cached)
	part.at = now
	if !confirmed || part.confirmed {
		return false
	}
	part.confirmed = true
	if m.holders[key] == nil {
		m.holders[key] = map[uint32]bool{}
	}
	m.holders[key][engine] = true
	return true
}

// trim drops the least recently used parts beyond the engine's memory.
func (m *cacheMap) trim(now time.Time, e *engineCache, engine uint32, capacity int) {
	limit := int(cacheShare * float64(capacity))
	for el := e.order.Back(); el != nil && capacity > 0 && e.tokens > limit; {
		previous := el.Prev()
		if part := el.Value.(*cached); part.confirmed || now.Sub(part.at) > promiseAge {
			m.remove(e, engine, el)
		}
		el = previous
	}
}

func (m *cacheMap) remove(e *engineCache, engine uint32, el *list.Element) {
	part := el.Value.(*cached)
	e.order.Remove(el)
	delete(e.parts, part.key)
	e.tokens -= part.tokens
	if m.on[part.key]--; m.on[part.key] == 0 {
		delete(m.on, part.key)
	}
	if holders := m.holders[part.key]; holders != nil {
		delete(holders, engine)
		if len(holders) == 0 {
			delete(m.holders, part.key)
		}
	}
}

// withdraw records that a request ended before the engine had read its chain. Parts that no other request
// makes the engine read are forgotten.
func (m *cacheMap) withdraw(c Chain, engine uint32) {
	e := m.engines[engine]
	if e == nil {
		return
	}
	for _, key := range c.Keys {
		el := e.parts[key]
		if el == nil {
			continue
		}
		part := el.Value.(*cached)
		if part.readers--; part.readers <= 0 && !part.confirmed {
			m.remove(e, engine, el)
		}
	}
}

// drop forgets an engine.
func (m *cacheMap) drop(engine uint32) {
	e := m.engines[engine]
	if e == nil {
		return
	}
	for el := e.order.Front(); el != nil; {
		next := el.Next()
		m.remove(e, engine, el)
		el = next
	}
	delete(m.engines, engine)
}

// takeNews returns parts for the next report.
func (m *cacheMap) takeNews() []news {
	n := min(len(m.news), maxNews)
	out := append([]news(nil), m.news[:n]...)
	rest := m.news[:0]
	for i, item := range m.news {
		if i < n {
			item.left--
		}
		if item.left > 0 {
			rest = append(rest, item)
		}
	}
	m.news = rest
	return out
}
