package tiered

import "math/bits"

// maxPrefixBlocks bounds the number of blocks of a prompt that are looked up.
const maxPrefixBlocks = 64

// prefixCache tracks which endpoints hold which prefix blocks. Each block has a record with one bit per
// endpoint. The blocks of an endpoint are limited to the size of its cache and evicted by the CLOCK
// (second-chance) algorithm.
type prefixCache struct {
	records map[uint64]int32
	// words is the number of 64-bit words per record in holders and referenced. A bit in holders says
	// that an endpoint holds the block; a bit in referenced says that the block was used again since the
	// clock hand last passed it.
	words       int
	holders     []uint64
	referenced  []uint64
	freeRecords []int32
	// prefixBlocks is the result of match. matching is the bit set that match uses for the endpoints that
	// hold all blocks compared so far.
	prefixBlocks []uint8
	matching     []uint64
}

// blockRing holds the blocks of one endpoint as the ring of the CLOCK algorithm.
type blockRing struct {
	blocks    []uint64
	clockHand int
	limit     int
}

func newPrefixCache() *prefixCache {
	return &prefixCache{records: map[uint64]int32{}, words: 1, matching: make([]uint64, 1), prefixBlocks: make([]uint8, 64)}
}

// grow makes the records long enough for an endpoint index. It reports whether they became longer, in
// which case all records have been dropped.
func (c *prefixCache) grow(index int) bool {
	words := index/64 + 1
	if words <= c.words {
		return false
	}
	*c = prefixCache{
		records: map[uint64]int32{}, words: words,
		matching: make([]uint64, words), prefixBlocks: make([]uint8, 64*words),
	}
	return true
}

func (c *prefixCache) add(index int, ring *blockRing, block uint64) {
	if ring.limit == 0 {
		return
	}
	word, bit := index/64, uint64(1)<<(index%64)
	r, ok := c.records[block]
	if ok && c.holders[int(r)*c.words+word]&bit != 0 {
		c.referenced[int(r)*c.words+word] |= bit
		return
	}
	if len(ring.blocks) < ring.limit {
		ring.blocks = append(ring.blocks, block)
	} else {
		c.evict(index, ring)
		ring.blocks[ring.clockHand] = block
		ring.clockHand = (ring.clockHand + 1) % len(ring.blocks)
		r, ok = c.records[block]
	}
	if !ok {
		r = c.newRecord()
		c.records[block] = r
	}
	c.holders[int(r)*c.words+word] |= bit
}

// evict advances the clock hand to a block that was not referenced and removes that block.
func (c *prefixCache) evict(index int, ring *blockRing) {
	word, bit := index/64, uint64(1)<<(index%64)
	for {
		block := ring.blocks[ring.clockHand]
		r, ok := c.records[block]
		if !ok || c.referenced[int(r)*c.words+word]&bit == 0 {
			c.remove(index, block)
			return
		}
		c.referenced[int(r)*c.words+word] &^= bit
		ring.clockHand = (ring.clockHand + 1) % len(ring.blocks)
	}
}

func (c *prefixCache) newRecord() int32 {
	if n := len(c.freeRecords); n > 0 {
		r := c.freeRecords[n-1]
		c.freeRecords = c.freeRecords[:n-1]
		return r
	}
	r := int32(len(c.holders) / c.words)
	for range c.words {
		c.holders = append(c.holders, 0)
		c.referenced = append(c.referenced, 0)
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
	c.holders[start+index/64] &= mask
	c.referenced[start+index/64] &= mask
	for _, w := range c.holders[start : start+c.words] {
		if w != 0 {
			return
		}
	}
	delete(c.records, block)
	c.freeRecords = append(c.freeRecords, r)
}

// removeAll removes all blocks of an endpoint.
func (c *prefixCache) removeAll(index int, ring *blockRing) {
	for _, block := range ring.blocks {
		c.remove(index, block)
	}
	ring.blocks, ring.clockHand = ring.blocks[:0], 0
}

// match returns, by endpoint index, how many of the leading blocks each endpoint holds. The result is
// valid until the next call. It is nil if no endpoint holds the first block.
func (c *prefixCache) match(blocks []uint64) []uint8 {
	found := false
	for i, block := range blocks {
		r, ok := c.records[block]
		if !ok || i == maxPrefixBlocks {
			break
		}
		holders := c.holders[int(r)*c.words : (int(r)+1)*c.words]
		if i == 0 {
			clear(c.prefixBlocks)
			copy(c.matching, holders)
		}
		matchingBits := uint64(0)
		for w := range c.matching {
			c.matching[w] &= holders[w]
			matchingBits |= c.matching[w]
			for rest := c.matching[w]; rest != 0; rest &= rest - 1 {
				c.prefixBlocks[w*64+bits.TrailingZeros64(rest)]++
			}
		}
		if matchingBits == 0 {
			break
		}
		found = true
	}
	if !found {
		return nil
	}
	return c.prefixBlocks
}
