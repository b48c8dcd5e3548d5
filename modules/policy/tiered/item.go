package tiered

import (
	"time"

	"github.com/chivewind/chivewind/internal/estimate"
	"github.com/chivewind/chivewind/policy"
)

// never is later than every time that occurs.
const never = time.Duration(1<<63 - 1)

// item is a request that is waiting or running.
type item struct {
	id    policy.AttemptID
	req   *policy.Request
	class *class
	// series predicts the request's times and length.
	series *estimate.Series

	// While waiting.
	lane       *lane
	flow       *flow
	prev, next *item // In the flow while waiting, in the class's list while running.
	// seq numbers the submission; the tier rule compares it with grants.
	seq         uint64
	submittedAt time.Duration
	// latest is the last time at which a start still meets the targets.
	latest time.Duration
	// expiry is when the request is refused because it is useless.
	expiry time.Duration
	// admitBy is the latest predicted start for which the request may stay in the queue.
	admitBy time.Duration
	// demoteAt is when the request goes behind the feasible ones of its tier.
	demoteAt time.Duration
	// preemptAt is when the request may next preempt.
	preemptAt time.Duration
	// stranded is when the request is refused because no endpoint can run it.
	stranded time.Duration
	late     policy.LateAction
	// kept requests are not shed because of a predicted wait.
	kept    bool
	demoted bool
	// urgent says that the request is close to its latest start.
	urgent bool
	cost   float64
	timer  time.Duration
	index  int

	// While running.
	endpoint  *endpoint
	grantedAt time.Duration
	firstAt   time.Duration
	// progressAt is when tokens last arrived, checkedAt when progress was last reported.
	progressAt time.Duration
	checkedAt  time.Duration
	tokens     int
	// uncached is the number of prompt tokens to process, prefill the expected time for them, and
	// backlog the expected time for earlier prompts when the request was sent.
	uncached int
	prefill  time.Duration
	backlog  time.Duration
	// floor says that the class was within its floor when the request was granted.
	floor bool
	// preempting says that a Preempt decision was made.
	preempting bool
}

func (it *item) before(o *item) bool {
	if it.timer != o.timer {
		return it.timer < o.timer
	}
	return it.seq < o.seq
}
func (it *item) position() int     { return it.index }
func (it *item) setPosition(i int) { it.index = i }

// single says that the request has constraints that others of its class do not share.
func (it *item) single() bool {
	return it.req.Suspect || len(it.req.Avoid) > 0 || it.req.AvoidZone != ""
}

func (p *Policy) newItem(r *policy.Request, c *class) *item {
	var it *item
	if n := len(p.spareItems); n > 0 {
		it = p.spareItems[n-1]
		p.spareItems = p.spareItems[:n-1]
	} else {
		it = &item{}
	}
	p.seq++
	*it = item{id: r.ID, req: r, class: c, seq: p.seq, index: -1}
	it.series = p.estimates.Series(estimate.Key{Class: c.Name, Model: r.Model})
	p.items[r.ID] = it
	return it
}

func (p *Policy) freeItem(it *item) {
	if it.index >= 0 {
		p.timers.remove(it)
	}
	delete(p.items, it.id)
	*it = item{}
	p.spareItems = append(p.spareItems, it)
}

func (p *Policy) newFlow(workspace string) *flow {
	if n := len(p.spareFlows); n > 0 {
		f := p.spareFlows[n-1]
		p.spareFlows = p.spareFlows[:n-1]
		*f = flow{workspace: workspace}
		return f
	}
	return &flow{workspace: workspace}
}

func (p *Policy) dropFlow(l *lane, f *flow) {
	l.heap.remove(f)
	delete(l.flows, f.workspace)
	p.spareFlows = append(p.spareFlows, f)
}

// laneFor returns the lane of a waiting request, and creates it when there is none.
func (p *Policy) laneFor(it *item) *lane {
	c := it.class
	key := laneKey{model: it.req.Model, adapter: it.req.Adapter, demoted: it.demoted}
	single := it.single()
	if !single {
		for _, l := range c.lanes {
			if !l.single && l.key == key {
				return l
			}
		}
	}
	var l *lane
	if n := len(p.spareLanes); n > 0 {
		l = p.spareLanes[n-1]
		p.spareLanes = p.spareLanes[:n-1]
	} else {
		l = &lane{flows: map[string]*flow{}}
	}
	l.class, l.key, l.single, l.blocked, l.cursor = c, key, single, 0, 0
	c.lanes = append(c.lanes, l)
	return l
}

func (p *Policy) dropLane(l *lane) {
	for len(l.heap) > 0 {
		p.dropFlow(l, l.heap[len(l.heap)-1])
	}
	c := l.class
	for i, other := range c.lanes {
		if other == l {
			last := len(c.lanes) - 1
			c.lanes[i] = c.lanes[last]
			c.lanes[last] = nil
			c.lanes = c.lanes[:last]
			break
		}
	}
	l.class = nil
	p.spareLanes = append(p.spareLanes, l)
}
