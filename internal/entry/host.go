package entry

import (
	"net/netip"
	"time"

	"github.com/chivewind/chivewind/internal/placement"
	"github.com/chivewind/chivewind/peer"
)

// remoteRequestGrace is how long after its deadline a request of another daemon may still be reported as running.
const remoteRequestGrace = time.Second

// holdTimeout is how long a waiting request may not be asked for again until it is taken as gone.
const holdTimeout = 10 * placement.HoldInterval

// remoteKey names a request of another daemon.
type remoteKey struct {
	daemon string
	id     uint64
}

// remoteRequest is a request that this daemon placed for another one.
type remoteRequest struct {
	ticket      *placement.Ticket
	incarnation uint64
	expires     time.Time
	reply       *peer.PlaceReply
}

// remoteRequests is the state of a daemon as the scheduler of others. Server.mu guards it.
type remoteRequests map[remoteKey]*remoteRequest

// removeDaemon forgets the requests of a daemon.
func (h remoteRequests) removeDaemon(now time.Time, daemon string) {
	for key, r := range h {
		if key.daemon == daemon {
			r.ticket.End(now, placement.Abandoned)
			delete(h, key)
		}
	}
}

// expire forgets requests whose end was never reported.
func (h remoteRequests) expire(now time.Time) {
	for key, r := range h {
		if now.After(r.expires) {
			r.ticket.End(now, placement.Abandoned)
			delete(h, key)
		}
	}
}

// HandleDatagram implements fleet.Reporter.
func (s *Server) HandleDatagram(d *peer.Datagram, from netip.AddrPort) {
	switch m := d.Message.(type) {
	case *peer.Datagram_Place:
		if reply := s.placeForDaemon(m.Place); reply != nil {
			s.fleet.SendTo(&peer.Datagram{Message: &peer.Datagram_Placed{Placed: reply}}, from)
		}
	case *peer.Datagram_Placed:
		s.mu.Lock()
		if replies := s.scheduling.waiting[m.Placed.Id]; replies != nil {
			select {
			case replies <- m.Placed:
			default:
			}
		}
		s.mu.Unlock()
	case *peer.Datagram_Progress:
		s.handleProgress(m.Progress)
	}
}

// placeForDaemon places a request of another daemon. A repeated question gets the same answer.
func (s *Server) placeForDaemon(q *peer.PlaceRequest) *peer.PlaceReply {
	now := time.Now()
	key := remoteKey{q.Daemon, q.Id}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.remote[key]; known != nil {
		if known.incarnation == q.Incarnation && !known.reply.Hold {
			return known.reply
		}
		known.ticket.End(now, placement.Abandoned)
		delete(s.remote, key)
	}
	r := &placement.Request{
		Class: q.Class, Zone: q.Zone, Output: int(q.OutputTokens), FirstByte: time.Duration(q.FirstByteUs) * time.Microsecond, Avoid: q.Avoid,
		MayWait: time.Duration(q.MayWaitUs) * time.Microsecond, Waited: q.Waited,
		Tier: int(q.Tier), Remaining: time.Duration(q.RemainingMs) * time.Millisecond,
		Chain: placement.Chain{Keys: q.Parts, Total: int(q.PromptTokens), Shared: int(q.SharedTokens)},
	}
	if len(q.PartEnds) != len(q.Parts) {
		return nil
	}
	for _, end := range q.PartEnds {
		r.Chain.Ends = append(r.Chain.Ends, int(end))
	}
	reply := &peer.PlaceReply{Id: q.Id, Scheduler: s.selfKey()}
	choice, refusal := s.board.Choose(now, q.Pool, r)
	if refusal != nil {
		reply.Refusal, reply.RetryAfterMs = uint32(refusal.Reason), uint32(refusal.RetryAfter.Milliseconds())
		return reply
	}
	if choice.Hold {
		reply.Hold, reply.Endpoint = true, choice.Hash
		s.remote[key] = &remoteRequest{
			ticket: s.board.Reserve(now, q.Pool, r, choice, placement.Hosted), incarnation: q.Incarnation, reply: reply, expires: now.Add(holdTimeout),
		}
		return reply
	}
	reply.Endpoint, reply.FetchFrom = choice.Hash, choice.FetchFrom
	reply.ReadTokens, reply.WaitUs = uint32(max(choice.Read, 0)), uint32(choice.Wait.Microseconds())
	s.remote[key] = &remoteRequest{
		ticket: s.board.Start(now, q.Pool, r, choice, placement.Hosted), incarnation: q.Incarnation, reply: reply,
		expires: now.Add(time.Duration(q.RemainingMs)*time.Millisecond + remoteRequestGrace),
	}
	return reply
}

// handleProgress records events of requests that this daemon placed.
func (s *Server) handleProgress(p *peer.ProgressReport) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range p.Items {
		key := remoteKey{p.Daemon, item.Id}
		r := s.remote[key]
		if r == nil || r.incarnation != p.Incarnation {
			continue
		}
		if !item.Ended {
			r.ticket.Event(now)
			continue
		}
		r.ticket.End(now, placement.Outcome(item.Outcome))
		delete(s.remote, key)
	}
}
