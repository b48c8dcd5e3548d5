package engine

import (
	"container/list"
	"strconv"
	"sync"
)

// maxCacheEvents bounds the cache events kept for load reports; a reader that falls further behind sees a gap
// in the sequence.
const maxCacheEvents = 4096

// cacheEvent is a block that was added to the prefix cache or removed from it.
type cacheEvent struct {
	hash    uint64
	removed bool
}

// prefixCache is an LRU cache of prefix blocks with an event log.
type prefixCache struct {
	size int

	mu     sync.Mutex
	order  *list.List
	blocks map[uint64]*list.Element
	events []cacheEvent
	// sequence is the number of the newest event.
	sequence uint64
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// lookupAndInsert returns the number of leading blocks of a prompt that were cached, and caches all its blocks.
func (c *prefixCache) lookupAndInsert(hashes []uint64) int {
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
		c.appendEvent(cacheEvent{hash: h})
	}
	for c.order.Len() > c.size {
		e := c.order.Back()
		h := e.Value.(uint64)
		c.order.Remove(e)
		delete(c.blocks, h)
		c.appendEvent(cacheEvent{hash: h, removed: true})
	}
	return hits
}

func (c *prefixCache) appendEvent(e cacheEvent) {
	c.sequence++
	c.events = append(c.events, e)
	if len(c.events) > maxCacheEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-maxCacheEvents/2:]...)
	}
}

// reset evicts all blocks, to simulate the loss of the cache in a crash.
func (c *prefixCache) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for h := range c.blocks {
		c.appendEvent(cacheEvent{hash: h, removed: true})
	}
	c.order.Init()
	clear(c.blocks)
}

// eventsAfter returns the newest sequence number and the retained events after the given one.
func (c *prefixCache) eventsAfter(sequence uint64) (newest uint64, added, removed []string) {
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
