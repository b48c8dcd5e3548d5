package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/chivewind/chivewind/internal/fleet"
	"github.com/chivewind/chivewind/internal/placement"
	"github.com/chivewind/chivewind/internal/poison"
	"github.com/chivewind/chivewind/internal/upstream"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/traffic"
)

const (
	// maxRequestNews is the number of news about requests in a report.
	maxRequestNews = 16
	// maxLostRequests is the number of requests that are kept for one crash of an endpoint.
	maxLostRequests = 256
	// maxPartNews is the number of news about prompt parts in a report.
	maxPartNews = 48
	// maxEvidence is the number of older crashes, of parts that are rejected and of requests with several, that reports
	// repeat for daemons that have started since.
	maxEvidence = 16
	// answerStart is the time after its first data within which an answer counts as just begun. Requests whose answers
	// have been on their way for longer are no cause of a crash.
	answerStart = 500 * time.Millisecond
	// crashProbeDelay is the time between a lost connection and the probe whether the endpoint still listens, and
	// crashProbeTimeout limits the probe.
	crashProbeDelay   = 50 * time.Millisecond
	crashProbeTimeout = time.Second
	// removalWait is the time after an inconclusive probe within which the removal of the endpoint's entry shows that it
	// has crashed. The entry of a VM that has failed is removed when its lease has expired, which takes seconds.
	removalWait = 10 * time.Second
)

// crashRecords holds what is known about the causes of crashes of endpoints. Server.mu guards it.
type crashRecords struct {
	requests *poison.Table
	parts    *poison.PartTable
	// requestNews and news are the crashes and answers, of requests and of prompt parts, to report to other daemons.
	requestNews fleet.News[requestNews]
	news        fleet.News[partNews]
	// unconfirmed holds the requests that were lost with a connection to an endpoint, until it is known whether the
	// endpoint has crashed.
	unconfirmed map[poison.CrashID]*lostRequests
}

// requestNews is a crash of an endpoint that ran a request or, if crash is nil, the answer to a request that had been
// suspected.
type requestNews struct {
	crash    *peer.Crash
	answered poison.Fingerprint
	at       time.Time
}

// partNews is a crash at which prompt parts were present or, if crash is nil, the answer to a request with a part.
type partNews struct {
	crash    *peer.PartCrash
	answered *peer.AnsweredPart
	at       time.Time
}

// lostRequests are the requests that were lost at one incarnation of an endpoint.
type lostRequests struct {
	requests []lostRequest
	// removalUntil is zero during a probe. After an inconclusive one, the removal of the endpoint's entry until then is a
	// crash.
	removalUntil time.Time
}

// lostRequest is a request that was lost at a time, with the shared parts of its prompt if they may be the cause.
type lostRequest struct {
	at          time.Time
	fingerprint poison.Fingerprint
	parts       []poison.PartKey
}

func newCrashRecords() crashRecords {
	return crashRecords{requests: poison.New(0), parts: poison.NewPartTable(0), unconfirmed: map[poison.CrashID]*lostRequests{}}
}

// sharedPartKeys returns the keys of the parts of a prompt that other requests may share, which are all but the last.
func sharedPartKeys(p *traffic.Prompt) []poison.PartKey {
	if p == nil {
		return nil
	}
	var keys []poison.PartKey
	for i := 0; i+1 < len(p.Parts); i++ {
		keys = append(keys, poison.PartKeyOf(p.Model, p.Parts[i].ID))
	}
	return keys
}

// sharedPartIDs returns the IDs of the parts of sharedPartKeys.
func sharedPartIDs(p *traffic.Prompt) []string {
	if p == nil {
		return nil
	}
	var ids []string
	for i := 0; i+1 < len(p.Parts); i++ {
		ids = append(ids, p.Parts[i].ID)
	}
	return ids
}

// crashRefusal returns the reply to a request that must not be sent because it, or a part of its prompt, crashes
// endpoints, or nil.
func (s *Server) crashRefusal(req *request) *reply {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.crashes.requests.Rejects(now, req.fingerprint):
		return notRunUnlessExecuted(req, CrashedEndpoints, crashRetryAfter)
	case s.crashes.parts.Rejects(now, req.parts):
		return notRunUnlessExecuted(req, CrashingPart, crashRetryAfter)
	}
	return nil
}

// recordLostRequest records that the connection to an endpoint, to which the request had been sent, was lost. That is not
// yet a crash: connections are also lost for other reasons, which say nothing about the requests. The caller holds mu.
func (s *Server) recordLostRequest(now time.Time, placed *placedAttempt, req *request, c placement.Choice) {
	answering := time.Duration(0)
	if !placed.firstEventAt.IsZero() {
		answering = now.Sub(placed.firstEventAt)
	}
	id := poison.CrashID{Endpoint: c.Endpoint.ID, StartedAtMs: uint64(c.Endpoint.StartedAtMs)}
	s.opts.Log.Info("endpoint lost a request", "request", req.caller.AttemptID, "endpoint", id.Endpoint, "started_at_ms", id.StartedAtMs,
		"parts", sharedPartIDs(req.caller.Prompt), "part_keys", req.parts, "answering_ms", answering.Milliseconds())
	lost := lostRequest{at: now, fingerprint: req.fingerprint}
	if answering <= answerStart {
		lost.parts = req.parts
	}
	known := s.crashes.unconfirmed[id]
	if known == nil {
		known = &lostRequests{removalUntil: now}
		s.crashes.unconfirmed[id] = known
	}
	if !known.removalUntil.IsZero() {
		known.removalUntil = time.Time{}
		go s.confirmCrash(id, c.Endpoint.Address)
	}
	if len(known.requests) < maxLostRequests {
		known.requests = append(known.requests, lost)
	}
}

// confirmCrash records the crash of an endpoint if nothing listens at its address any more. If something does, it has not
// crashed; if the address does not answer, recordRemovals decides.
func (s *Server) confirmCrash(id poison.CrashID, address string) {
	time.Sleep(crashProbeDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	probe := s.client.Probe(ctx, address)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch probe {
	case upstream.Refuses:
		s.recordCrash(now, id)
	case upstream.Listens:
		delete(s.crashes.unconfirmed, id)
	case upstream.Unknown:
		if _, present := s.endpoints[id.Endpoint]; !present {
			s.recordCrash(now, id)
			return
		}
		s.crashes.unconfirmed[id].removalUntil = now.Add(removalWait)
	}
}

// recordCrash records the crash of an endpoint with the requests that were lost. The caller holds mu.
func (s *Server) recordCrash(now time.Time, id poison.CrashID) {
	lost := s.crashes.unconfirmed[id]
	delete(s.crashes.unconfirmed, id)
	for _, l := range lost.requests {
		s.addRequestCrash(now, l.at, &peer.Crash{Request: uint64(l.fingerprint), Endpoint: id.Endpoint, Id: id.StartedAtMs}, true)
		if len(l.parts) > 0 {
			s.addPartCrash(now, l.at, id, l.parts, true)
		}
	}
	s.fleet.RequestReport()
}

// recordRemovals records the crashes of endpoints that did not answer a probe and whose entries are now gone, or replaced
// by those of a later incarnation. previous and current are the endpoints before and after the change. The caller holds mu.
func (s *Server) recordRemovals(now time.Time, previous, current map[string]traffic.Endpoint) {
	for id, lost := range s.crashes.unconfirmed {
		if lost.removalUntil.IsZero() {
			continue
		}
		is := func(e traffic.Endpoint) bool { return uint64(e.StartedAtMs) == id.StartedAtMs }
		before, known := previous[id.Endpoint]
		switch after, present := current[id.Endpoint]; {
		case now.After(lost.removalUntil) || !known || !is(before) || before.State == traffic.EndpointDraining:
			delete(s.crashes.unconfirmed, id)
		case !present || !is(after):
			s.recordCrash(now, id)
		}
	}
}

// addRequestCrash records a crash of an endpoint that ran a request, and reports it if it was not known and report is set.
// The caller holds mu.
func (s *Server) addRequestCrash(now, at time.Time, c *peer.Crash, report bool) {
	if s.crashes.requests.Add(now, at, poison.Fingerprint(c.Request), c.Endpoint, strconv.FormatUint(c.Id, 10)) && report {
		s.crashes.requestNews.Add(now, requestNews{crash: c, at: at})
	}
}

// addAnsweredRequest records that a request was answered completely, and reports it if it was suspected and report is set.
// The caller holds mu.
func (s *Server) addAnsweredRequest(now, at time.Time, f poison.Fingerprint, report bool) {
	if s.crashes.requests.Answered(now, at, f) && report {
		s.crashes.requestNews.Add(now, requestNews{answered: f, at: at})
	}
}

// addPartCrash records a crash at which parts were present, and reports it if it was not known and report is set. The
// caller holds mu.
func (s *Server) addPartCrash(now, at time.Time, id poison.CrashID, parts []poison.PartKey, report bool) {
	rejected := s.crashes.parts.Rejected()
	if !s.crashes.parts.Add(now, at, id, parts) {
		return
	}
	if s.crashes.parts.Rejected() > rejected {
		s.stats.count("chivewind_entry_rejected_parts_total")
		s.opts.Log.Warn("requests with a prompt part are rejected", "endpoint", id.Endpoint, "started_at_ms", id.StartedAtMs, "part_keys", parts)
	}
	if report {
		keys := make([]uint64, len(parts))
		for i, part := range parts {
			keys[i] = uint64(part)
		}
		s.crashes.news.Add(now, partNews{crash: &peer.PartCrash{Endpoint: id.Endpoint, StartedAtMs: id.StartedAtMs, Parts: keys}, at: at})
	}
}

// recordAnswer records that a request was answered completely, so that neither it nor the parts of its prompt crash
// endpoints. The caller holds mu.
func (s *Server) recordAnswer(now time.Time, req *request) {
	s.addAnsweredRequest(now, now, req.fingerprint, true)
	for _, part := range req.parts {
		s.addAnsweredPart(now, now, part, true)
	}
}

// addAnsweredPart records that a request with a part was answered, and reports it if the part was suspected and report is
// set. The caller holds mu.
func (s *Server) addAnsweredPart(now, at time.Time, part poison.PartKey, report bool) {
	if s.crashes.parts.Answered(now, at, part) && report {
		s.crashes.news.Add(now, partNews{answered: &peer.AnsweredPart{Part: uint64(part)}, at: at})
	}
}

// fillReport adds what is new about requests and prompt parts. If repeatEvidence is set, it also adds older crashes of
// those that are rejected.
func (c *crashRecords) fillReport(now time.Time, r *peer.Report, repeatEvidence bool) {
	age := func(at time.Time) uint32 { return uint32(max(now.Sub(at).Milliseconds(), 0)) }
	for _, n := range c.requestNews.Latest(now, maxRequestNews) {
		if n.crash != nil {
			r.Crashes = append(r.Crashes, &peer.Crash{Request: n.crash.Request, Endpoint: n.crash.Endpoint, Id: n.crash.Id, AgeMs: age(n.at)})
		} else {
			r.AnsweredRequests = append(r.AnsweredRequests, &peer.AnsweredRequest{Request: uint64(n.answered), AgeMs: age(n.at)})
		}
	}
	for _, n := range c.news.Latest(now, maxPartNews) {
		if n.crash != nil {
			r.PartCrashes = append(r.PartCrashes, &peer.PartCrash{Endpoint: n.crash.Endpoint, StartedAtMs: n.crash.StartedAtMs, Parts: n.crash.Parts, AgeMs: age(n.at)})
		} else {
			r.AnsweredParts = append(r.AnsweredParts, &peer.AnsweredPart{Part: n.answered.Part, AgeMs: age(n.at)})
		}
	}
	if !repeatEvidence {
		return
	}
	for _, e := range c.requests.Evidence(now, maxEvidence) {
		id, _ := strconv.ParseUint(e.CrashID, 10, 64)
		r.Crashes = append(r.Crashes, &peer.Crash{Request: uint64(e.Request), Endpoint: e.Endpoint, Id: id, AgeMs: age(e.At)})
	}
	for _, e := range c.parts.Evidence(maxEvidence) {
		r.PartCrashes = append(r.PartCrashes, &peer.PartCrash{Endpoint: e.Crash.Endpoint, StartedAtMs: e.Crash.StartedAtMs, Parts: []uint64{uint64(e.Part)}, AgeMs: age(e.At)})
	}
}

// handleCrashes applies the crashes and answers that another daemon reported. In a large fleet daemons report only to
// some others, which report what is new to the rest. The caller holds mu.
func (s *Server) handleCrashes(now time.Time, r *peer.Report) {
	if len(r.Crashes) == 0 && len(r.AnsweredRequests) == 0 && len(r.PartCrashes) == 0 && len(r.AnsweredParts) == 0 {
		return
	}
	forward := s.fleet.ForwardsNews()
	at := func(ageMs uint32) time.Time { return now.Add(-time.Duration(ageMs) * time.Millisecond) }
	for _, c := range r.Crashes {
		s.addRequestCrash(now, at(c.AgeMs), c, forward)
	}
	for _, a := range r.AnsweredRequests {
		s.addAnsweredRequest(now, at(a.AgeMs), poison.Fingerprint(a.Request), forward)
	}
	for _, c := range r.PartCrashes {
		parts := make([]poison.PartKey, len(c.Parts))
		for i, key := range c.Parts {
			parts[i] = poison.PartKey(key)
		}
		s.addPartCrash(now, at(c.AgeMs), poison.CrashID{Endpoint: c.Endpoint, StartedAtMs: c.StartedAtMs}, parts, forward)
	}
	for _, a := range r.AnsweredParts {
		s.addAnsweredPart(now, at(a.AgeMs), poison.PartKey(a.Part), forward)
	}
}
