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

// openSession adds a session for an entry daemon. The attempts of earlier incarnations of the same daemon
// are canceled and their connections closed, because their requests have ended or are registered again.
func (s *Scheduler) openSession(member string, incarnation uint64, abort func()) *session {
	sess := &session{
		scheduler: s, member: member, incarnation: incarnation, abort: abort,
		out: newOutbox[*peer.ScheduleReply](), sentLoads: map[string]*peer.ShardLoad{},
		decoder: progressDecoder{},
	}
	var old []*session
	s.mu.Lock()
	for other := range s.sessions {
		if other.member == member && other.incarnation < incarnation {
			old = append(old, other)
		}
	}
	s.sessions[sess] = struct{}{}
	s.mu.Unlock()
	for _, other := range old {
		other.cancelAttempts()
		other.abort()
	}
	return sess
}

// reconnectGrace is how long the requests of a closed session are kept, so that the entry daemon can
// register them on a new stream. Without it, their slots would be granted to others while the attempts
// still run.
const reconnectGrace = 250 * time.Millisecond

// close ends the session. After reconnectGrace it cancels the attempts that are not registered again.
func (sess *session) close() {
	sess.scheduler.mu.Lock()
	delete(sess.scheduler.sessions, sess)
	sess.scheduler.mu.Unlock()
	sess.out.close()
	time.AfterFunc(reconnectGrace, sess.cancelAttempts)
}

// cancelAttempts cancels the session's attempts in all owned shards.
func (sess *session) cancelAttempts() {
	for _, sh := range sess.scheduler.ownedShards() {
		sh.cancelSession(sess)
	}
}

func (sess *session) send(r *peer.ScheduleReply) { sess.out.put(r) }

// sendMoved tells the entry daemon that this daemon does not own a shard. If a is nil, the message
// applies to all requests of the shard on this stream.
func (sess *session) sendMoved(shard string, a *peer.Attempt) {
	sess.scheduler.count.moved.Inc(1)
	sess.send(&peer.ScheduleReply{Message: &peer.ScheduleReply_Moved{Moved: &peer.Moved{Attempt: a, Shard: shard}}})
}

// handle processes one message from the entry daemon.
func (sess *session) handle(m *peer.ScheduleRequest) {
	switch m := m.Message.(type) {
	case *peer.ScheduleRequest_Acquire:
		if sh := sess.scheduler.ownedShard(m.Acquire.Shard); sh == nil || !sh.acquire(sess, m.Acquire) {
			sess.sendMoved(m.Acquire.Shard, m.Acquire.Attempt)
		}
	case *peer.ScheduleRequest_Resume:
		a := m.Resume.GetAcquire()
		if sh := sess.scheduler.ownedShard(a.GetShard()); sh == nil || !sh.resume(sess, m.Resume) {
			sess.sendMoved(a.GetShard(), a.GetAttempt())
		}
	case *peer.ScheduleRequest_Progress:
		for _, p := range m.Progress.Items {
			a := sess.decoder.decode(p)
			sess.forShardOf(a, func(sh *shard) { sh.progress(a, p) })
		}
	case *peer.ScheduleRequest_Finish:
		sess.forShardOf(m.Finish.Attempt, func(sh *shard) { sh.finish(m.Finish) })
	case *peer.ScheduleRequest_Cancel:
		sess.forShardOf(m.Cancel.Attempt, func(sh *shard) { sh.cancelAttempt(m.Cancel) })
	case *peer.ScheduleRequest_Ping:
		sess.send(&peer.ScheduleReply{Message: &peer.ScheduleReply_Pong{Pong: &peer.Ping{
			Sequence: m.Ping.Sequence, Loads: sess.changedLoads(),
		}}})
	}
}

// forShardOf calls f with the shard that tracks an attempt's request. It searches the owned shards,
// because Progress, Finish and Cancel messages do not name one.
func (sess *session) forShardOf(a *peer.Attempt, f func(*shard)) {
	for _, sh := range sess.scheduler.ownedShards() {
		if sh.tracks(a.GetRequestId()) {
			f(sh)
			return
		}
	}
	sess.scheduler.count.stale.Inc(1)
}

// tracks reports whether the shard has an attempt of a request.
func (sh *shard) tracks(requestID string) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.attempts[requestID] != nil
}

// changedLoads returns the shard loads that differ from those last sent, and records them as sent.
func (sess *session) changedLoads() []*peer.ShardLoad {
	var changed []*peer.ShardLoad
	for _, l := range sess.scheduler.ShardLoads() {
		last := sess.sentLoads[l.Shard]
		if last == nil || last.Waiting != l.Waiting || last.Running != l.Running || last.Slots != l.Slots {
			sess.sentLoads[l.Shard] = l
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
	sess := s.openSession(hello.MemberId, hello.Incarnation, abort)
	defer sess.close()
	go sess.sendLoop(stream)
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		receiveTimer.Reset(StreamTimeout)
		sess.handle(m)
	}
}

// sendLoop sends replies until the session is closed. If a send fails, it closes the connection, which
// ends the receive loop in Schedule.
func (sess *session) sendLoop(stream peer.DRPCPeer_ScheduleStream) {
	for range sess.out.ready {
		replies, open := sess.out.take()
		for _, r := range replies {
			if err := stream.Send(r); err != nil {
				sess.abort()
				return
			}
		}
		if !open {
			return
		}
	}
}
