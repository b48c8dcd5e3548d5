package engine

import (
	"container/list"
	"strconv"
	"sync"
)

// keptEvents bounds the cache events that a load report can still deliver; a reader that comes later
// sees a gap.
const keptEvents = 4096

// cacheEvent is a block that was added to the prefix cache or removed from it.
type cacheEvent struct {
	hash    uint64
	removed bool
}

// prefixCache is a least-recently-used cache of prefix blocks with an event log.
type prefixCache struct {
	size int

	mu     sync.Mutex
	order  *list.List
	blocks map[uint64]*list.Element
	events []cacheEvent
	// sequence numbers the newest event.
	sequence uint64
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// use counts the prompt's leading blocks that are cached, and caches all of them.
func (c *prefixCache) use(hashes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for i, h := range hashes {
		if e, ok := c.blocks[h]; ok {
			c.order.MoveToFront(e)
			if hits == i {
				hits++
			}
			continue
		}
		c.blocks[h] = c.order.PushFront(h)
		c.log(cacheEvent{hash: h})
	}
	for c.order.Len() > c.size {
		e := c.order.Back()
		h := e.Value.(uint64)
		c.order.Remove(e)
		delete(c.blocks, h)
		c.log(cacheEvent{hash: h, removed: true})
	}
	return hits
}

func (c *prefixCache) log(e cacheEvent) {
	c.sequence++
	c.events = append(c.events, e)
	if len(c.events) > keptEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-keptEvents/2:]...)
	}
}

// reset forgets all blocks, as a crash does.
func (c *prefixCache) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for h := range c.blocks {
		c.log(cacheEvent{hash: h, removed: true})
	}
	c.order.Init()
	clear(c.blocks)
}

// after returns the events after a sequence number that are still known.
func (c *prefixCache) after(sequence uint64) (newest uint64, added, removed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.sequence - uint64(len(c.events))
	for i, e := range c.events {
		if first+uint64(i)+1 <= sequence {
			continue
		}
		hex := strconv.FormatUint(e.hash, 16)
		if e.removed {
			removed = append(removed, hex)
		} else {
			added = append(added, hex)
		}
	}
	return c.sequence, added, removed
}
