package scheduler

import (
	"time"

	"github.com/chivewind/chivewind/internal/dispatch"
	"github.com/chivewind/chivewind/peer"
)

// onReply processes a message from a scheduler. A Grant, Shed or Preempt for a call that is not bound to
// the link is counted as late. The slot of such a Grant is returned; the other messages are ignored.
func (c *Client) onReply(l *link, r *peer.ScheduleReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !l.responsive {
		l.responsive = true
		delete(c.streamBackoffs, l.member.Id)
	}
	switch m := r.Message.(type) {
	case *peer.ScheduleReply_Grant:
		c.onGrant(l, m.Grant)
	case *peer.ScheduleReply_Shed:
		c.onShed(l, m.Shed)
	case *peer.ScheduleReply_Moved:
		c.onMoved(l, m.Moved)
	case *peer.ScheduleReply_Preempt:
		if k := c.boundCall(l, m.Preempt.Attempt); k != nil && k.state == callGranted && !k.preemptSignaled {
			k.preemptSignaled = true
			close(k.preempted)
		}
	case *peer.ScheduleReply_Pong:
		c.recordLoads(m.Pong.Loads)
	}
}

// boundCall returns the call of an attempt if it is bound to the link; otherwise it counts a late reply
// and returns nil. c.mu is held.
func (c *Client) boundCall(l *link, a *peer.Attempt) *call {
	k := c.calls[attemptID(a)]
	if k == nil || k.link != l {
		c.count.lateReplies.Inc(1)
		return nil
	}
	return k
}

// onGrant passes a grant to the waiting call, or returns the slot if there is none. c.mu is held.
func (c *Client) onGrant(l *link, g *peer.Grant) {
	k := c.boundCall(l, g.Attempt)
	if k == nil {
		// Return the slot: the caller has left, or the attempt is bound to another link.
		l.out.put(&peer.ScheduleRequest{Message: &peer.ScheduleRequest_Cancel{
			Cancel: &peer.Cancel{Attempt: g.Attempt},
		}})
		return
	}
	if k.state != callWaiting {
		c.count.lateReplies.Inc(1)
		return
	}
	k.state = callGranted
	k.endpoint = g.Endpoint
	k.startBy = time.Now().Add(fromMicros(g.StartWithinUs))
	k.result <- nil
}

// onShed places a call at its second candidate if the first one has shed it for another reason than its
// deadline. If both candidates have shed it, the call fails with the shorter of the two RetryAfter times.
// c.mu is held.
func (c *Client) onShed(l *link, s *peer.Shed) {
	k := c.boundCall(l, s.Attempt)
	if k == nil || k.state != callWaiting {
		return
	}
	shed := &dispatch.ShedError{Reason: s.Reason, RetryAfter: fromMicros(s.RetryAfterUs)}
	if k.firstShed != nil && k.firstShed.RetryAfter < shed.RetryAfter {
		shed.RetryAfter = k.firstShed.RetryAfter
	}
	if k.firstShed == nil && s.Reason != ReasonExpired {
		for _, shard := range k.candidates {
			if shard != k.shard {
				k.firstShed = shed
				k.link = nil
				k.shard = shard
				c.count.secondCandidate.Inc(1)
				c.place(k)
				return
			}
		}
	}
	c.removeCall(k)
	k.result <- shed
}

// onMoved unbinds the calls of a shard that the scheduler does not own and triggers their placement. If
// this daemon's view still names that scheduler as the owner, the views or configurations of the two
// daemons differ until both are updated, and the backoff delays the next message. c.mu is held.
func (c *Client) onMoved(l *link, m *peer.Moved) {
	c.count.moved.Inc(1)
	key := movedKey(m.Shard, l.member.Id)
	b := c.movedBackoffs[key]
	if b == nil {
		b = &backoff{}
		c.movedBackoffs[key] = b
	}
	affected := false
	for _, k := range c.calls {
		if k.link != l || k.registeredShard != m.Shard || (m.Attempt != nil && k.id != attemptID(m.Attempt)) {
			continue
		}
		k.link = nil
		affected = true
	}
	if !affected {
		return
	}
	// Many calls of a shard are moved at the same time; they count as one failure.
	if now := time.Now(); !now.Before(b.until) {
		b.recordFailure(now, false)
	}
	c.triggerPlacement()
}
