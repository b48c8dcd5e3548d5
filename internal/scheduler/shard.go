package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/policy"
)

// settleTime is the time after a takeover in which running attempts are registered before the first
// grant. Otherwise an endpoint would get its slots' worth of work twice.
const settleTime = 200 * time.Millisecond

// minTimer bounds the rate of a policy whose next decision is always due.
const minTimer = time.Millisecond

// shard runs the policy of one shard. Its mutex serializes all calls of the policy.
type shard struct {
	scheduler *Scheduler
	id        string
	ctx       context.Context
	cancel    context.CancelFunc

	mu        sync.Mutex
	policy    policy.Policy
	entries   map[string]*entry
	running   int
	endpoints []config.Endpoint
	timer     *time.Timer
	decisions []policy.Decision
	closed    bool
	// settled is when decisions begin.
	settled time.Duration
}

// entry is a request that the policy knows.
type entry struct {
	id       policy.AttemptID
	session  *session
	running  bool
	endpoint string
}

// newShard creates and configures a shard. Scheduler.mu is held.
func newShard(s *Scheduler, id string) *shard {
	h := &shard{scheduler: s, id: id, policy: s.cfg.NewPolicy(), entries: map[string]*entry{}}
	h.ctx, h.cancel = context.WithCancel(s.ctx)
	h.settled = s.now() + settleTime
	h.apply(s.snapshot, s.defined[id], s.draining)
	if s.cfg.Poll != nil {
		s.running.Go(h.pollLoop)
	}
	s.cfg.Log.Info("shard taken over", "shard", id)
	return h
}

// configure applies the scheduler's current configuration.
func (h *shard) configure() {
	s := h.scheduler
	s.mu.Lock()
	snapshot, draining := s.snapshot, s.draining
	defined, ok := s.defined[h.id]
	s.mu.Unlock()
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.apply(snapshot, defined, draining)
	h.step()
}

func (h *shard) apply(snapshot *config.Snapshot, defined config.Shard, draining map[string]bool) {
	now := h.scheduler.now()
	h.policy.SetClasses(now, Classes(snapshot))
	h.policy.SetWeights(now, Weights(snapshot))
	h.policy.SetEndpoints(now, Endpoints(snapshot, defined, draining))
	h.endpoints = nil
	for _, id := range defined.Endpoints {
		h.endpoints = append(h.endpoints, snapshot.Endpoints[id])
	}
}

// close gives up the shard: all entry daemons are notified to register elsewhere.
func (h *shard) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	h.cancel()
	if h.timer != nil {
		h.timer.Stop()
	}
	notified := map[*session]bool{}
	for _, e := range h.entries {
		if !notified[e.session] {
			notified[e.session] = true
			e.session.moved(h.id, nil)
		}
	}
	h.entries = nil
}

// acquire queues a request. It returns false when the shard is closed.
func (h *shard) acquire(x *session, a *peer.Acquire) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	id := attemptID(a.Attempt)
	if e := h.entries[id.Request]; e != nil && id.Number <= e.id.Number {
		if id.Number < e.id.Number {
			h.scheduler.count.stale.Inc(1)
			return true
		}
		// The entry daemon has a new stream. The grant may have been lost with the old one; the
		// same slot is named again.
		e.session = x
		if e.running {
			h.grant(e)
		}
		return true
	}
	now := h.scheduler.now()
	h.drop(now, id.Request)
	h.entries[id.Request] = &entry{id: id, session: x}
	h.policy.Submit(now, request(now, a))
	h.step()
	return true
}

// resume registers a running attempt. It returns false when the shard cannot run it.
func (h *shard) resume(x *session, r *peer.Resume) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || !h.has(r.Endpoint) {
		return false
	}
	id := attemptID(r.Acquire.Attempt)
	if e := h.entries[id.Request]; e != nil {
		if id.Number < e.id.Number {
			h.scheduler.count.stale.Inc(1)
			return true
		}
		if e.id == id && e.running && e.endpoint == r.Endpoint {
			e.session = x
			return true
		}
	}
	now := h.scheduler.now()
	h.drop(now, id.Request)
	h.entries[id.Request] = &entry{id: id, session: x, running: true, endpoint: r.Endpoint}
	h.running++
	h.policy.Resume(now, request(now, r.Acquire), r.Endpoint, int(r.Tokens))
	h.scheduler.count.resumed.Inc(1)
	h.step()
	return true
}

func (h *shard) has(endpoint string) bool {
	for _, e := range h.endpoints {
		if e.ID == endpoint {
			return true
		}
	}
	return false
}

// drop forgets an earlier attempt of a request.
func (h *shard) drop(now time.Duration, requestID string) {
	if e := h.entries[requestID]; e != nil {
		h.policy.Cancel(now, e.id)
		h.remove(e)
	}
}

func (h *shard) remove(e *entry) {
	if e.running {
		h.running--
	}
	delete(h.entries, e.id.Request)
}

// current returns the entry of an attempt, or nil for a stale or unknown one.
func (h *shard) current(a *peer.Attempt) *entry {
	e := h.entries[a.GetRequestId()]
	if e == nil || e.id.Number != a.GetNumber() {
		h.scheduler.count.stale.Inc(1)
		return nil
	}
	return e
}

func (h *shard) progress(a *peer.Attempt, p *peer.Progress) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.current(a)
	if e == nil {
		return false
	}
	h.policy.Progress(h.scheduler.now(), e.id, int(p.Tokens), micros(p.FirstTokenUs))
	return true
}

func (h *shard) finish(f *peer.Finish) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e := h.current(f.Attempt); e != nil {
		now := h.scheduler.now()
		if f.FirstTokenUs > 0 {
			h.policy.Progress(now, e.id, int(f.Tokens), micros(f.FirstTokenUs))
		}
		h.policy.Finish(now, e.id, policy.Outcome(f.Outcome), int(f.Tokens))
		h.remove(e)
		h.step()
	}
}

func (h *shard) cancelAttempt(c *peer.Cancel) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e := h.current(c.Attempt); e != nil {
		h.policy.Cancel(h.scheduler.now(), e.id)
		h.remove(e)
		h.step()
	}
}

// release forgets the requests of a session whose stream is gone.
func (h *shard) release(x *session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.scheduler.now()
	found := false
	for _, e := range h.entries {
		if e.session == x {
			h.policy.Cancel(now, e.id)
			h.remove(e)
			h.scheduler.count.released.Inc(1)
			found = true
		}
	}
	if found && !h.closed {
		h.step()
	}
}

func (h *shard) report(r policy.LoadReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.policy.Report(h.scheduler.now(), r)
		h.step()
	}
}

// step carries out the policy's decisions and sets the timer for the next one. h.mu is held.
func (h *shard) step() {
	// After a pause another daemon may run the shard already.
	if !h.scheduler.cfg.Members.Trusted() {
		h.scheduler.wake()
		return
	}
	now := h.scheduler.now()
	next := h.settled
	if now >= h.settled {
		h.decisions, next = h.policy.Step(now, h.decisions[:0])
	} else {
		h.decisions = h.decisions[:0]
	}
	for _, d := range h.decisions {
		h.decide(d)
	}
	if h.timer != nil {
		h.timer.Stop()
	}
	if next <= 0 {
		return
	}
	wait := max(next-now, minTimer)
	if h.timer == nil {
		h.timer = time.AfterFunc(wait, h.onTimer)
		return
	}
	h.timer.Reset(wait)
}

func (h *shard) onTimer() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.step()
	}
}

func (h *shard) decide(d policy.Decision) {
	e := h.entries[d.ID.Request]
	if e == nil || e.id != d.ID {
		h.scheduler.count.stale.Inc(1)
		return
	}
	count := h.scheduler.count
	switch d.Kind {
	case policy.Grant:
		if e.running {
			h.scheduler.cfg.Log.Error("policy granted a running attempt", "shard", h.id, "request", e.id.Request)
			return
		}
		e.running = true
		e.endpoint = d.Endpoint
		h.running++
		count.granted.Inc(1)
		h.grant(e)
	case policy.Shed:
		h.remove(e)
		count.shed.Inc(1)
		e.session.send(&peer.ScheduleReply{Message: &peer.ScheduleReply_Shed{Shed: &peer.Shed{
			Attempt: attempt(e.id), Reason: reason(d.Reason), RetryAfterUs: uint64(d.RetryAfter.Microseconds()),
		}}})
	case policy.Preempt:
		count.preempted.Inc(1)
		e.session.send(&peer.ScheduleReply{Message: &peer.ScheduleReply_Preempt{Preempt: &peer.Preempt{
			Attempt: attempt(e.id),
		}}})
	}
}

func (h *shard) grant(e *entry) {
	e.session.send(&peer.ScheduleReply{Message: &peer.ScheduleReply_Grant{Grant: &peer.Grant{
		Attempt: attempt(e.id), Endpoint: e.endpoint,
		StartWithinUs: uint64(h.scheduler.cfg.GrantValidity.Microseconds()),
	}}})
}

func (h *shard) load() *peer.ShardLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := &peer.ShardLoad{Shard: h.id, Running: uint32(h.running), Waiting: uint32(len(h.entries) - h.running)}
	for _, e := range h.policy.Status(h.scheduler.now()).Endpoints {
		l.Slots += uint32(e.Slots)
	}
	return l
}

func (h *shard) status() *peer.ShardStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	return status(h.id, h.policy.Status(h.scheduler.now()))
}
