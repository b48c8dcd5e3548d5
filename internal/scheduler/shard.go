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
// attempts that are already running. Otherwise all slots of an endpoint could be granted a second time.
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
	sh := &shard{scheduler: s, id: id, policy: s.cfg.NewPolicy(), attempts: map[string]*trackedAttempt{}}
	sh.ctx, sh.cancel = context.WithCancel(s.ctx)
	sh.graceEnd = s.now() + takeoverGrace
	sh.applyConfig(s.snapshot, s.shardConfigs[id], s.draining)
	if s.cfg.Poll != nil {
		s.wg.Go(sh.pollLoop)
	}
	s.cfg.Log.Info("shard acquired", "shard", id)
	return sh
}

// configure applies the scheduler's current configuration.
func (sh *shard) configure() {
	s := sh.scheduler
	s.mu.Lock()
	snapshot, draining := s.snapshot, s.draining
	shardConfig, ok := s.shardConfigs[sh.id]
	s.mu.Unlock()
	if !ok {
		return
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.closed {
		return
	}
	sh.applyConfig(snapshot, shardConfig, draining)
	sh.step()
}

// applyConfig passes a configuration to the policy. sh.mu is held, or sh is not shared yet.
func (sh *shard) applyConfig(snapshot *config.Snapshot, shardConfig config.Shard, draining map[string]bool) {
	now := sh.scheduler.now()
	sh.policy.SetClasses(now, policyClasses(snapshot))
	sh.policy.SetWeights(now, policyWeights(snapshot))
	sh.policy.SetEndpoints(now, policyEndpoints(snapshot, shardConfig, draining))
	sh.endpoints = nil
	for _, id := range shardConfig.Endpoints {
		sh.endpoints = append(sh.endpoints, snapshot.Endpoints[id])
	}
}

// close stops the shard and sends a Moved to each entry daemon that has requests in it, so that it
// registers them with the new owner.
func (sh *shard) close() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.closed {
		return
	}
	sh.closed = true
	sh.cancel()
	if sh.timer != nil {
		sh.timer.Stop()
	}
	notified := map[*session]bool{}
	for _, tracked := range sh.attempts {
		if !notified[tracked.session] {
			notified[tracked.session] = true
			tracked.session.sendMoved(sh.id, nil)
		}
	}
	sh.attempts = nil
}

// acquire submits a request to the policy. It returns false if the shard is closed.
func (sh *shard) acquire(sess *session, a *peer.Acquire) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.closed {
		return false
	}
	id := attemptID(a.Attempt)
	if tracked := sh.attempts[id.Request]; tracked != nil && id.Number <= tracked.id.Number {
		if id.Number < tracked.id.Number {
			sh.scheduler.count.stale.Inc(1)
			return true
		}
		// The entry daemon registers the attempt again on a new stream. A grant may have been lost
		// with the old stream, so it is repeated for the same endpoint.
		tracked.session = sess
		if tracked.running {
			sh.sendGrant(tracked)
		}
		return true
	}
	now := sh.scheduler.now()
	sh.cancelPrevious(now, id.Request)
	sh.attempts[id.Request] = &trackedAttempt{id: id, session: sess}
	sh.policy.Submit(now, policyRequest(now, a))
	sh.step()
	return true
}

// resume registers an attempt that is already running. It returns false if the shard is closed or does
// not contain the attempt's endpoint.
func (sh *shard) resume(sess *session, r *peer.Resume) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.closed || !sh.hasEndpoint(r.Endpoint) {
		return false
	}
	id := attemptID(r.Acquire.Attempt)
	if tracked := sh.attempts[id.Request]; tracked != nil {
		if id.Number < tracked.id.Number {
			sh.scheduler.count.stale.Inc(1)
			return true
		}
		if tracked.id == id && tracked.running && tracked.endpoint == r.Endpoint {
			tracked.session = sess
			return true
		}
	}
	now := sh.scheduler.now()
	sh.cancelPrevious(now, id.Request)
	sh.attempts[id.Request] = &trackedAttempt{id: id, session: sess, running: true, endpoint: r.Endpoint}
	sh.runningCount++
	sh.policy.Resume(now, policyRequest(now, r.Acquire), r.Endpoint, int(r.Tokens))
	sh.scheduler.count.resumed.Inc(1)
	sh.step()
	return true
}

func (sh *shard) hasEndpoint(endpoint string) bool {
	for _, e := range sh.endpoints {
		if e.ID == endpoint {
			return true
		}
	}
	return false
}

// cancelPrevious cancels the tracked attempt of a request, if any, before a new one replaces it.
func (sh *shard) cancelPrevious(now time.Duration, requestID string) {
	if tracked := sh.attempts[requestID]; tracked != nil {
		sh.policy.Cancel(now, tracked.id)
		sh.removeAttempt(tracked)
	}
}

func (sh *shard) removeAttempt(tracked *trackedAttempt) {
	if tracked.running {
		sh.runningCount--
	}
	delete(sh.attempts, tracked.id.Request)
}

// currentAttempt returns the tracked state of an attempt, or nil if the attempt is unknown or replaced
// by another.
func (sh *shard) currentAttempt(a *peer.Attempt) *trackedAttempt {
	tracked := sh.attempts[a.GetRequestId()]
	if tracked == nil || tracked.id.Number != a.GetNumber() {
		sh.scheduler.count.stale.Inc(1)
		return nil
	}
	return tracked
}

func (sh *shard) progress(a *peer.Attempt, p *peer.Progress) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	tracked := sh.currentAttempt(a)
	if tracked == nil {
		return false
	}
	sh.policy.Progress(sh.scheduler.now(), tracked.id, int(p.Tokens), fromMicros(p.FirstTokenUs))
	return true
}

func (sh *shard) finish(f *peer.Finish) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if tracked := sh.currentAttempt(f.Attempt); tracked != nil {
		now := sh.scheduler.now()
		if f.FirstTokenUs > 0 {
			sh.policy.Progress(now, tracked.id, int(f.Tokens), fromMicros(f.FirstTokenUs))
		}
		sh.policy.Finish(now, tracked.id, policy.Outcome(f.Outcome), int(f.Tokens))
		sh.removeAttempt(tracked)
		sh.step()
	}
}

func (sh *shard) cancelAttempt(c *peer.Cancel) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if tracked := sh.currentAttempt(c.Attempt); tracked != nil {
		sh.policy.Cancel(sh.scheduler.now(), tracked.id)
		sh.removeAttempt(tracked)
		sh.step()
	}
}

// cancelSession cancels the attempts of a session that has ended or been replaced.
func (sh *shard) cancelSession(sess *session) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	now := sh.scheduler.now()
	found := false
	for _, tracked := range sh.attempts {
		if tracked.session == sess {
			sh.policy.Cancel(now, tracked.id)
			sh.removeAttempt(tracked)
			sh.scheduler.count.released.Inc(1)
			found = true
		}
	}
	if found && !sh.closed {
		sh.step()
	}
}

// recordLoadReport passes an endpoint's load report to the policy.
func (sh *shard) recordLoadReport(r policy.LoadReport) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !sh.closed {
		sh.policy.Report(sh.scheduler.now(), r)
		sh.step()
	}
}

// step applies the policy's pending decisions and sets the timer for the next one. sh.mu is held.
func (sh *shard) step() {
	// The view is not fresh after a pause of this process: another daemon may already run the shard.
	if !sh.scheduler.cfg.Members.ViewFresh() {
		sh.scheduler.triggerReconcile()
		return
	}
	now := sh.scheduler.now()
	// During the takeover grace there are no decisions, and step runs again at its end.
	next := sh.graceEnd
	if now >= sh.graceEnd {
		sh.decisions, next = sh.policy.Step(now, sh.decisions[:0])
	} else {
		sh.decisions = sh.decisions[:0]
	}
	for _, d := range sh.decisions {
		sh.applyDecision(d)
	}
	if sh.timer != nil {
		sh.timer.Stop()
	}
	if next <= 0 {
		// No decision is due before the next event.
		return
	}
	wait := max(next-now, minTimerDelay)
	if sh.timer == nil {
		sh.timer = time.AfterFunc(wait, sh.onTimer)
		return
	}
	sh.timer.Reset(wait)
}

func (sh *shard) onTimer() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !sh.closed {
		sh.step()
	}
}

// applyDecision updates the attempt of a decision and sends the decision to its entry daemon. sh.mu is held.
func (sh *shard) applyDecision(d policy.Decision) {
	tracked := sh.attempts[d.ID.Request]
	if tracked == nil || tracked.id != d.ID {
		sh.scheduler.count.stale.Inc(1)
		return
	}
	count := sh.scheduler.count
	switch d.Kind {
	case policy.Grant:
		if tracked.running {
			sh.scheduler.cfg.Log.Error("policy granted an already running attempt",
				"shard", sh.id, "request", tracked.id.Request)
			return
		}
		tracked.running = true
		tracked.endpoint = d.Endpoint
		sh.runningCount++
		count.granted.Inc(1)
		sh.sendGrant(tracked)
	case policy.Shed:
		sh.removeAttempt(tracked)
		count.shed.Inc(1)
		tracked.session.send(&peer.ScheduleReply{Message: &peer.ScheduleReply_Shed{Shed: &peer.Shed{
			Attempt: wireAttempt(tracked.id), Reason: wireReason(d.Reason), RetryAfterUs: uint64(d.RetryAfter.Microseconds()),
		}}})
	case policy.Preempt:
		count.preempted.Inc(1)
		tracked.session.send(&peer.ScheduleReply{Message: &peer.ScheduleReply_Preempt{Preempt: &peer.Preempt{
			Attempt: wireAttempt(tracked.id),
		}}})
	}
}

// sendGrant sends a running attempt's endpoint to its entry daemon.
func (sh *shard) sendGrant(tracked *trackedAttempt) {
	tracked.session.send(&peer.ScheduleReply{Message: &peer.ScheduleReply_Grant{Grant: &peer.Grant{
		Attempt: wireAttempt(tracked.id), Endpoint: tracked.endpoint,
		StartWithinUs: uint64(sh.scheduler.cfg.GrantValidity.Microseconds()),
	}}})
}

func (sh *shard) load() *peer.ShardLoad {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l := &peer.ShardLoad{
		Shard: sh.id, Running: uint32(sh.runningCount), Waiting: uint32(len(sh.attempts) - sh.runningCount),
	}
	for _, e := range sh.policy.Status(sh.scheduler.now()).Endpoints {
		l.Slots += uint32(e.Slots)
	}
	return l
}

func (sh *shard) status() *peer.ShardStatus {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return wireStatus(sh.id, sh.policy.Status(sh.scheduler.now()))
}
