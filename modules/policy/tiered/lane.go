package tiered

// flow holds the waiting requests of one workspace in one lane, in the order of submission.
// Its tag is the virtual start time of its first request.
type flow struct {
	workspace  string
	tag        float64
	head, tail *item
	waiting    int
	// weight is the workspace's weight when the flow became active.
	weight float64
	index  int
}

func (f *flow) before(o *flow) bool { return f.tag < o.tag }
func (f *flow) position() int       { return f.index }
func (f *flow) setPosition(i int)   { f.index = i }

// laneKey says which endpoints can run the requests of a lane.
type laneKey struct {
	model   string
	adapter string
	demoted bool
}

// lane holds the waiting requests of a class that the same endpoints can run. When the first of
// them finds no endpoint, none of the others would, so that one attempt per lane and pass suffices.
// A request with constraints of its own (suspect, endpoints to avoid) has a lane to itself.
type lane struct {
	class   *class
	key     laneKey
	single  bool
	flows   map[string]*flow
	heap    indexHeap[*flow]
	waiting int
	// blocked is the last pass in which no endpoint was found for the lane.
	blocked uint64
	cursor  int
}

// first returns the request with the smallest virtual start time. Flows without requests are kept
// until the virtual time has passed their tag, so that a workspace gains nothing from pausing;
// here they are dropped when they come first.
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
	if p.Off.Fairness {
		name = ""
	}
	f := l.flows[name]
	if f == nil {
		f = p.newFlow(name)
		f.tag = l.class.virtual
		l.flows[name] = f
		l.heap.push(f)
	}
	if f.head == nil {
		f.weight = p.weight(name)
		l.class.activeWeight += f.weight
		if f.tag < l.class.virtual {
			f.tag = l.class.virtual
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

// take removes a request. A granted one is charged to its workspace.
func (l *lane) take(it *item, granted bool) {
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
		c.urgent--
	}
	f.waiting--
	l.waiting--
	c.waiting--
	c.policy.waiting--
	if f.head == nil {
		c.activeWeight -= f.weight
	}
	if c.waiting == 0 {
		c.activeWeight = 0 // Removes rounding errors.
	}
	if granted {
		c.virtual = max(c.virtual, f.tag)
		f.tag += it.cost / f.weight
		l.heap.fix(f)
	}
	if l.waiting == 0 {
		c.policy.dropLane(l)
	}
}

// each calls f for all requests of the lane.
func (l *lane) each(f func(*item)) {
	for _, fl := range l.heap {
		for it := fl.head; it != nil; it = it.next {
			f(it)
		}
	}
}
