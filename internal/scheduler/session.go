package scheduler

import (
	"errors"
	"time"

	"storj.io/drpc/drpcctx"

	"github.com/chivewind/chivewind/peer"
)

// errNoHello is returned for a stream whose first message is not a Hello.
var errNoHello = errors.New("schedule stream: first message is not a Hello")

// session is the scheduler's side of one entry daemon's stream. handle and close must be called by one
// goroutine at a time; send is safe for concurrent use.
type session struct {
	scheduler   *Scheduler
	member      string
	incarnation uint64
	out         *outbox[*peer.ScheduleReply]
	// abort closes the connection.
	abort func()
	// sentLoads holds the load last sent for each shard, by shard ID.
	sentLoads map[string]*peer.ShardLoad
	decoder   progressDecoder
}

// openSession adds a session for an entry daemon. Sessions of earlier incarnations of the same daemon
// are released and aborted, because their requests have ended or are registered again.
func (s *Scheduler) openSession(member string, incarnation uint64, abort func()) *session {
	x := &session{
		scheduler: s, member: member, incarnation: incarnation, abort: abort,
		out: newOutbox[*peer.ScheduleReply](), sentLoads: map[string]*peer.ShardLoad{},
		decoder: progressDecoder{},
	}
	var old []*session
	s.mu.Lock()
	for y := range s.sessions {
		if y.member == member && y.incarnation < incarnation {
			old = append(old, y)
		}
	}
	s.sessions[x] = struct{}{}
	s.mu.Unlock()
	for _, y := range old {
		y.release()
		y.abort()
	}
	return x
}

// reconnectGrace is how long the requests of a closed session are kept, so that the entry daemon can
// register them on a new stream. Without it, their slots would be granted to others while the attempts
// still run.
const reconnectGrace = 250 * time.Millisecond

// close ends the session. After reconnectGrace it releases the requests that are not registered again.
func (x *session) close() {
	x.scheduler.mu.Lock()
	delete(x.scheduler.sessions, x)
	x.scheduler.mu.Unlock()
	x.out.close()
	time.AfterFunc(reconnectGrace, x.release)
}

// release cancels the session's attempts in all owned shards.
func (x *session) release() {
	for _, h := range x.scheduler.ownedShards() {
		h.release(x)
	}
}

func (x *session) send(r *peer.ScheduleReply) { x.out.put(r) }

// sendMoved tells the entry daemon that this daemon does not own a shard. If a is nil, the message
// applies to all requests of the shard on this stream.
func (x *session) sendMoved(shard string, a *peer.Attempt) {
	x.scheduler.count.moved.Inc(1)
	x.send(&peer.ScheduleReply{Message: &peer.ScheduleReply_Moved{Moved: &peer.Moved{Attempt: a, Shard: shard}}})
}

// handle processes one message from the entry daemon.
func (x *session) handle(m *peer.ScheduleRequest) {
	switch m := m.Message.(type) {
	case *peer.ScheduleRequest_Acquire:
		if h := x.scheduler.ownedShard(m.Acquire.Shard); h == nil || !h.acquire(x, m.Acquire) {
			x.sendMoved(m.Acquire.Shard, m.Acquire.Attempt)
		}
	case *peer.ScheduleRequest_Resume:
		a := m.Resume.GetAcquire()
		if h := x.scheduler.ownedShard(a.GetShard()); h == nil || !h.resume(x, m.Resume) {
			x.sendMoved(a.GetShard(), a.GetAttempt())
		}
	case *peer.ScheduleRequest_Progress:
		for _, p := range m.Progress.Items {
			a := x.decoder.decode(p)
			x.forShardOf(a, func(h *shard) { h.progress(a, p) })
		}
	case *peer.ScheduleRequest_Finish:
		x.forShardOf(m.Finish.Attempt, func(h *shard) { h.finish(m.Finish) })
	case *peer.ScheduleRequest_Cancel:
		x.forShardOf(m.Cancel.Attempt, func(h *shard) { h.cancelAttempt(m.Cancel) })
	case *peer.ScheduleRequest_Ping:
		x.send(&peer.ScheduleReply{Message: &peer.ScheduleReply_Pong{Pong: &peer.Ping{
			Sequence: m.Ping.Sequence, Loads: x.changedLoads(),
		}}})
	}
}

// forShardOf calls f with the shard that tracks an attempt's request. It searches the owned shards,
// because Progress, Finish and Cancel messages do not name one.
func (x *session) forShardOf(a *peer.Attempt, f func(*shard)) {
	for _, h := range x.scheduler.ownedShards() {
		if h.tracks(a.GetRequestId()) {
			f(h)
			return
		}
	}
	x.scheduler.count.stale.Inc(1)
}

// tracks reports whether the shard has an attempt of a request.
func (h *shard) tracks(requestID string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.attempts[requestID] != nil
}

// changedLoads returns the shard loads that differ from those last sent, and records them as sent.
func (x *session) changedLoads() []*peer.ShardLoad {
	var changed []*peer.ShardLoad
	for _, l := range x.scheduler.ShardLoads() {
		last := x.sentLoads[l.Shard]
		if last == nil || last.Waiting != l.Waiting || last.Running != l.Running || last.Slots != l.Slots {
			x.sentLoads[l.Shard] = l
			changed = append(changed, l)
		}
	}
	return changed
}

// Schedule serves the stream of one entry daemon until it fails, or until no message has arrived for
// StreamTimeout. The stream has its own connection, which Schedule closes before it returns.
func (s *Scheduler) Schedule(stream peer.DRPCPeer_ScheduleStream) error {
	abort := func() {
		if tr, ok := drpcctx.Transport(stream.Context()); ok {
			_ = tr.Close()
		}
	}
	defer abort()
	receiveTimer := time.AfterFunc(StreamTimeout, abort)
	defer receiveTimer.Stop()
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello == nil {
		return errNoHello
	}
	x := s.openSession(hello.MemberId, hello.Incarnation, abort)
	defer x.close()
	go x.sendLoop(stream)
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		receiveTimer.Reset(StreamTimeout)
		x.handle(m)
	}
}

// sendLoop sends replies until the session is closed. If a send fails, it closes the connection, which
// ends the receive loop in Schedule.
func (x *session) sendLoop(stream peer.DRPCPeer_ScheduleStream) {
	for range x.out.ready {
		replies, open := x.out.take()
		for _, r := range replies {
			if err := stream.Send(r); err != nil {
				x.abort()
				return
			}
		}
		if !open {
			return
		}
	}
}
