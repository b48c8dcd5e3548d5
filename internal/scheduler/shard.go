package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/policy"
)

// takeoverGrace delays the first grant of a newly owned shard, so that entry daemons can register the
// attempts that are already running. Otherwise each endpoint could be granted all its slots twice.
const takeoverGrace = 200 * time.Millisecond

// minTimerDelay is the shortest timer delay. It limits the step rate if a policy always reports a
// decision that is already due.
const minTimerDelay = time.Millisecond

// shard runs the policy of one shard. mu serializes all calls to the policy.
type shard struct {
	scheduler *Scheduler
	id        string
	ctx       context.Context
	cancel    context.CancelFunc

	mu     sync.Mutex
	policy policy.Policy
	// attempts holds the latest attempt of each request, by request ID.
	attempts map[string]*trackedAttempt
	// runningCount is the number of running attempts.
	runningCount int
	endpoints    []config.Endpoint
	// timer runs step when the policy's next decision is due.
	timer *time.Timer
	// decisions is a buffer that step reuses.
	decisions []policy.Decision
	closed    bool
	// graceEnd is the policy time before which no decisions are made; see takeoverGrace.
	graceEnd time.Duration
}

// trackedAttempt is an attempt that is submitted to the policy and not yet finished.
type trackedAttempt struct {
	id       policy.AttemptID
	session  *session
	running  bool
	endpoint string
}

// newShard creates and configures a shard. Scheduler.mu is held.
func newShard(s *Scheduler, id string) *shard {
	h := &shard{scheduler: s, id: id, policy: s.cfg.NewPolicy(), attempts: map[string]*trackedAttempt{}}
	h.ctx, h.cancel = context.WithCancel(s.ctx)
	h.graceEnd = s.now() + takeoverGrace
	h.applyConfig(s.snapshot, s.shardConfigs[id], s.draining)
	if s.cfg.Poll != nil {
		s.wg.Go(h.pollLoop)
	}
	s.cfg.Log.Info("shard acquired", "shard", id)
	return h
}

// configure applies the scheduler's current configuration.
func (h *shard) configure() {
	s := h.scheduler
	s.mu.Lock()
	snapshot, draining := s.snapshot, s.draining
	shardConfig, ok := s.shardConfigs[h.id]
	s.mu.Unlock()
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.applyConfig(snapshot, shardConfig, draining)
	h.step()
}

// applyConfig passes a configuration to the policy. h.mu is held, or h is not shared yet.
func (h *shard) applyConfig(snapshot *config.Snapshot, shardConfig config.Shard, draining map[string]bool) {
	now := h.scheduler.now()
	h.policy.SetClasses(now, policyClasses(snapshot))
	h.policy.SetWeights(now, policyWeights(snapshot))
	h.policy.SetEndpoints(now, policyEndpoints(snapshot, shardConfig, draining))
	h.endpoints = nil
	for _, id := range shardConfig.Endpoints {
		h.endpoints = append(h.endpoints, snapshot.Endpoints[id])
	}
}

// close stops the shard and sends a Moved to each entry daemon that has requests in it, so that it
// registers them with the new owner.
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
	for _, e := range h.attempts {
		if !notified[e.session] {
			notified[e.session] = true
			e.session.sendMoved(h.id, nil)
		}
	}
	h.attempts = nil
}

// acquire submits a request to the policy. It returns false if the shard is closed.
func (h *shard) acquire(x *session, a *peer.Acquire) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	id := attemptID(a.Attempt)
	if e := h.attempts[id.Request]; e != nil && id.Number <= e.id.Number {
		if id.Number < e.id.Number {
			h.scheduler.count.stale.Inc(1)
			return true
		}
		// The entry daemon registers the attempt again on a new stream. A grant may have been lost
		// with the old stream, so it is repeated for the same endpoint.
		e.session = x
		if e.running {
			h.sendGrant(e)
		}
		return true
	}
	now := h.scheduler.now()
	h.cancelPrevious(now, id.Request)
	h.attempts[id.Request] = &trackedAttempt{id: id, session: x}
	h.policy.Submit(now, policyRequest(now, a))
	h.step()
	return true
}

// resume registers an attempt that is already running. It returns false if the shard is closed or does
// not contain the attempt's endpoint.
func (h *shard) resume(x *session, r *peer.Resume) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || !h.hasEndpoint(r.Endpoint) {
		return false
	}
	id := attemptID(r.Acquire.Attempt)
	if e := h.attempts[id.Request]; e != nil {
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
	h.cancelPrevious(now, id.Request)
	h.attempts[id.Request] = &trackedAttempt{id: id, session: x, running: true, endpoint: r.Endpoint}
	h.runningCount++
	h.policy.Resume(now, policyRequest(now, r.Acquire), r.Endpoint, int(r.Tokens))
	h.scheduler.count.resumed.Inc(1)
	h.step()
	return true
}

func (h *shard) hasEndpoint(endpoint string) bool {
	for _, e := range h.endpoints {
		if e.ID == endpoint {
			return true
		}
	}
	return false
}

// cancelPrevious cancels the tracked attempt of a request, if any, before a new one replaces it.
func (h *shard) cancelPrevious(now time.Duration, requestID string) {
	if e := h.attempts[requestID]; e != nil {
		h.policy.Cancel(now, e.id)
		h.removeAttempt(e)
	}
}

func (h *shard) removeAttempt(e *trackedAttempt) {
	if e.running {
		h.runningCount--
	}
	delete(h.attempts, e.id.Request)
}

// currentAttempt returns the tracked state of an attempt, or nil if the attempt is unknown or replaced
// by another.
func (h *shard) currentAttempt(a *peer.Attempt) *trackedAttempt {
	e := h.attempts[a.GetRequestId()]
	if e == nil || e.id.Number != a.GetNumber() {
		h.scheduler.count.stale.Inc(1)
		return nil
	}
	return e
}

func (h *shard) progress(a *peer.Attempt, p *peer.Progress) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.currentAttempt(a)
	if e == nil {
		return false
	}
	h.policy.Progress(h.scheduler.now(), e.id, int(p.Tokens), fromMicros(p.FirstTokenUs))
	return true
}

func (h *shard) finish(f *peer.Finish) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e := h.currentAttempt(f.Attempt); e != nil {
		now := h.scheduler.now()
		if f.FirstTokenUs > 0 {
			h.policy.Progress(now, e.id, int(f.Tokens), fromMicros(f.FirstTokenUs))
		}
		h.policy.Finish(now, e.id, policy.Outcome(f.Outcome), int(f.Tokens))
		h.removeAttempt(e)
		h.step()
	}
}

func (h *shard) cancelAttempt(c *peer.Cancel) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e := h.currentAttempt(c.Attempt); e != nil {
		h.policy.Cancel(h.scheduler.now(), e.id)
		h.removeAttempt(e)
		h.step()
	}
}

// release cancels the attempts of a session whose stream has ended.
func (h *shard) release(x *session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.scheduler.now()
	found := false
	for _, e := range h.attempts {
		if e.session == x {
			h.policy.Cancel(now, e.id)
			h.removeAttempt(e)
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

// step applies the policy's pending decisions and sets the timer for the next one. h.mu is held.
func (h *shard) step() {
	// After a pause of this process, another daemon may already run the shard.
	if !h.scheduler.cfg.Members.Trusted() {
		h.scheduler.triggerReconcile()
		return
	}
	now := h.scheduler.now()
	next := h.graceEnd
	if now >= h.graceEnd {
		h.decisions, next = h.policy.Step(now, h.decisions[:0])
	} else {
		h.decisions = h.decisions[:0]
	}
	for _, d := range h.decisions {
		h.applyDecision(d)
	}
	if h.timer != nil {
		h.timer.Stop()
	}
	if next <= 0 {
		return
	}
	wait := max(next-now, minTimerDelay)
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

// applyDecision updates the attempt of a decision and sends the decision to its entry daemon. h.mu is held.
func (h *shard) applyDecision(d policy.Decision) {
	e := h.attempts[d.ID.Request]
	if e == nil || e.id != d.ID {
		h.scheduler.count.stale.Inc(1)
		return
	}
	count := h.scheduler.count
	switch d.Kind {
	case policy.Grant:
		if e.running {
			h.scheduler.cfg.Log.Error("policy granted an already running attempt", "shard", h.id, "request", e.id.Request)
			return
		}
		e.running = true
		e.endpoint = d.Endpoint
		h.runningCount++
		count.granted.Inc(1)
		h.sendGrant(e)
	case policy.Shed:
		h.removeAttempt(e)
		count.shed.Inc(1)
		e.session.send(&peer.ScheduleReply{Message: &peer.ScheduleReply_Shed{Shed: &peer.Shed{
			Attempt: wireAttempt(e.id), Reason: wireReason(d.Reason), RetryAfterUs: uint64(d.RetryAfter.Microseconds()),
		}}})
	case policy.Preempt:
		count.preempted.Inc(1)
		e.session.send(&peer.ScheduleReply{Message: &peer.ScheduleReply_Preempt{Preempt: &peer.Preempt{
			Attempt: wireAttempt(e.id),
		}}})
	}
}

// sendGrant sends a running attempt's endpoint to its entry daemon.
func (h *shard) sendGrant(e *trackedAttempt) {
	e.session.send(&peer.ScheduleReply{Message: &peer.ScheduleReply_Grant{Grant: &peer.Grant{
		Attempt: wireAttempt(e.id), Endpoint: e.endpoint,
		StartWithinUs: uint64(h.scheduler.cfg.GrantValidity.Microseconds()),
	}}})
}

func (h *shard) load() *peer.ShardLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := &peer.ShardLoad{Shard: h.id, Running: uint32(h.runningCount), Waiting: uint32(len(h.attempts) - h.runningCount)}
	for _, e := range h.policy.Status(h.scheduler.now()).Endpoints {
		l.Slots += uint32(e.Slots)
	}
	return l
}

func (h *shard) status() *peer.ShardStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	return wireStatus(h.id, h.policy.Status(h.scheduler.now()))
}
