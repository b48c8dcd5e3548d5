package tiered

import "math/bits"

// maxPrefixBlocks bounds the blocks of a prompt that are looked up.
const maxPrefixBlocks = 64

// prefixCache records which endpoints hold which prefix blocks. Each block has a record with one
// bit per endpoint. An endpoint's blocks are limited to the size of its cache; when it is full, a
// block that was not used since the last pass is dropped (second chance).
type prefixCache struct {
	records map[uint64]int32
	// words is the number of 64-bit words per record.
	words  int
	held   []uint64
	used   []uint64
	spare  []int32
	depths []uint8
	alive  []uint64
}

// blockRing holds the blocks of one endpoint in the order of insertion.
type blockRing struct {
	blocks []uint64
	hand   int
	limit  int
}

func newPrefixCache() *prefixCache {
	return &prefixCache{records: map[uint64]int32{}, words: 1, alive: make([]uint64, 1), depths: make([]uint8, 64)}
}

// grow makes room for an endpoint index. All records are dropped when they become longer.
func (c *prefixCache) grow(index int) bool {
	words := index/64 + 1
	if words <= c.words {
		return false
	}
	*c = prefixCache{
		records: map[uint64]int32{}, words: words,
		alive: make([]uint64, words), depths: make([]uint8, 64*words),
	}
	return true
}

func (c *prefixCache) add(index int, ring *blockRing, block uint64) {
	if ring.limit == 0 {
		return
	}
	word, bit := index/64, uint64(1)<<(index%64)
	r, ok := c.records[block]
	if ok && c.held[int(r)*c.words+word]&bit != 0 {
		c.used[int(r)*c.words+word] |= bit
		return
	}
	if len(ring.blocks) < ring.limit {
		ring.blocks = append(ring.blocks, block)
	} else {
		c.evict(index, ring)
		ring.blocks[ring.hand] = block
		ring.hand = (ring.hand + 1) % len(ring.blocks)
		r, ok = c.records[block]
	}
	if !ok {
		r = c.newRecord()
		c.records[block] = r
	}
	c.held[int(r)*c.words+word] |= bit
}

// evict moves the hand to a place that may be overwritten.
func (c *prefixCache) evict(index int, ring *blockRing) {
	word, bit := index/64, uint64(1)<<(index%64)
	for {
		block := ring.blocks[ring.hand]
		r, ok := c.records[block]
		if !ok || c.used[int(r)*c.words+word]&bit == 0 {
			c.remove(index, block)
			return
		}
		c.used[int(r)*c.words+word] &^= bit
		ring.hand = (ring.hand + 1) % len(ring.blocks)
	}
}

func (c *prefixCache) newRecord() int32 {
	if n := len(c.spare); n > 0 {
		r := c.spare[n-1]
		c.spare = c.spare[:n-1]
		return r
	}
	r := int32(len(c.held) / c.words)
	for range c.words {
		c.held = append(c.held, 0)
		c.used = append(c.used, 0)
	}
	return r
}

func (c *prefixCache) remove(index int, block uint64) {
	r, ok := c.records[block]
	if !ok {
		return
	}
	start := int(r) * c.words
	mask := ^(uint64(1) << (index % 64))
	c.held[start+index/64] &= mask
	c.used[start+index/64] &= mask
	for _, w := range c.held[start : start+c.words] {
		if w != 0 {
			return
		}
	}
	delete(c.records, block)
	c.spare = append(c.spare, r)
}

// forget drops all blocks of an endpoint.
func (c *prefixCache) forget(index int, ring *blockRing) {
	for _, block := range ring.blocks {
		c.remove(index, block)
	}
	ring.blocks, ring.hand = ring.blocks[:0], 0
}

// match counts, for each endpoint, how many leading blocks it holds. The result is valid until the
// next call; it is nil when no endpoint holds the first block.
func (c *prefixCache) match(blocks []uint64) []uint8 {
	found := false
	for i, block := range blocks {
		r, ok := c.records[block]
		if !ok || i == maxPrefixBlocks {
			break
		}
		held := c.held[int(r)*c.words : (int(r)+1)*c.words]
		if i == 0 {
			clear(c.depths)
			copy(c.alive, held)
		}
		any := uint64(0)
		for w := range c.alive {
			c.alive[w] &= held[w]
			any |= c.alive[w]
			for rest := c.alive[w]; rest != 0; rest &= rest - 1 {
				c.depths[w*64+bits.TrailingZeros64(rest)]++
			}
		}
		if any == 0 {
			break
		}
		found = true
	}
	if !found {
		return nil
	}
	return c.depths
}
