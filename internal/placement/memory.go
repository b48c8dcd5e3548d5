package placement

// memoryShare is the part of an engine's memory that running requests may take. Beyond it, expected
// lengths of answers that prove too short make the engine preempt requests.
const memoryShare = 0.88

// memory is the estimate of the tokens that the running requests of an engine keep. Requests that begin
// with the same parts keep them once.
type memory struct {
	tokens int
	shared map[uint64]int
}

func newMemory() memory { return memory{shared: map[uint64]int{}} }

// need returns the tokens in use with one more request.
func (m *memory) need(c Chain, output int) int {
	need := m.tokens + c.Total - c.Shared + output
	if key, ok := c.sharedKey(); ok && m.shared[key] == 0 {
		need += c.Shared
	}
	return need
}

// exceeds says whether one more request exceeds what running requests may take.
func (m *memory) exceeds(c Chain, output, capacity int) bool {
	return capacity > 0 && m.need(c, output) > int(memoryShare*float64(capacity))
}

func (m *memory) add(c Chain, output int) {
	m.tokens = m.need(c, output)
	if key, ok := c.sharedKey(); ok {
		m.shared[key]++
	}
}

func (m *memory) remove(c Chain, output int) {
	m.tokens -= c.Total - c.Shared + output
	if key, ok := c.sharedKey(); ok {
		if m.shared[key]--; m.shared[key] == 0 {
			delete(m.shared, key)
			m.tokens -= c.Shared
		}
	}
}
