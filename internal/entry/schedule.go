package entry

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivewind/chivewind/internal/fleet"
	"github.com/chivewind/chivewind/internal/placement"
	"github.com/chivewind/chivewind/peer"
)

// Requests to inference engines are placed by one daemon, the scheduler. Each placement changes the load on which
// the next one depends, and the load reports that daemons exchange are too old for that when there are many daemons.
// The scheduler is not needed for correctness: if it does not reply in time, the entry daemon places the request
// itself from its own view of the load. If daemons disagree for a time on which of them is the scheduler, only latency
// increases.

const (
	// schedulerTimeout is the time to wait for a reply of the scheduler before the place request is sent again, and
	// schedulerTries is the number of times it is sent. A reply takes a few milliseconds between availability zones.
	schedulerTimeout = 30 * time.Millisecond
	schedulerTries   = 2
	// initialBackoff and maxBackoff are the shortest and the longest time for which no request is sent to a
	// scheduler that did not reply.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// progressHistory is the number of earlier items, of any attempt, that each progress report repeats, because
	// datagrams may be lost.
	progressHistory = 4
)

// schedulerClient is the state of the client side of placement by a scheduler. Server.mu guards it.
type schedulerClient struct {
	// scheduler is the processKey of the scheduler in use; 0 when this daemon places requests itself.
	scheduler uint64
	// lastID is the ID of the last new place request.
	lastID uint64
	// pendingReplies maps the IDs of place requests in progress to the channels for their replies.
	pendingReplies map[uint64]chan *peer.PlaceReply
	// backoffs maps IDs of daemons that did not reply to their backoff.
	backoffs map[string]schedulerBackoff
	// progress contains the latest items of progress reports, oldest first.
	progress []*peer.PlacedProgress
}

// schedulerBackoff is the period in which a scheduler that did not reply is not used.
type schedulerBackoff struct {
	until time.Time
	delay time.Duration
}

func newSchedulerClient() schedulerClient {
	return schedulerClient{pendingReplies: map[uint64]chan *peer.PlaceReply{}, backoffs: map[string]schedulerBackoff{}}
}

// placedAttempt is an attempt for which placement has chosen or reserved an endpoint.
type placedAttempt struct {
	// ticket accounts for the attempt's load on this daemon; nil while a scheduler holds the request back.
	ticket *placement.Ticket
	// scheduler is the daemon that placed the attempt, and id the ID of the place request; nil if this daemon placed
	// it.
	scheduler *peer.Identity
	id        uint64
	// firstEventAt is when the endpoint sent the first data; zero if it has sent none.
	firstEventAt time.Time
}

// processKey returns a hash that identifies one incarnation of a daemon.
func processKey(daemon string, incarnation uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(daemon), incarnation))
}

// selfKey returns the processKey of this process.
func (s *Server) selfKey() uint64 {
	self, incarnation := s.fleet.Self()
	return processKey(self.Daemon, incarnation)
}

// heldPlacement identifies the place request of a held request, which is one that the scheduler has told this daemon
// not to send yet (placement.Choice.WaitForPrefill). The next place request for it has the same ID, so that the
// scheduler replaces the reservation.
type heldPlacement struct {
	scheduler string
	id        uint64
}

// place chooses an endpoint and accounts for the attempt's load. While an engine prefills the request's shared prompt
// parts for another request, the request is held and placed again every placement.PlacementRetryInterval. The
// completion is not nil if the request is refused or ends while it is held.
func (s *Server) place(ctx context.Context, req *request) (placement.Choice, *placedAttempt, *completion) {
	defer func() { req.held, req.placeReq.Waited = heldPlacement{}, false }()
	for {
		choice, attempt, refused := s.placeOnce(ctx, req)
		if refused != nil || !choice.WaitForPrefill {
			return choice, attempt, refused
		}
		if !req.placeReq.Waited {
			s.stats.count("chivewind_entry_waits_total", "class", req.route.Class)
		}
		req.placeReq.Waited = true
		waitStart := time.Now()
		select {
		case <-ctx.Done():
		case <-time.After(placement.PlacementRetryInterval):
		}
		req.waitTime += time.Since(waitStart)
		if ctx.Err() != nil {
			s.endWait(attempt)
			end := s.contextEnded(ctx, req)
			return choice, nil, &end
		}
		if refusal := s.crashRefusal(req); refusal != nil {
			s.endWait(attempt)
			return choice, nil, &completion{reply: refusal}
		}
		s.endLocalReservation(attempt)
	}
}

// endLocalReservation ends the reservation on this daemon of a held request that is about to be placed again. A
// scheduler replaces its reservation when it receives the next place request.
func (s *Server) endLocalReservation(attempt *placedAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt.ticket != nil {
		attempt.ticket.End(time.Now(), placement.Canceled)
	}
}

// endWait ends the reservations of a held request on this daemon and at the scheduler.
func (s *Server) endWait(attempt *placedAttempt) {
	s.endLocalReservation(attempt)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendProgress(attempt, true, placement.Canceled)
}

// placeOnce places a request for an engine through the scheduler. This daemon places the request itself if it is for a
// plain service, if selectScheduler returns nil or if the scheduler gives no usable reply.
func (s *Server) placeOnce(ctx context.Context, req *request) (placement.Choice, *placedAttempt, *completion) {
	req.placeReq.MaxWait = max(placement.MaxSharedWait(req.placeReq.FirstByte)-time.Since(req.arrival), 0)
	unscheduled := false
	if req.pool.Engine != nil {
		scheduler, self := s.selectScheduler()
		unscheduled = !self
		if scheduler != nil {
			if choice, attempt, refused, ok := s.askScheduler(ctx, req, scheduler); ok {
				return choice, attempt, refused
			}
		}
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	request := req.placeReq
	request.Unscheduled = unscheduled
	request.Remaining = time.Until(req.deadline)
	request.Avoid = s.placer.AppendPaused(slices.Clip(request.Avoid), now, req.pool.Name)
	choice, refusal := s.placer.Choose(now, req.pool.Name, &request)
	if refusal != nil {
		return choice, nil, &completion{reply: notRun(refusalReason(refusal.Reason), refusal.RetryAfter)}
	}
	self, _ := s.fleet.Self()
	req.placedBy = self.Daemon
	if choice.WaitForPrefill {
		return choice, &placedAttempt{ticket: s.placer.Reserve(now, req.pool.Name, &request, choice, placement.Local)}, nil
	}
	ticket := s.placer.Start(now, req.pool.Name, &request, choice, placement.Local)
	s.fleet.RequestReport()
	return choice, &placedAttempt{ticket: ticket}, nil
}

// selectScheduler returns the most preferred scheduler that is not in backoff, or nil if that is this daemon or if
// there is none. isSelf is set if this daemon is the most preferred one of all, so that others use it too.
func (s *Server) selectScheduler() (scheduler *fleet.Member, isSelf bool) {
	self, _ := s.fleet.Self()
	candidates := s.fleet.Schedulers()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, m := range candidates {
		if m.Identity.Daemon == self.Daemon {
			s.setScheduler(0)
			return nil, i == 0
		}
		if now.Before(s.scheduling.backoffs[m.Identity.Daemon].until) {
			continue
		}
		s.setScheduler(processKey(m.Identity.Daemon, m.Incarnation))
		return m, false
	}
	s.setScheduler(0)
	return nil, false
}

// setScheduler records the processKey of the scheduler in use, or 0 for this daemon. The caller holds mu.
func (s *Server) setScheduler(key uint64) {
	if s.scheduling.scheduler != key {
		s.scheduling.scheduler = key
		s.placer.SchedulerChanged()
		s.stats.count("chivewind_entry_scheduler_changes_total")
	}
}

// askScheduler places a request through the scheduler. ok is false if there was no usable reply.
func (s *Server) askScheduler(ctx context.Context, req *request, scheduler *fleet.Member) (choice placement.Choice, attempt *placedAttempt, refused *completion, ok bool) {
	replies := make(chan *peer.PlaceReply, 1)
	query := s.newPlaceRequest(req)
	s.mu.Lock()
	if req.held.scheduler == scheduler.Identity.Daemon {
		query.Id = req.held.id
	} else {
		s.scheduling.lastID++
		query.Id = s.scheduling.lastID
	}
	s.scheduling.pendingReplies[query.Id] = replies
	query.Avoid = append(s.placer.Unavailable(time.Now(), req.pool.Name), req.placeReq.Avoid...)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.scheduling.pendingReplies, query.Id)
		s.mu.Unlock()
	}()
	reply := s.sendPlaceRequest(ctx, query, scheduler, replies)
	if reply == nil {
		s.abandonPlacement(scheduler.Identity, query.Id)
		if ctx.Err() == nil {
			s.backOff(scheduler.Identity.Daemon)
		}
		return choice, nil, nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.scheduling.backoffs, scheduler.Identity.Daemon)
	if reply.Endpoint == 0 {
		wait := time.Duration(reply.RetryAfterMs) * time.Millisecond
		return choice, nil, &completion{reply: notRun(refusalReason(placement.Reason(reply.Refusal)), wait)}, true
	}
	attempt = &placedAttempt{scheduler: scheduler.Identity, id: query.Id}
	if reply.Hold {
		req.held = heldPlacement{scheduler: scheduler.Identity.Daemon, id: query.Id}
		return placement.Choice{WaitForPrefill: true}, attempt, nil, true
	}
	choice, usable := s.placer.Resolve(time.Now(), placement.Choice{
		Hash: reply.Endpoint, FetchFrom: reply.FetchFrom, PrefillTokens: int(reply.ReadTokens), Wait: time.Duration(reply.WaitUs) * time.Microsecond,
	})
	if !usable {
		// The endpoint is not yet registered on this daemon, or takes no requests from it now.
		s.sendProgress(attempt, true, placement.Canceled)
		return choice, nil, nil, false
	}
	req.placedBy = scheduler.Identity.Daemon
	// Reports list the load of ScheduledByPeer attempts separately, so that the scheduler, which already counts them,
	// does not count them twice. If the scheduler has changed meanwhile, the new one does not know the attempt.
	owner := placement.Local
	if s.scheduling.scheduler == reply.Scheduler {
		owner = placement.ScheduledByPeer
	}
	attempt.ticket = s.placer.Start(time.Now(), req.pool.Name, &req.placeReq, choice, owner)
	return choice, attempt, nil, true
}

// abandonPlacement tells a scheduler that its reply to a place request is not used. The scheduler may have received the
// request, and would otherwise count its load until the request's deadline.
func (s *Server) abandonPlacement(scheduler *peer.Identity, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendProgress(&placedAttempt{scheduler: scheduler, id: id}, true, placement.Canceled)
}

// newPlaceRequest returns the description of a request for the scheduler, without an ID.
func (s *Server) newPlaceRequest(req *request) *peer.PlaceRequest {
	self, incarnation := s.fleet.Self()
	p := &req.placeReq
	q := &peer.PlaceRequest{
		Daemon: self.Daemon, Incarnation: incarnation, Pool: req.pool.Name, Class: p.Class, Zone: p.Zone,
		PromptTokens: uint32(p.Chain.Total), SharedTokens: uint32(p.Chain.Shared), OutputTokens: uint32(p.Output),
		Parts: p.Chain.Keys, FirstByteUs: uint32(p.FirstByte.Microseconds()), Tier: uint32(max(p.Tier, 0)),
		RemainingMs: uint32(max(time.Until(req.deadline).Milliseconds(), 0)),
		MayWaitUs:   uint32(p.MaxWait.Microseconds()), Waited: p.Waited, Workspace: p.Workspace,
	}
	for _, end := range p.Chain.Ends {
		q.PartEnds = append(q.PartEnds, uint32(end))
	}
	return q
}

// sendPlaceRequest sends a place request up to schedulerTries times and returns the reply, or nil if there is none.
func (s *Server) sendPlaceRequest(ctx context.Context, q *peer.PlaceRequest, scheduler *fleet.Member, replies <-chan *peer.PlaceReply) *peer.PlaceReply {
	d := &peer.Datagram{Message: &peer.Datagram_Place{Place: q}}
	for range schedulerTries {
		s.fleet.Send(d, scheduler.Identity)
		timer := time.NewTimer(schedulerTimeout)
		select {
		case reply := <-replies:
			timer.Stop()
			return reply
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
	return nil
}

// backOff starts the backoff of a scheduler that did not reply, with twice the delay of the previous one.
func (s *Server) backOff(daemon string) {
	s.stats.count("chivewind_entry_scheduler_timeouts_total")
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	last := s.scheduling.backoffs[daemon]
	if now.Before(last.until) {
		return
	}
	next := schedulerBackoff{delay: min(max(2*last.delay, initialBackoff), maxBackoff)}
	next.until = now.Add(next.delay)
	s.scheduling.backoffs[daemon] = next
	s.opts.Log.Info("the scheduler gave no answer", "scheduler", daemon, "suspended_ms", next.delay.Milliseconds())
}

// sendProgress reports the first data or the end of an attempt to the scheduler that placed it, if any. The caller
// holds mu.
func (s *Server) sendProgress(placed *placedAttempt, ended bool, o placement.Outcome) {
	if placed.scheduler == nil {
		return
	}
	self, incarnation := s.fleet.Self()
	item := &peer.PlacedProgress{Id: placed.id, Ended: ended, Outcome: uint32(o)}
	s.scheduling.progress = append(s.scheduling.progress, item)
	if extra := len(s.scheduling.progress) - progressHistory - 1; extra > 0 {
		s.scheduling.progress = append(s.scheduling.progress[:0], s.scheduling.progress[extra:]...)
	}
	d := &peer.Datagram{Message: &peer.Datagram_Progress{Progress: &peer.ProgressReport{
		Daemon: self.Daemon, Incarnation: incarnation, Items: s.scheduling.progress,
	}}}
	s.fleet.Send(d, placed.scheduler)
}

// refusalReason converts a refusal reason of placement.
func refusalReason(r placement.Reason) Reason {
	switch r {
	case placement.Overload:
		return Overload
	case placement.Full:
		return EnginesFull
	case placement.DeadlineUnreachable:
		return DeadlineUnreachable
	case placement.AboveShare:
		return AboveShare
	case placement.MemoryFull:
		return EngineMemoryFull
	case placement.TooLarge:
		return BeyondEngineMemory
	}
	return NoEndpoint
}
