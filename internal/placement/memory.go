package placement

// memoryFraction is the fraction of an engine's memory that running requests may use. Above it, answers
// that are longer than expected would make the engine preempt requests.
const memoryFraction = 0.88

// memoryUsage estimates the number of tokens that an engine holds for running requests. Requests with the same
// shared parts hold them once.
type memoryUsage struct {
	tokens      int
	sharedUsers map[uint64]int
}

func newMemoryUsage() memoryUsage { return memoryUsage{sharedUsers: map[uint64]int{}} }

// tokensWith returns the number of tokens in use including another request.
func (m *memoryUsage) tokensWith(c PrefixChain, output int) int {
	total := m.tokens + c.Total - c.Shared + output
	if key, ok := c.sharedPrefixKey(); ok && m.sharedUsers[key] == 0 {
		total += c.Shared
	}
	return total
}

// exceeds reports whether another request would exceed the memory for running requests. A capacity of 0 means
// no limit.
func (m *memoryUsage) exceeds(c PrefixChain, output, capacity int) bool {
	return capacity > 0 && m.tokensWith(c, output) > int(memoryFraction*float64(capacity))
}

func (m *memoryUsage) add(c PrefixChain, output int) {
	m.tokens = m.tokensWith(c, output)
	if key, ok := c.sharedPrefixKey(); ok {
		m.sharedUsers[key]++
	}
}

func (m *memoryUsage) remove(c PrefixChain, output int) {
	m.tokens -= c.Total - c.Shared + output
	if key, ok := c.sharedPrefixKey(); ok {
		if m.sharedUsers[key]--; m.sharedUsers[key] == 0 {
			delete(m.sharedUsers, key)
			m.tokens -= c.Shared
		}
	}
}
