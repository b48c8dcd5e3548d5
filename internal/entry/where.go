package entry

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/chivewind/chivewind/internal/placement"
	"github.com/chivewind/chivewind/platform"
	"github.com/chivewind/chivewind/traffic"
)

// maxWhereEndpoints is the number of candidates, and that of excluded endpoints, in an answer. The others are counted.
const maxWhereEndpoints = 20

// WhereQuestion describes a request of which Where says where it would be sent.
type WhereQuestion struct {
	Host, Path string
	// Key is the caller's API key. No answer or error contains it.
	Key string
	// Pool selects a pool of the route; empty for the one with the largest weight.
	Pool string
	// Prompt is nil for requests without a prompt.
	Prompt *traffic.Prompt
}

// WhereAnswer says where a request would be sent now, and why.
type WhereAnswer struct {
	Daemon string `json:"daemon"`
	Zone   string `json:"zone"`
	// Route, Workspace, Class, Tier and Pool are those of the request. PoolWeights holds the weights of the route's pools.
	Route       string         `json:"route,omitempty"`
	Workspace   string         `json:"workspace,omitempty"`
	Class       string         `json:"class,omitempty"`
	Tier        int            `json:"tier"`
	Pool        string         `json:"pool,omitempty"`
	PoolWeights map[string]int `json:"pool_weights,omitempty"`
	// DecidedBy is the daemon that would decide. If it is another one, Note says so and the rest is this daemon's view.
	DecidedBy string `json:"decided_by,omitempty"`
	Note      string `json:"note,omitempty"`
	// Endpoint is the chosen endpoint, empty if the request would be refused. WaitsForPrefill is set if the request would
	// not be sent yet, because the engine is prefilling its shared prompt parts for another one.
	Endpoint        string        `json:"endpoint,omitempty"`
	WaitsForPrefill bool          `json:"waits_for_prefill,omitempty"`
	Refusal         *WhereRefusal `json:"refusal,omitempty"`
	// Candidates are in the order of preference. MoreCandidates and MoreExcluded are the numbers of those left out, and
	// ExcludedByReason counts all excluded endpoints.
	Candidates       []WhereEndpoint `json:"candidates,omitempty"`
	MoreCandidates   int             `json:"more_candidates"`
	Excluded         []WhereEndpoint `json:"excluded,omitempty"`
	MoreExcluded     int             `json:"more_excluded"`
	ExcludedByReason map[string]int  `json:"excluded_by_reason,omitempty"`
	Sources          WhereSources    `json:"sources"`
}

// WhereRefusal is the response with which the daemon would refuse a request.
type WhereRefusal struct {
	Status       int    `json:"status"`
	Reason       Reason `json:"reason"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Explanation  string `json:"explanation"`
}

// WhereEndpoint is an endpoint of the pool as placement sees it.
type WhereEndpoint struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Cost and CostParts are set for candidates; a cost of 1 equals the loss of one request. Parts that are 0 are left out.
	Cost      float64            `json:"cost,omitempty"`
	CostParts map[string]float64 `json:"cost_parts,omitempty"`
	// WaitMs is the expected time to the first byte, and WaitLimitMs the longest one with which the request is admitted.
	WaitMs        int64 `json:"wait_ms"`
	WaitLimitMs   int64 `json:"wait_limit_ms,omitempty"`
	PrefillTokens int   `json:"prefill_tokens"`
	Full          bool  `json:"full,omitempty"`
	// Excluded says why the endpoint is no candidate, and ForMs for how much longer if that is known.
	Excluded string `json:"excluded,omitempty"`
	ForMs    int64  `json:"for_ms,omitempty"`
	// Requests are the requests in progress from all daemons. Slots, Pace and MemoryTokens are limits; 0 for none.
	Requests       int `json:"requests"`
	Slots          int `json:"slots"`
	Pace           int `json:"pace,omitempty"`
	PendingPrefill int `json:"pending_prefill"`
	HeldTokens     int `json:"held_tokens"`
	MemoryTokens   int `json:"memory_tokens,omitempty"`
}

// WhereSources says how old the data are on which an answer relies.
type WhereSources struct {
	TableVersion int64 `json:"table_version"`
	// StoreRevision is the revision up to which the view is complete, see platform.FormatRevision.
	StoreRevision string `json:"store_revision"`
	// Behind is set if another daemon has a newer revision.
	Behind       bool  `json:"behind"`
	StoreReplyMs int64 `json:"store_reply_ms"`
	// Reporting is the number of the other daemons (of Daemons, this one included) whose reports of demand are known, and
	// ReportsMs the age that the latest reports of three quarters of them do not exceed.
	Daemons   int   `json:"daemons"`
	Reporting int   `json:"reporting"`
	ReportsMs int64 `json:"reports_ms"`
}

// Where returns where a request would be sent now, and why. It sends, counts and changes nothing. It does not consult the
// records of requests and prompt parts that crashed endpoints, and the retry budget.
func (s *Server) Where(q WhereQuestion) (WhereAnswer, error) {
	now := time.Now()
	view := s.fleet.View()
	self, _ := s.fleet.Self()
	a := WhereAnswer{Daemon: self.Daemon, Zone: s.opts.Zone, Sources: WhereSources{
		StoreRevision: platform.FormatRevision(view.Revision), Behind: s.fleet.Behind(), StoreReplyMs: s.fleet.TimeSinceStoreReply().Milliseconds(), Daemons: s.fleet.Size(),
	}}
	if view.Table == nil {
		a.refuse(notRun(NoTable, startRetryAfter))
		return a, nil
	}
	a.Sources.TableVersion = view.Table.Version
	if s.refusing.Load() {
		a.refuse(notRun(ShuttingDown, stopRetryAfter))
		return a, nil
	}
	req, refusal, err := s.whereRequest(now, view.Table, q)
	if err != nil {
		return WhereAnswer{}, err
	}
	if req != nil {
		a.describe(req)
	}
	if refusal != nil {
		a.refuse(refusal)
		return a, nil
	}
	a.addUnknown(view.Endpoints, s.explainPlacement(now, req, &a))
	return a, nil
}

// whereRequest returns the request of a question. The request is nil if no route matches.
func (s *Server) whereRequest(now time.Time, table *traffic.Table, q WhereQuestion) (*request, *reply, error) {
	route := table.Lookup(stripPort(q.Host), q.Path)
	if route == nil {
		return nil, s.refuseUnknown(404, NoRoute, NoRouteMaybeStale), nil
	}
	req := &request{caller: Caller{APIKey: q.Key, Prompt: q.Prompt}, route: route, tier: route.Tier, arrival: now}
	name := q.Pool
	if name == "" {
		name = heaviestPool(route)
	} else if !slices.ContainsFunc(route.Pools, func(p traffic.WeightedPool) bool { return p.Pool == name }) {
		return nil, nil, fmt.Errorf("route %s has no pool %s", route.Name, name)
	}
	req.pool = table.Pools[name]
	if table.KeysRequired {
		workspace, ok := table.Keys[q.Key]
		switch {
		case ok:
			req.workspace = workspace
		case !route.Public:
			return req, s.refuseUnknown(401, UnknownKey, UnknownKeyMaybeStale), nil
		}
	}
	req.setDeadline()
	req.describe(s.opts.Zone)
	req.placeReq.MaxWait = placement.MaxSharedWait(req.placeReq.FirstByte)
	req.placeReq.Remaining = req.deadline.Sub(now)
	return req, nil, nil
}

// heaviestPool returns the pool of a route with the largest weight, or "" if all weights are 0.
func heaviestPool(r *traffic.Route) (name string) {
	weight := 0
	for _, p := range r.Pools {
		if p.Weight > weight {
			name, weight = p.Pool, p.Weight
		}
	}
	return name
}

// decider returns the daemon that would place a request for an engine, as selectScheduler does, without a change of the
// scheduler in use. The caller holds mu.
func (s *Server) decider(now time.Time, candidates []string, self string) (name string, isFirst bool) {
	for i, daemon := range candidates {
		if daemon == self || !now.Before(s.scheduling.backoffs[daemon].until) {
			return daemon, i == 0
		}
	}
	return self, false
}

// explainPlacement adds the decision of placement, and returns it.
func (s *Server) explainPlacement(now time.Time, req *request, a *WhereAnswer) placement.Explanation {
	a.DecidedBy = a.Daemon
	var schedulers []string
	if req.pool.Engine != nil {
		for _, m := range s.fleet.Schedulers() {
			schedulers = append(schedulers, m.Identity.Daemon)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.pool.Engine != nil {
		var isFirst bool
		a.DecidedBy, isFirst = s.decider(now, schedulers, a.Daemon)
		if a.DecidedBy != a.Daemon {
			a.Note = fmt.Sprintf("%s places requests for engines and decides on its own state: ask there. What follows is what %s would do if it got no answer.", a.DecidedBy, a.Daemon)
		}
		req.placeReq.Unscheduled = a.DecidedBy != a.Daemon || !isFirst
	}
	req.placeReq.Avoid = s.placer.AppendPaused(nil, now, req.pool.Name)
	x := s.placer.Explain(now, req.pool.Name, &req.placeReq)
	if x.Refusal != nil {
		refusal := notRun(refusalReason(x.Refusal.Reason), x.Refusal.RetryAfter)
		if end := s.placer.PauseEnd(now, req.pool.Name); x.Refusal.Reason == placement.NoEndpoint && !end.IsZero() {
			refusal.reason, refusal.retryAfter = EndpointsPaused, max(end.Sub(now), pausedRetryAfter)
		}
		a.refuse(refusal)
	} else {
		a.Endpoint, a.WaitsForPrefill = x.Choice.Endpoint.ID, x.Choice.WaitForPrefill
	}
	a.addEndpoints(now, x)
	reporting, age := s.placer.ReportAge(now)
	a.Sources.Reporting, a.Sources.ReportsMs = reporting, age.Milliseconds()
	return x
}

func (a *WhereAnswer) describe(req *request) {
	a.Route, a.Workspace, a.Class, a.Tier, a.Pool = req.route.Name, req.workspace.Name, req.route.Class, req.route.Tier, req.pool.Name
	a.PoolWeights = map[string]int{}
	for _, p := range req.route.Pools {
		a.PoolWeights[p.Pool] = p.Weight
	}
}

func (a *WhereAnswer) refuse(r *reply) {
	a.Refusal = &WhereRefusal{Status: r.status, Reason: r.reason, RetryAfterMs: r.retryAfter.Milliseconds(), Explanation: r.reason.Explain()}
}

// addEndpoints adds the first candidates and excluded endpoints.
func (a *WhereAnswer) addEndpoints(now time.Time, x placement.Explanation) {
	a.ExcludedByReason = map[string]int{}
	for i, e := range x.Candidates {
		if i < maxWhereEndpoints {
			a.Candidates = append(a.Candidates, whereEndpoint(now, e, x.MemoryTokens))
		} else {
			a.MoreCandidates++
		}
	}
	for _, e := range x.Excluded {
		a.addExcluded(whereEndpoint(now, e, x.MemoryTokens))
	}
}

func (a *WhereAnswer) addExcluded(e WhereEndpoint) {
	a.ExcludedByReason[e.Excluded]++
	if len(a.Excluded) < maxWhereEndpoints {
		a.Excluded = append(a.Excluded, e)
	} else {
		a.MoreExcluded++
	}
}

// addUnknown adds the draining endpoints of the pool that placement has never known, because they were draining already
// when this daemon started.
func (a *WhereAnswer) addUnknown(all map[string]traffic.Endpoint, x placement.Explanation) {
	known := map[string]bool{}
	for _, list := range [][]*placement.Explained{x.Candidates, x.Excluded} {
		for _, e := range list {
			known[e.Endpoint.ID] = true
		}
	}
	var unknown []WhereEndpoint
	for id, e := range all {
		if e.Pool == a.Pool && e.State == traffic.EndpointDraining && !known[id] {
			unknown = append(unknown, WhereEndpoint{ID: id, Zone: e.Zone, Excluded: string(placement.ExcludedDraining), Slots: e.Slots, MemoryTokens: x.MemoryTokens})
		}
	}
	slices.SortFunc(unknown, func(a, b WhereEndpoint) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range unknown {
		a.addExcluded(e)
	}
}

// costDigits is the number of decimal places of costs in an answer.
const costDigits = 4

func roundCost(v float64) float64 {
	scale := math.Pow10(costDigits)
	return math.Round(v*scale) / scale
}

func whereEndpoint(now time.Time, x *placement.Explained, memory int) WhereEndpoint {
	e := WhereEndpoint{
		ID: x.Endpoint.ID, Zone: x.Endpoint.Zone, Cost: roundCost(x.Choice.Cost), WaitMs: x.Choice.Wait.Milliseconds(),
		WaitLimitMs: x.WaitLimit.Milliseconds(), PrefillTokens: x.Choice.PrefillTokens, Full: x.Choice.Full, Excluded: string(x.Exclusion),
		Requests: x.Requests, Slots: x.Endpoint.Slots, Pace: x.Pace, PendingPrefill: x.PendingPrefill, HeldTokens: x.HeldTokens, MemoryTokens: memory,
	}
	if !x.Until.IsZero() {
		e.ForMs = x.Until.Sub(now).Milliseconds()
	}
	if x.Exclusion != "" {
		return e
	}
	p := &x.Parts
	e.CostParts = map[string]float64{}
	for _, part := range []struct {
		name  string
		value float64
	}{
		{"failures", p.Failures}, {"zone", p.Zone}, {"unresponsive", p.Unresponsive}, {"transfer", p.Transfer}, {"recompute", p.Recompute},
		{"queue", p.Queue}, {"tie_break", p.TieBreak}, {"lateness", p.Lateness}, {"occupancy", p.Occupancy}, {"partition", p.Partition},
		{"interference", p.Interference}, {"saturation", p.Saturation},
	} {
		if v := roundCost(part.value); v != 0 {
			e.CostParts[part.name] = v
		}
	}
	return e
}
