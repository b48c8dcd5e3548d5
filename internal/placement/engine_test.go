package placement

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

// The model engine of these tests reads prompts in chunks between the steps of its streams, the most urgent
// prompts first, and each step makes one token of each stream. Running requests and cached parts share its
// memory; the least recently used parts yield. A prompt is compared with the cache when the engine admits it, so
// that a part which another prompt is still reading is read once more. It waits for the parts that it copies
// from another engine.
const (
	chunkTokens   = 4096
	tokensPerMs   = 54.6
	stepBase      = 5600 * time.Microsecond
	stepPerStream = 121 * time.Microsecond
	eventTokens   = 4
	// pairsPerMs are the pairs of prompt tokens and tokens before them that an engine relates in a millisecond.
	pairsPerMs     = 4e6
	engineMemory   = 600000
	engineSlots    = 64
	tokenBytes     = 18432
	linkBytesPerMs = 11e6
	copySetup      = 8 * time.Millisecond
	// askDelay is the time between a placement and the arrival at the engine.
	askDelay = 2 * time.Millisecond
)

// job is a request in the model.
type job struct {
	kind *kind
	// urgency orders requests at an engine, 0 first.
	urgency int
	arrived time.Time
	ready   time.Time
	ticket  *Ticket
	chain   Chain
	source  *engine
	// looked is set once the engine has compared the prompt with its cache.
	looked    bool
	pinned    []*modelPart
	unread    int
	tokens    int
	made      int
	lastEvent time.Time
	first     time.Duration
	gap       time.Duration
	done      bool
}

// engine is a model engine.
type engine struct {
	name  string
	jobs  []*job
	parts map[uint64]*list.Element
	order *list.List
	kept  int
	// running are the tokens of running requests beyond their cached parts.
	running  int
	linkFree time.Time
	ready    time.Time
}

type modelPart struct {
	key    uint64
	tokens int
	users  int
}

func newEngine(name string) *engine {
	return &engine{name: name, parts: map[uint64]*list.Element{}, order: list.New(), ready: start, linkFree: start}
}

// leading returns the number of leading parts of a chain that the engine keeps.
func (e *engine) leading(c Chain) int {
	n := 0
	for n < len(c.Keys) && e.parts[c.Keys[n]] != nil {
		n++
	}
	return n
}

// keep adds the parts of a prompt to the cache and marks them as used.
func (e *engine) keep(c Chain) {
	for i, key := range c.Keys {
		el := e.parts[key]
		if el == nil {
			el = e.order.PushFront(&modelPart{key: key, tokens: c.tokens(i+1) - c.tokens(i)})
			e.parts[key] = el
			e.kept += el.Value.(*modelPart).tokens
		}
		e.order.MoveToFront(el)
	}
	for el := e.order.Back(); el != nil && e.kept+e.running > engineMemory; {
		previous := el.Prev()
		if p := el.Value.(*modelPart); p.users == 0 {
			e.order.Remove(el)
			delete(e.parts, p.key)
			e.kept -= p.tokens
		}
		el = previous
	}
}

// touch marks the cached parts of a prompt as used.
func (e *engine) touch(c Chain) {
	for _, key := range c.Keys {
		if el := e.parts[key]; el != nil {
			e.order.MoveToFront(el)
		}
	}
}

// use pins the cached parts of a running request.
func (e *engine) use(j *job) {
	for _, key := range j.chain.Keys {
		if el := e.parts[key]; el != nil && !slices.Contains(j.pinned, el.Value.(*modelPart)) {
			part := el.Value.(*modelPart)
			part.users++
			j.pinned = append(j.pinned, part)
		}
	}
}

// begin compares a prompt with the cache when the engine turns to it, and starts the copy of parts.
func (e *engine) begin(now time.Time, j *job, m *model) {
	if j.looked {
		return
	}
	j.looked = true
	have := e.leading(j.chain)
	if j.source != nil {
		if more := j.source.leading(j.chain); more > have {
			moved := j.chain.tokens(more) - j.chain.tokens(have)
			from := now
			for _, at := range []time.Time{e.linkFree, j.source.linkFree} {
				if at.After(from) {
					from = at
				}
			}
			j.ready = from.Add(copySetup + ms(float64(moved)*tokenBytes/linkBytesPerMs))
			e.linkFree, j.source.linkFree = j.ready, j.ready
			m.copied += moved
			have = more
		}
	}
	j.unread = max(j.chain.Total-j.chain.tokens(have), 1)
	m.countRead(j.chain, have)
	e.use(j)
	if j.unread < j.chain.Total {
		e.touch(j.chain)
	}
}

// step advances the engine by one step that begins at now.
func (e *engine) step(now time.Time, m *model) {
	took := stepBase
	slices.SortStableFunc(e.jobs, func(a, b *job) int { return cmp.Compare(a.urgency, b.urgency) })
	budget, pairs := chunkTokens, 0.0
	var read []*job
	running := 0
	for _, j := range e.jobs {
		if j.looked {
			running++
		}
	}
	for _, j := range e.jobs {
		if !j.looked && !j.ready.After(now) && running < engineSlots && e.running+j.chain.Total < engineMemory {
			e.begin(now, j, m)
			running++
		}
		if !j.looked {
			continue
		}
		if j.unread == 0 {
			took += stepPerStream
			continue
		}
		if budget == 0 || j.ready.After(now) {
			continue
		}
		n := min(j.unread, budget)
		budget -= n
		pairs += float64(n) * (float64(j.chain.Total-j.unread) + float64(n)/2)
		j.unread -= n
		read = append(read, j)
		if j.unread == 0 {
			e.keep(j.chain)
			e.use(j)
		}
	}
	took += ms(float64(chunkTokens-budget)/tokensPerMs + pairs/pairsPerMs)
	end := now.Add(took)
	kept := e.jobs[:0]
	for _, j := range e.jobs {
		if j.looked && j.unread == 0 && !slices.Contains(read, j) {
			j.made++
			e.running++
			if j.made%eventTokens == 0 || j.made == j.tokens {
				j.event(end)
			}
		}
		if j.done {
			e.running -= j.made
			for _, part := range j.pinned {
				part.users--
			}
			j.ticket.End(end, Served)
			j.kind.ended(j)
			continue
		}
		kept = append(kept, j)
	}
	e.jobs, e.ready = kept, end
}

func (j *job) event(now time.Time) {
	if j.first == 0 {
		j.first = now.Sub(j.arrived)
	} else {
		j.gap = max(j.gap, now.Sub(j.lastEvent))
	}
	j.lastEvent = now
	j.ticket.Event(now)
	j.done = j.made >= j.tokens
}
