package tiered

import (
	"time"

	"github.com/chivewind/chivewind/internal/estimate"
	"github.com/chivewind/chivewind/policy"
)

// never is a time that is later than any other.
const never = time.Duration(1<<63 - 1)

// item is a waiting or running request.
type item struct {
	id    policy.AttemptID
	req   *policy.Request
	class *class
	// series predicts the request's durations and the length of its answer.
	series *estimate.Series

	// While waiting.
	lane       *lane
	flow       *flow
	prev, next *item // In the flow while waiting, in the class's list while running.
	// seq is the number of the submission. The check of the tier rule compares it with
	// class.lastBypassSeq and class.lastExcessSeq.
	seq         uint64
	submittedAt time.Duration
	// latestStart is the latest start that is expected to meet the targets. Slack is the time until it.
	latestStart time.Duration
	// expiry is when a request that still waits is shed as expired.
	expiry time.Duration
	// admitBy is the latest predicted start for which the request may stay in the queue.
	admitBy time.Duration
	// demoteAt is when the request is demoted, which puts it behind the others of its tier.
	demoteAt time.Duration
	// preemptAt is when the request is next considered for preempting another.
	preemptAt time.Duration
	// noEndpointExpiry is when the request is shed because no endpoint can run it, zero if one can.
	noEndpointExpiry time.Duration
	lateAction       policy.LateAction
	// admissionExempt requests are not shed because of a predicted wait.
	admissionExempt bool
	demoted         bool
	// urgent says that the request has reached PreemptLead before its latest start.
	urgent bool
	// cost is the charge to the workspace in fair queueing, in units of one generated token.
	cost float64
	// timerAt is the key of the timer heap, heapIndex the position in it, -1 for none.
	timerAt   time.Duration
	heapIndex int

	// While running.
	endpoint     *endpoint
	grantedAt    time.Duration
	firstTokenAt time.Duration
	// lastTokenAt is when tokens last arrived, for a resumed attempt at first the time of Resume.
	// lastProgressAt is when progress was last reported, also without new tokens.
	lastTokenAt    time.Duration
	lastProgressAt time.Duration
	// tokens is the number of the answer's tokens so far, including ResumedTokens.
	tokens int
	// uncachedTokens is the number of prompt tokens to process, prefillTime the expected time for them,
	// and backlogTime the expected time for earlier prompts when the attempt started.
	uncachedTokens int
	prefillTime    time.Duration
	backlogTime    time.Duration
	// withinFloor says that the class was within its floor when the request was granted.
	withinFloor bool
	// preempting says that a Preempt decision was made for the request.
	preempting bool
}

func (it *item) before(o *item) bool {
	if it.timerAt != o.timerAt {
		return it.timerAt < o.timerAt
	}
	return it.seq < o.seq
}
func (it *item) position() int     { return it.heapIndex }
func (it *item) setPosition(i int) { it.heapIndex = i }

// hasOwnConstraints reports whether the request has constraints that others of its class do not share.
func (it *item) hasOwnConstraints() bool {
	return it.req.Suspect || len(it.req.Avoid) > 0 || it.req.AvoidZone != ""
}

func (p *Policy) newItem(r *policy.Request, c *class) *item {
	var it *item
	if n := len(p.itemPool); n > 0 {
		it = p.itemPool[n-1]
		p.itemPool = p.itemPool[:n-1]
	} else {
		it = &item{}
	}
	p.seq++
	*it = item{id: r.ID, req: r, class: c, seq: p.seq, heapIndex: -1}
	it.series = p.estimates.Series(estimate.Key{Class: c.Name, Model: r.Model})
	p.items[r.ID] = it
	return it
}

func (p *Policy) freeItem(it *item) {
	if it.heapIndex >= 0 {
		p.timers.remove(it)
	}
	delete(p.items, it.id)
	*it = item{}
	p.itemPool = append(p.itemPool, it)
}

func (p *Policy) newFlow(workspace string) *flow {
	if n := len(p.flowPool); n > 0 {
		f := p.flowPool[n-1]
		p.flowPool = p.flowPool[:n-1]
		*f = flow{workspace: workspace}
		return f
	}
	return &flow{workspace: workspace}
}

func (p *Policy) dropFlow(l *lane, f *flow) {
	l.heap.remove(f)
	delete(l.flows, f.workspace)
	p.flowPool = append(p.flowPool, f)
}

// laneFor returns the lane for a waiting request and creates it if there is none.
func (p *Policy) laneFor(it *item) *lane {
	c := it.class
	key := laneKey{model: it.req.Model, adapter: it.req.Adapter, demoted: it.demoted}
	dedicated := it.hasOwnConstraints()
	if !dedicated {
		for _, l := range c.lanes {
			if !l.dedicated && l.key == key {
				return l
			}
		}
	}
	var l *lane
	if n := len(p.lanePool); n > 0 {
		l = p.lanePool[n-1]
		p.lanePool = p.lanePool[:n-1]
	} else {
		l = &lane{flows: map[string]*flow{}}
	}
	l.class, l.key, l.dedicated, l.blockedPass, l.cursor = c, key, dedicated, 0, 0
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
	p.lanePool = append(p.lanePool, l)
}
