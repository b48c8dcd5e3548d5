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
	// askTimeout is how long an answer of the scheduler is waited for before the question is sent again,
	// and askTries the number of times. An answer takes a few milliseconds between availability zones.
	askTimeout = 30 * time.Millisecond
	askTries   = 2
	// firstSuspension and lastSuspension bound the time for which a silent scheduler is not asked.
	firstSuspension = 500 * time.Millisecond
	lastSuspension  = 4 * time.Second
	// repeatedProgress is the number of earlier events that each progress report repeats, because reports
	// may be lost.
	repeatedProgress = 4
)

// asking is the state of a daemon as a client of the scheduler. Server.mu guards it.
type asking struct {
	// scheduler names the process that was asked last; 0 when requests are placed here.
	scheduler uint64
	nextID    uint64
	waiting   map[uint64]chan *peer.PlaceReply
	suspended map[string]suspension
	progress  []*peer.PlacedProgress
}

type suspension struct {
	until  time.Time
	length time.Duration
}

func newAsking() asking {
	return asking{waiting: map[uint64]chan *peer.PlaceReply{}, suspended: map[string]suspension{}}
}

// placed is an attempt that has an endpoint.
type placed struct {
	local *placement.Ticket
	// host is the scheduler that placed the attempt, and id its number there; nil when it was placed here.
	host *peer.Identity
	id   uint64
}

// processKey names a process of a daemon.
func processKey(daemon string, incarnation uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(daemon), incarnation))
}

func (s *Server) selfKey() uint64 {
	self, incarnation := s.fleet.Self()
	return processKey(self.Daemon, incarnation)
}

// heldQuestion names the question of a waiting request, which keeps its number when it is asked again.
type heldQuestion struct {
	host string
	id   uint64
}

// place chooses an endpoint and records the attempt there. The end is not nil when the request is refused.
// The request waits here while an engine reads its shared parts for another request.
func (s *Server) place(ctx context.Context, req *request) (placement.Choice, *placed, *end) {
	defer func() { req.held, req.wanted.Waited = heldQuestion{}, false }()
	for {
		choice, attempt, refused := s.placeOnce(ctx, req)
		if refused != nil || !choice.Hold {
			return choice, attempt, refused
		}
		if !req.wanted.Waited {
			s.stats.count("chivewind_entry_waits_total", "class", req.route.Class)
		}
		req.wanted.Waited = true
		begun := time.Now()
		select {
		case <-ctx.Done():
		case <-time.After(placement.HoldInterval):
		}
		req.waited += time.Since(begun)
		if ctx.Err() != nil {
			s.endWait(attempt)
			e := s.expired(ctx, req)
			return choice, nil, &e
		}
		s.endReservation(attempt)
	}
}

// endReservation ends the load of a waiting request that is about to be placed again. A scheduler replaces its
// own part when it is asked again.
func (s *Server) endReservation(attempt *placed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt.local != nil {
		attempt.local.End(time.Now(), placement.Abandoned)
	}
}

// endWait ends the load of a request that waits no more, also at the scheduler.
func (s *Server) endWait(attempt *placed) {
	s.endReservation(attempt)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tell(attempt, true, placement.Abandoned)
}

// placeOnce asks the scheduler, or decides here when there is none.
func (s *Server) placeOnce(ctx context.Context, req *request) (placement.Choice, *placed, *end) {
	req.wanted.MayWait = max(placement.MayWait(req.wanted.FirstByte)-time.Since(req.arrival), 0)
	if req.pool.Engine != nil {
		if host := s.schedulerToAsk(); host != nil {
			if choice, attempt, refused, ok := s.ask(ctx, req, host); ok {
				return choice, attempt, refused
			}
		}
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	req.wanted.Remaining = time.Until(req.deadline)
	choice, refusal := s.board.Choose(now, req.pool.Name, &req.wanted)
	if refusal != nil {
		return choice, nil, &end{reply: notRun(refusalReason(refusal.Reason), refusal.RetryAfter)}
	}
	self, _ := s.fleet.Self()
	req.placedBy = self.Daemon
	if choice.Hold {
		return choice, &placed{local: s.board.Reserve(now, req.pool.Name, &req.wanted, choice, placement.Own)}, nil
	}
	ticket := s.board.Start(now, req.pool.Name, &req.wanted, choice, placement.Own)
	s.fleet.MarkDirty()
	return choice, &placed{local: ticket}, nil
}

// schedulerToAsk returns the daemon that places requests, or nil when it is this one or none answers.
func (s *Server) schedulerToAsk() *fleet.Member {
	self, _ := s.fleet.Self()
	candidates := s.fleet.Schedulers()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range candidates {
		if m.Identity.Daemon == self.Daemon {
			s.useScheduler(0)
			return nil
		}
		if now.Before(s.asking.suspended[m.Identity.Daemon].until) {
			continue
		}
		s.useScheduler(processKey(m.Identity.Daemon, m.Incarnation))
		return m
	}
	s.useScheduler(0)
	return nil
}

// useScheduler records who places requests. mu is held.
func (s *Server) useScheduler(key uint64) {
	if s.asking.scheduler != key {
		s.asking.scheduler = key
		s.board.NewScheduler()
		s.stats.count("chivewind_entry_scheduler_changes_total")
	}
}

// ask lets the scheduler place a request. ok is false when it gave no usable answer.
func (s *Server) ask(ctx context.Context, req *request, host *fleet.Member) (choice placement.Choice, attempt *placed, refused *end, ok bool) {
	replies := make(chan *peer.PlaceReply, 1)
	question := s.question(req)
	s.mu.Lock()
	if req.held.host == host.Identity.Daemon {
		question.Id = req.held.id
	} else {
		s.asking.nextID++
		question.Id = s.asking.nextID
	}
	s.asking.waiting[question.Id] = replies
	question.Avoid = append(s.board.Unreachable(time.Now(), req.pool.Name), req.wanted.Avoid...)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.asking.waiting, question.Id)
		s.mu.Unlock()
	}()
	reply := s.await(ctx, question, host, replies)
	if reply == nil {
		if ctx.Err() == nil {
			s.suspend(host.Identity.Daemon)
		}
		return choice, nil, nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.asking.suspended, host.Identity.Daemon)
	if reply.Endpoint == 0 {
		wait := time.Duration(reply.RetryAfterMs) * time.Millisecond
		return choice, nil, &end{reply: notRun(refusalReason(placement.Reason(reply.Refusal)), wait)}, true
	}
	attempt = &placed{host: host.Identity, id: question.Id}
	if reply.Hold {
		req.held = heldQuestion{host: host.Identity.Daemon, id: question.Id}
		return placement.Choice{Hold: true}, attempt, nil, true
	}
	choice, known := s.board.Resolve(placement.Choice{
		Hash: reply.Endpoint, FetchFrom: reply.FetchFrom, Read: int(reply.ReadTokens), Wait: time.Duration(reply.WaitUs) * time.Microsecond,
	})
	if !known {
		// The scheduler knows an endpoint that this daemon has not heard of yet.
		s.tell(attempt, true, placement.Abandoned)
		return choice, nil, nil, false
	}
	req.placedBy = host.Identity.Daemon
	owner := placement.Own
	if s.asking.scheduler == reply.Scheduler {
		owner = placement.Scheduled
	}
	attempt.local = s.board.Start(time.Now(), req.pool.Name, &req.wanted, choice, owner)
	return choice, attempt, nil, true
}

// question describes a request for the scheduler.
func (s *Server) question(req *request) *peer.PlaceRequest {
	self, incarnation := s.fleet.Self()
	w := &req.wanted
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

// await sends the question until an answer arrives; nil when none does.
func (s *Server) await(ctx context.Context, q *peer.PlaceRequest, host *fleet.Member, replies <-chan *peer.PlaceReply) *peer.PlaceReply {
	d := &peer.Datagram{Message: &peer.Datagram_Place{Place: q}}
	for range askTries {
		s.fleet.Send(d, host.Identity)
		timer := time.NewTimer(askTimeout)
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

// suspend stops asking a scheduler that gave no answer.
func (s *Server) suspend(daemon string) {
	s.stats.count("chivewind_entry_scheduler_timeouts_total")
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	last := s.asking.suspended[daemon]
	if now.Before(last.until) {
		return
	}
	next := suspension{length: min(max(2*last.length, firstSuspension), lastSuspension)}
	next.until = now.Add(next.length)
	s.asking.suspended[daemon] = next
	s.o.Log.Info("the scheduler gave no answer", "scheduler", daemon, "suspended_ms", next.length.Milliseconds())
}

// tell reports an event of an attempt to the scheduler that placed it. mu is held.
func (s *Server) tell(t *placed, ended bool, o placement.Outcome) {
	if t.host == nil {
		return
	}
	self, incarnation := s.fleet.Self()
	item := &peer.PlacedProgress{Id: t.id, Ended: ended, Outcome: uint32(o)}
	s.asking.progress = append(s.asking.progress, item)
	if extra := len(s.asking.progress) - repeatedProgress - 1; extra > 0 {
		s.asking.progress = append(s.asking.progress[:0], s.asking.progress[extra:]...)
	}
	d := &peer.Datagram{Message: &peer.Datagram_Progress{Progress: &peer.ProgressReport{
		Daemon: self.Daemon, Incarnation: incarnation, Items: s.asking.progress,
	}}}
	s.fleet.Send(d, t.host)
}

// refusalReason translates the reason of a refusal.
func refusalReason(r placement.Reason) Reason {
	switch r {
	case placement.Overload:
		return Overload
	case placement.Full:
		return EnginesFull
	case placement.Hopeless:
		return Hopeless
	}
	return NoEndpoint
}
