package entry

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivewind/chivewind/internal/fleet"
	"github.com/chivewind/chivewind/internal/placement"
	"github.com/chivewind/chivewind/peer"
)

// Requests for model engines are placed by one daemon, the scheduler, because each placement changes the
// load that the next one depends on: with many daemons their reports are too old. The scheduler is only an
// adviser. When it does not answer at once, the entry daemon places the request on its own view, and two
// schedulers at the same time cost only latency.

const (
	// schedulerTimeout is how long an answer of the scheduler is waited for before the question is sent again,
	// and askTries the number of times. An answer takes a few milliseconds between availability zones.
	schedulerTimeout = 30 * time.Millisecond
	schedulerTries   = 2
	// initialBackoff and lastSuspension bound the time for which a silent scheduler is not asked.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// progressHistory is the number of earlier events that each progress report repeats, because reports
	// may be lost.
	progressHistory = 4
)

// schedulerClient is the state of a daemon as a client of the scheduler. Server.mu guards it.
type schedulerClient struct {
	// scheduler names the process that was asked last; 0 when requests are placed here.
	scheduler uint64
	nextID    uint64
	waiting   map[uint64]chan *peer.PlaceReply
	backoffs  map[string]schedulerBackoff
	progress  []*peer.PlacedProgress
}

type schedulerBackoff struct {
	until time.Time
	delay time.Duration
}

func newSchedulerClient() schedulerClient {
	return schedulerClient{waiting: map[uint64]chan *peer.PlaceReply{}, backoffs: map[string]schedulerBackoff{}}
}

// placedAttempt is an attempt that has an endpoint.
type placedAttempt struct {
	ticket *placement.Ticket
	// scheduler is the scheduler that placed the attempt, and id its number there; nil when it was placed here.
	scheduler *peer.Identity
	id        uint64
}

// processKey names a process of a daemon.
func processKey(daemon string, incarnation uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(daemon), incarnation))
}

func (s *Server) selfKey() uint64 {
	self, incarnation := s.fleet.Self()
	return processKey(self.Daemon, incarnation)
}

// holdRef names the question of a waiting request, which keeps its number when it is asked again.
type holdRef struct {
	scheduler string
	id        uint64
}

// place chooses an endpoint and records the attempt there. The end is not nil when the request is refused.
// The request waits here while an engine reads its shared parts for another request.
func (s *Server) place(ctx context.Context, req *request) (placement.Choice, *placedAttempt, *completion) {
	defer func() { req.hold, req.placeReq.Waited = holdRef{}, false }()
	for {
		choice, attempt, refused := s.placeOnce(ctx, req)
		if refused != nil || !choice.Hold {
			return choice, attempt, refused
		}
		if !req.placeReq.Waited {
			s.stats.count("chivewind_entry_waits_total", "class", req.route.Class)
		}
		req.placeReq.Waited = true
		waitStart := time.Now()
		select {
		case <-ctx.Done():
		case <-time.After(placement.HoldInterval):
		}
		req.waitTime += time.Since(waitStart)
		if ctx.Err() != nil {
			s.endWait(attempt)
			e := s.contextEnded(ctx, req)
			return choice, nil, &e
		}
		s.endLocalReservation(attempt)
	}
}

// endLocalReservation ends the load of a waiting request that is about to be placed again. A scheduler replaces its
// own part when it is asked again.
func (s *Server) endLocalReservation(attempt *placedAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt.ticket != nil {
		attempt.ticket.End(time.Now(), placement.Abandoned)
	}
}

// endWait ends the load of a request that waits no more, also at the scheduler.
func (s *Server) endWait(attempt *placedAttempt) {
	s.endLocalReservation(attempt)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendProgress(attempt, true, placement.Abandoned)
}

// placeOnce asks the scheduler, or decides here when there is none.
func (s *Server) placeOnce(ctx context.Context, req *request) (placement.Choice, *placedAttempt, *completion) {
	req.placeReq.MayWait = max(placement.MayWait(req.placeReq.FirstByte)-time.Since(req.arrival), 0)
	if req.pool.Engine != nil {
		if scheduler := s.selectScheduler(); scheduler != nil {
			if choice, attempt, refused, ok := s.askScheduler(ctx, req, scheduler); ok {
				return choice, attempt, refused
			}
		}
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	req.placeReq.Remaining = time.Until(req.deadline)
	choice, refusal := s.board.Choose(now, req.pool.Name, &req.placeReq)
	if refusal != nil {
		return choice, nil, &completion{reply: notRun(refusalReason(refusal.Reason), refusal.RetryAfter)}
	}
	self, _ := s.fleet.Self()
	req.placedBy = self.Daemon
	if choice.Hold {
		return choice, &placedAttempt{ticket: s.board.Reserve(now, req.pool.Name, &req.placeReq, choice, placement.Own)}, nil
	}
	ticket := s.board.Start(now, req.pool.Name, &req.placeReq, choice, placement.Own)
	s.fleet.MarkDirty()
	return choice, &placedAttempt{ticket: ticket}, nil
}

// selectScheduler returns the daemon that places requests, or nil when it is this one or none answers.
func (s *Server) selectScheduler() *fleet.Member {
	self, _ := s.fleet.Self()
	candidates := s.fleet.Schedulers()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range candidates {
		if m.Identity.Daemon == self.Daemon {
			s.setScheduler(0)
			return nil
		}
		if now.Before(s.scheduling.backoffs[m.Identity.Daemon].until) {
			continue
		}
		s.setScheduler(processKey(m.Identity.Daemon, m.Incarnation))
		return m
	}
	s.setScheduler(0)
	return nil
}

// setScheduler records who places requests. mu is held.
func (s *Server) setScheduler(key uint64) {
	if s.scheduling.scheduler != key {
		s.scheduling.scheduler = key
		s.board.NewScheduler()
		s.stats.count("chivewind_entry_scheduler_changes_total")
	}
}

// askScheduler lets the scheduler place a request. ok is false when it gave no usable answer.
func (s *Server) askScheduler(ctx context.Context, req *request, scheduler *fleet.Member) (choice placement.Choice, attempt *placedAttempt, refused *completion, ok bool) {
	replies := make(chan *peer.PlaceReply, 1)
	query := s.newPlaceRequest(req)
	s.mu.Lock()
	if req.hold.scheduler == scheduler.Identity.Daemon {
		query.Id = req.hold.id
	} else {
		s.scheduling.nextID++
		query.Id = s.scheduling.nextID
	}
	s.scheduling.waiting[query.Id] = replies
	query.Avoid = append(s.board.Unreachable(time.Now(), req.pool.Name), req.placeReq.Avoid...)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.scheduling.waiting, query.Id)
		s.mu.Unlock()
	}()
	reply := s.sendPlaceRequest(ctx, query, scheduler, replies)
	if reply == nil {
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
		req.hold = holdRef{scheduler: scheduler.Identity.Daemon, id: query.Id}
		return placement.Choice{Hold: true}, attempt, nil, true
	}
	choice, known := s.board.Resolve(placement.Choice{
		Hash: reply.Endpoint, FetchFrom: reply.FetchFrom, Read: int(reply.ReadTokens), Wait: time.Duration(reply.WaitUs) * time.Microsecond,
	})
	if !known {
		// The scheduler knows an endpoint that this daemon has not heard of yet.
		s.sendProgress(attempt, true, placement.Abandoned)
		return choice, nil, nil, false
	}
	req.placedBy = scheduler.Identity.Daemon
	owner := placement.Own
	if s.scheduling.scheduler == reply.Scheduler {
		owner = placement.Scheduled
	}
	attempt.ticket = s.board.Start(time.Now(), req.pool.Name, &req.placeReq, choice, owner)
	return choice, attempt, nil, true
}

// newPlaceRequest describes a request for the scheduler.
func (s *Server) newPlaceRequest(req *request) *peer.PlaceRequest {
	self, incarnation := s.fleet.Self()
	w := &req.placeReq
	q := &peer.PlaceRequest{
		Daemon: self.Daemon, Incarnation: incarnation, Pool: req.pool.Name, Class: w.Class, Zone: w.Zone,
		PromptTokens: uint32(w.Chain.Total), SharedTokens: uint32(w.Chain.Shared), OutputTokens: uint32(w.Output),
		Parts: w.Chain.Keys, FirstByteUs: uint32(w.FirstByte.Microseconds()), Tier: uint32(max(w.Tier, 0)),
		RemainingMs: uint32(max(time.Until(req.deadline).Milliseconds(), 0)),
		MayWaitUs:   uint32(w.MayWait.Microseconds()), Waited: w.Waited,
	}
	for _, end := range w.Chain.Ends {
		q.PartEnds = append(q.PartEnds, uint32(end))
	}
	return q
}

// sendPlaceRequest sends the question until an answer arrives; nil when none does.
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

// backOff stops asking a scheduler that gave no answer.
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

// sendProgress reports an event of an attempt to the scheduler that placed it. mu is held.
func (s *Server) sendProgress(t *placedAttempt, ended bool, o placement.Outcome) {
	if t.scheduler == nil {
		return
	}
	self, incarnation := s.fleet.Self()
	item := &peer.PlacedProgress{Id: t.id, Ended: ended, Outcome: uint32(o)}
	s.scheduling.progress = append(s.scheduling.progress, item)
	if extra := len(s.scheduling.progress) - progressHistory - 1; extra > 0 {
		s.scheduling.progress = append(s.scheduling.progress[:0], s.scheduling.progress[extra:]...)
	}
	d := &peer.Datagram{Message: &peer.Datagram_Progress{Progress: &peer.ProgressReport{
		Daemon: self.Daemon, Incarnation: incarnation, Items: s.scheduling.progress,
	}}}
	s.fleet.Send(d, t.scheduler)
}

// refusalReason translates the reason of a refusal.
func refusalReason(r placement.Reason) Reason {
	switch r {
	case placement.Overload:
		return Overload
	case placement.Full:
		return EnginesFull
	case placement.Hopeless:
		return DeadlineUnreachable
	}
	return NoEndpoint
}
