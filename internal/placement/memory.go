package placement

// memoryFraction is the fraction of an engine's memory that running requests may use. Above it, answers
// that are longer than expected would make the engine preempt requests.
const memoryFraction = 0.88

// memoryUsage estimates the number of tokens that an engine holds for running requests. Requests with the same
// shared parts hold them once.
type memoryUsage struct {
	tokens int
	// outputs is the part of tokens that are expected outputs.
	outputs     int
	sharedUsers map[uint64]int
}

func newMemoryUsage() memoryUsage { return memoryUsage{sharedUsers: map[uint64]int{}} }

// added returns the number of tokens that another request would add.
func (m *memoryUsage) added(c PrefixChain, output int) int {
	added := c.Total - c.Shared + output
	if key, ok := c.sharedPrefixKey(); ok && m.sharedUsers[key] == 0 {
		added += c.Shared
	}
	return added
}

// exceeds reports whether another request would exceed the memory for running requests. A capacity of 0 means
// no limit. An engine without requests runs any that fits its whole memory.
func (m *memoryUsage) exceeds(c PrefixChain, output, capacity int) bool {
	return capacity > 0 && m.tokens > 0 && m.tokens+m.added(c, output) > int(memoryFraction*float64(capacity))
}

func (m *memoryUsage) add(c PrefixChain, output int) {
	m.tokens += m.added(c, output)
	m.outputs += output
	if key, ok := c.sharedPrefixKey(); ok {
		m.sharedUsers[key]++
	}
}

func (m *memoryUsage) remove(c PrefixChain, output int) {
	m.tokens -= c.Total - c.Shared + output
	m.outputs -= output
	if key, ok := c.sharedPrefixKey(); ok {
		if m.sharedUsers[key]--; m.sharedUsers[key] == 0 {
			delete(m.sharedUsers, key)
			m.tokens -= c.Shared
		}
	}
}
