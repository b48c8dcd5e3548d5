package bench

import "container/list"

// blockTokens is the size of a block of the prefix cache in tokens.
const blockTokens = 128

// prefixCache is an LRU cache of prompt prefix blocks that records its changes for load reports.
type prefixCache struct {
	// capacity is the maximum number of blocks.
	capacity int
	recency  *list.List
	index    map[uint64]*list.Element
	// sequence counts all changes. A reader detects missing changes by comparing the increase of sequence with
	// the number of reported changes. Changes that takeEvents leaves out are counted and appear as missing.
	sequence uint64
	added    []uint64
	removed  []uint64
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), index: map[uint64]*list.Element{}}
}

// access looks up the blocks of a prompt and returns the number of leading blocks that were cached. Then
// it caches all blocks.
func (c *prefixCache) access(blocks []uint64) int {
	hits := 0
	for _, b := range blocks {
		if c.index[b] == nil {
			break
		}
		hits++
	}
	// Insert the last block first, so that the end of a prefix is evicted before its start.
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if e := c.index[b]; e != nil {
			c.recency.MoveToFront(e)
			continue
		}
		c.index[b] = c.recency.PushFront(b)
		c.added = append(c.added, b)
		c.sequence++
	}
	for c.recency.Len() > c.capacity {
		b := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.index, b)
		c.removed = append(c.removed, b)
		c.sequence++
	}
	return hits
}

// takeEvents returns the changes since the last call. It leaves out additions of blocks that are no longer
// cached and removals of blocks that are cached again.
func (c *prefixCache) takeEvents() (sequence uint64, added, removed []uint64) {
	for _, b := range c.added {
		if c.index[b] != nil {
			added = append(added, b)
		}
	}
	for _, b := range c.removed {
		if c.index[b] == nil {
			removed = append(removed, b)
		}
	}
	c.added, c.removed = nil, nil
	return c.sequence, added, removed
}

// clear empties the cache at a crash of the engine. The sequence number advances without an event, which a
// reader sees as a gap.
func (c *prefixCache) clear() {
	c.recency.Init()
	clear(c.index)
	c.added, c.removed = nil, nil
	c.sequence++
}
