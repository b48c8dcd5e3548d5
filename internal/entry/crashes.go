package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/chivewind/chivewind/internal/fleet"
	"github.com/chivewind/chivewind/internal/placement"
	"github.com/chivewind/chivewind/internal/poison"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/traffic"
)

const (
	// maxCrashReports is the number of recent crashes by request that are kept and repeated in later reports.
	maxCrashReports = 16
	// maxPartNews is the number of news about prompt parts in a report.
	maxPartNews = 48
	// maxEvidence is the number of older crashes, of parts that are rejected, that reports repeat for daemons that have
	// started since.
	maxEvidence = 16
	// answerStart is the time after its first data within which an answer counts as just begun. Requests whose answers
	// have been on their way for longer are no cause of a crash.
	answerStart = 500 * time.Millisecond
	// crashProbeDelay is the time between a lost connection and the probe whether the endpoint still listens, and
	// crashProbeTimeout limits the probe.
	crashProbeDelay   = 50 * time.Millisecond
	crashProbeTimeout = time.Second
)

// crashRecords holds what is known about the causes of crashes of endpoints. Server.mu guards it.
type crashRecords struct {
	requests *poison.Table
	parts    *poison.PartTable
	// reports are the crashes by request to report to other daemons.
	reports []*peer.Crash
	// news are the crashes and answers to report to other daemons.
	news fleet.News[partNews]
	// unconfirmed holds the parts of the requests that were lost with a connection to an endpoint, until a probe has
	// shown whether the endpoint has crashed.
	unconfirmed map[poison.CrashID][]lostParts
}

// partNews is a crash at which prompt parts were present or, if crash is nil, the answer to a request with a part.
type partNews struct {
	crash    *peer.PartCrash
	answered *peer.AnsweredPart
	at       time.Time
}

// lostParts are the shared prompt parts of a request that was lost at a time.
type lostParts struct {
	at    time.Time
	parts []poison.PartKey
}

func newCrashRecords() crashRecords {
	return crashRecords{requests: poison.New(0), parts: poison.NewPartTable(0), unconfirmed: map[poison.CrashID][]lostParts{}}
}

// crashID identifies one crash of an endpoint in the table of requests. startedAtMs is the start time of the
// incarnation that crashed.
func crashID(endpoint string, startedAtMs uint64) string {
	return fmt.Sprintf("%s/%d", endpoint, startedAtMs)
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
	case s.crashes.requests.Crashes(now, req.fingerprint) >= poison.CrashLimit:
		return notRunUnlessExecuted(req, CrashedEndpoints, crashRetryAfter)
	case s.crashes.parts.Rejects(now, req.parts):
		return notRunUnlessExecuted(req, CrashingPart, crashRetryAfter)
	}
	return nil
}

// recordLostRequest records that the connection to an endpoint, to which the request had been sent, was lost. The caller
// holds mu.
func (s *Server) recordLostRequest(now time.Time, placed *placedAttempt, req *request, c placement.Choice) {
	startedAt := uint64(c.Endpoint.StartedAtMs)
	if s.crashes.requests.Add(now, req.fingerprint, c.Endpoint.ID, crashID(c.Endpoint.ID, startedAt)) {
		s.crashes.reports = append(s.crashes.reports, &peer.Crash{Request: uint64(req.fingerprint), Endpoint: c.Endpoint.ID, Id: startedAt})
	}
	answering := time.Duration(0)
	if !placed.firstEventAt.IsZero() {
		answering = now.Sub(placed.firstEventAt)
	}
	s.opts.Log.Info("endpoint lost a request", "request", req.caller.AttemptID, "endpoint", c.Endpoint.ID, "started_at_ms", startedAt,
		"parts", sharedPartIDs(req.caller.Prompt), "part_keys", req.parts, "answering_ms", answering.Milliseconds())
	if len(req.parts) == 0 || answering > answerStart {
		return
	}
	id := poison.CrashID{Endpoint: c.Endpoint.ID, StartedAtMs: startedAt}
	first := s.crashes.unconfirmed[id] == nil
	s.crashes.unconfirmed[id] = append(s.crashes.unconfirmed[id], lostParts{at: now, parts: req.parts})
	if first {
		go s.confirmCrash(id, c.Endpoint.Address)
	}
}

// confirmCrash records the crash of an endpoint with the parts that were lost if nothing listens at its address any
// more. Connections are also lost for other reasons, which say nothing about the requests.
func (s *Server) confirmCrash(id poison.CrashID, address string) {
	time.Sleep(crashProbeDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	crashed := s.client.Refused(ctx, address)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.crashes.unconfirmed[id]
	delete(s.crashes.unconfirmed, id)
	if !crashed {
		return
	}
	for _, l := range lost {
		s.addPartCrash(now, l.at, id, l.parts, true)
	}
	s.fleet.RequestReport()
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

// recordAnswer records that a request was answered completely, so that the parts of its prompt crash no endpoints. The
// caller holds mu.
func (s *Server) recordAnswer(now time.Time, req *request) {
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

// fillReport adds the latest crashes by request and what is new about prompt parts. If repeatEvidence is set, it also
// adds older crashes of parts that are rejected.
func (c *crashRecords) fillReport(now time.Time, r *peer.Report, repeatEvidence bool) {
	r.Crashes = c.reports
	if len(c.reports) > maxCrashReports {
		c.reports = c.reports[len(c.reports)-maxCrashReports:]
	}
	age := func(at time.Time) uint32 { return uint32(max(now.Sub(at).Milliseconds(), 0)) }
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
	for _, e := range c.parts.Evidence(maxEvidence) {
		r.PartCrashes = append(r.PartCrashes, &peer.PartCrash{Endpoint: e.Crash.Endpoint, StartedAtMs: e.Crash.StartedAtMs, Parts: []uint64{uint64(e.Part)}, AgeMs: age(e.At)})
	}
}

// handleCrashes applies the crashes and answers that another daemon reported. The caller holds mu.
func (s *Server) handleCrashes(now time.Time, r *peer.Report) {
	for _, c := range r.Crashes {
		if s.crashes.requests.Add(now, poison.Fingerprint(c.Request), c.Endpoint, crashID(c.Endpoint, c.Id)) {
			// In a large fleet daemons report only to some others, so those report the crash to the rest.
			s.crashes.reports = append(s.crashes.reports, c)
		}
	}
	if len(r.PartCrashes) == 0 && len(r.AnsweredParts) == 0 {
		return
	}
	forward := s.fleet.ForwardsNews()
	at := func(ageMs uint32) time.Time { return now.Add(-time.Duration(ageMs) * time.Millisecond) }
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
