package entry

import (
	"net/netip"
	"time"

	"github.com/chivewind/chivewind/internal/placement"
	"github.com/chivewind/chivewind/peer"
)

// remoteRequestGrace is the time for which a placed request is kept after its deadline, so that a report of its end
// that arrives late is still applied.
const remoteRequestGrace = time.Second

// holdTimeout is the time after which a held request is removed if its daemon does not repeat the place request.
const holdTimeout = 10 * placement.PlacementRetryInterval

// remoteKey identifies a place request of another daemon. A restarted daemon uses the same IDs again and is recognized
// by its incarnation.
type remoteKey struct {
	daemon string
	id     uint64
}

// remoteRequest is a request that this daemon, as the scheduler, placed for another daemon.
type remoteRequest struct {
	ticket *placement.Ticket
	// incarnation is that of the daemon that sent the place request.
	incarnation uint64
	expires     time.Time
	reply       *peer.PlaceReply
}

// remoteRequests contains the requests that this daemon placed for others. Server.mu guards it.
type remoteRequests map[remoteKey]*remoteRequest

// removeDaemon removes all requests of a daemon.
func (m remoteRequests) removeDaemon(now time.Time, daemon string) {
	for key, r := range m {
		if key.daemon == daemon {
			r.ticket.End(now, placement.Canceled)
			delete(m, key)
		}
	}
}

// expire removes requests whose end was not reported in time.
func (m remoteRequests) expire(now time.Time) {
	for key, r := range m {
		if now.After(r.expires) {
			r.ticket.End(now, placement.Canceled)
			delete(m, key)
		}
	}
}

// HandleDatagram implements fleet.Reporter. It handles place requests, their replies and progress reports.
func (s *Server) HandleDatagram(d *peer.Datagram, from netip.AddrPort) {
	switch m := d.Message.(type) {
	case *peer.Datagram_Place:
		if reply := s.placeForDaemon(m.Place); reply != nil {
			s.fleet.SendTo(&peer.Datagram{Message: &peer.Datagram_Placed{Placed: reply}}, from)
		}
	case *peer.Datagram_Placed:
		s.mu.Lock()
		if replies := s.scheduling.pendingReplies[m.Placed.Id]; replies != nil {
			select {
			case replies <- m.Placed:
			default:
				// The channel holds the reply to an earlier copy of the same place request.
			}
		}
		s.mu.Unlock()
	case *peer.Datagram_Progress:
		s.handleProgress(m.Progress)
	}
}

// placeForDaemon places a request of another daemon. A repeated place request gets the same reply, unless the request
// is held: then its reservation is replaced and it is placed again. A place request with the ID of one from an earlier
// incarnation of the daemon is a new one, and the load of the old one is released. It returns nil for an invalid place
// request.
func (s *Server) placeForDaemon(q *peer.PlaceRequest) *peer.PlaceReply {
	now := time.Now()
	key := remoteKey{q.Daemon, q.Id}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.remote[key]; known != nil {
		if known.incarnation == q.Incarnation && !known.reply.Hold {
			return known.reply
		}
		known.ticket.End(now, placement.Canceled)
		delete(s.remote, key)
	}
	r := &placement.Request{
		Class: q.Class, Zone: q.Zone, Output: int(q.OutputTokens), FirstByte: time.Duration(q.FirstByteUs) * time.Microsecond, Avoid: q.Avoid,
		MaxWait: time.Duration(q.MayWaitUs) * time.Microsecond, Waited: q.Waited, Workspace: q.Workspace,
		Tier: int(q.Tier), Remaining: time.Duration(q.RemainingMs) * time.Millisecond,
		Chain: placement.PrefixChain{Keys: q.Parts, Total: int(q.PromptTokens), Shared: int(q.SharedTokens)},
	}
	if len(q.PartEnds) != len(q.Parts) {
		return nil
	}
	for _, end := range q.PartEnds {
		r.Chain.Ends = append(r.Chain.Ends, int(end))
	}
	reply := &peer.PlaceReply{Id: q.Id, Scheduler: s.selfKey()}
	choice, refusal := s.placer.Choose(now, q.Pool, r)
	if refusal != nil {
		reply.Refusal, reply.RetryAfterMs = uint32(refusal.Reason), uint32(refusal.RetryAfter.Milliseconds())
		return reply
	}
	if choice.WaitForPrefill {
		reply.Hold, reply.Endpoint = true, choice.Hash
		s.remote[key] = &remoteRequest{
			ticket: s.placer.Reserve(now, q.Pool, r, choice, placement.ScheduledForPeer), incarnation: q.Incarnation, reply: reply, expires: now.Add(holdTimeout),
		}
		return reply
	}
	reply.Endpoint, reply.FetchFrom = choice.Hash, choice.FetchFrom
	reply.ReadTokens, reply.WaitUs = uint32(max(choice.PrefillTokens, 0)), uint32(choice.Wait.Microseconds())
	s.remote[key] = &remoteRequest{
		ticket: s.placer.Start(now, q.Pool, r, choice, placement.ScheduledForPeer), incarnation: q.Incarnation, reply: reply,
		expires: now.Add(time.Duration(q.RemainingMs)*time.Millisecond + remoteRequestGrace),
	}
	return reply
}

// handleProgress updates placed requests from a progress report of another daemon.
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
