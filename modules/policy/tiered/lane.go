package tiered

// flow holds the waiting requests of one workspace in one lane, in the order of submission.
// Its startTag is the virtual start time of its first request.
type flow struct {
	workspace  string
	startTag   float64
	head, tail *item
	waiting    int
	// weight is the workspace's weight at the time when the flow became active.
	weight    float64
	heapIndex int
}

func (f *flow) before(o *flow) bool { return f.startTag < o.startTag }
func (f *flow) position() int       { return f.heapIndex }
func (f *flow) setPosition(i int)   { f.heapIndex = i }

// laneKey identifies the lane of requests without constraints of their own. The model and the adapter
// determine which endpoints can run them; demoted requests are queued apart from the others.
type laneKey struct {
	model   string
	adapter string
	demoted bool
}

// lane is the queue of waiting requests of a class with the same key. If there is no endpoint for the first
// request, there is none for the others, so each grant pass tries a lane only until its first failure. A
// request with constraints of its own (suspect, endpoints or an availability zone to avoid) has a dedicated
// lane.
type lane struct {
	class     *class
	key       laneKey
	dedicated bool
	flows     map[string]*flow
	heap      indexHeap[*flow]
	waiting   int
	// blockedPass is the last grant pass in which no endpoint was found for the lane.
	blockedPass uint64
	// cursor is the position of nextFlow in the heap.
	cursor int
}

// first returns the request with the smallest start tag, or nil. A flow without requests is kept until it
// has the smallest start tag, so that a workspace gains no advantage from pausing; first then drops it.
func (l *lane) first() *item {
	for len(l.heap) > 0 {
		f := l.heap[0]
		if f.head != nil {
			return f.head
		}
		l.class.policy.dropFlow(l, f)
	}
	return nil
}

func (l *lane) add(it *item) {
	p := l.class.policy
	name := it.req.Workspace
	if p.Disabled.Fairness {
		name = ""
	}
	f := l.flows[name]
	if f == nil {
		f = p.newFlow(name)
		f.startTag = l.class.virtualTime
		l.flows[name] = f
		l.heap.push(f)
	}
	if f.head == nil {
		f.weight = p.weight(name)
		l.class.activeWeight += f.weight
		if f.startTag < l.class.virtualTime {
			f.startTag = l.class.virtualTime
			l.heap.fix(f)
		}
	}
	it.lane, it.flow = l, f
	it.prev, it.next = f.tail, nil
	if f.tail != nil {
		f.tail.next = it
	} else {
		f.head = it
	}
	f.tail = it
	f.waiting++
	l.waiting++
	l.class.waiting++
	p.waiting++
}

// remove removes a request. If it was granted, its cost is charged to its workspace.
func (l *lane) remove(it *item, granted bool) {
	f, c := it.flow, l.class
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		f.head = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		f.tail = it.prev
	}
	it.prev, it.next, it.lane, it.flow = nil, nil, nil, nil
	if it.urgent {
		it.urgent = false
		c.urgentCount--
	}
	f.waiting--
	l.waiting--
	c.waiting--
	c.policy.waiting--
	if f.head == nil {
		c.activeWeight -= f.weight
	}
	if c.waiting == 0 {
		c.activeWeight = 0 // Discards accumulated rounding errors.
	}
	if granted {
		c.virtualTime = max(c.virtualTime, f.startTag)
		f.startTag += it.cost / f.weight
		l.heap.fix(f)
	}
	if l.waiting == 0 {
		c.policy.dropLane(l)
	}
}

// forEach calls f for all requests of the lane.
func (l *lane) forEach(f func(*item)) {
	for _, fl := range l.heap {
		for it := fl.head; it != nil; it = it.next {
			f(it)
		}
	}
}
