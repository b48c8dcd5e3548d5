package entry

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/chivewind/chivewind/internal/placement"
	"github.com/chivewind/chivewind/internal/poison"
	"github.com/chivewind/chivewind/internal/reqbody"
	"github.com/chivewind/chivewind/internal/reqmem"
	"github.com/chivewind/chivewind/traffic"
)

// request is the state of one caller's attempt while the daemon processes it.
type request struct {
	caller    Caller
	route     *traffic.Route
	workspace traffic.Workspace
	// tier is the tier of the workspace, or that of the route if the workspace has none; for logs.
	tier int
	// priority is the priority at engines, from 0 (highest); see enginePriority.
	priority     int
	pool         traffic.Pool
	tableVersion int64
	host         string
	method       string
	// target is the path and query, exactly as the caller sent them.
	target string
	header http.Header
	// body is the body in consecutive parts; nil if there is none.
	body [][]byte
	// arrival is the time when the request's header had been read; deadline is the time after which a response is
	// useless to the caller.
	arrival  time.Time
	deadline time.Time
	// timeoutReason states whether the deadline was set by the route or by the caller.
	timeoutReason Reason
	// fingerprint identifies repeats of the request, and parts the parts of its prompt that other requests may share.
	fingerprint poison.Fingerprint
	parts       []poison.PartKey
	// placeReq is the description of the request for placement.
	placeReq placement.Request
	// held identifies the place request that the scheduler holds back until an engine has prefilled the request's
	// shared prompt parts; the zero value if there is none.
	held heldPlacement
	// waitTime is the time that the request has waited for an engine to prefill shared prompt parts.
	waitTime time.Duration

	// sends is the number of attempts in which an endpoint may have received the request.
	sends int
	// mayHaveRun is set when an endpoint received the request and did not state that it has not executed it.
	mayHaveRun bool
	// endpoint is the ID of the endpoint of the last attempt.
	endpoint string
	// placedBy is the ID of the daemon that chose the endpoint.
	placedBy string
	// timeToFirstEvent is the time from arrival to the response or the first event; 0 if there was none.
	timeToFirstEvent time.Duration
	// longestGap is the longest time between two writes of events.
	longestGap time.Duration
	// events is the number of events that were sent to the caller.
	events int
	// prefillTokens and predictedWait are placement's estimates for the last attempt: the prompt tokens that the
	// engine must prefill and the time to the first byte.
	prefillTokens int
	predictedWait time.Duration
}

// defaultTimeout is the timeout of a request if neither its route nor its caller sets one.
const defaultTimeout = 60 * time.Second

// logPanic is deferred by ServeHTTP. It logs and counts a panic of the handler and closes the connection. Without
// it, the HTTP server would log the panic at debug level, among connection errors.
func (s *Server) logPanic(attempt string) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		s.opts.Log.Error("panic while serving a request", "request", attempt, "fault", cause, "stack", string(debug.Stack()))
		s.stats.count("chivewind_entry_panics_total")
	}
	panic(http.ErrAbortHandler)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrival := time.Now()
	s.stats.active.Update(s.active.Add(1))
	defer func() { s.stats.active.Update(s.active.Add(-1)) }()
	if s.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	caller := s.opts.HeaderCodec.ReadRequest(r.Header)
	defer s.logPanic(caller.AttemptID)
	req, refusal := s.identify(r, caller, arrival)
	if refusal != nil {
		reqbody.LimitRest(w, r)
		s.refuse(w, caller, refusal)
		return
	}
	if r.Body == http.NoBody {
		s.forward(w, r, req)
		return
	}
	lease := s.openLease(w, r, req)
	// The memory of the body is released when the handler returns, whatever happens in it.
	defer lease.Close()
	if refusal := s.readBody(w, r, req, lease); refusal != nil {
		lease.Close()
		w.Header().Set("Connection", "close")
		s.refuse(w, caller, refusal)
		reqbody.Linger(w, r)
		return
	}
	s.forward(w, r, req)
}

// identify determines the route, the workspace, the pool and the deadline of a request. The reply is not nil if the
// request is refused.
func (s *Server) identify(r *http.Request, caller Caller, arrival time.Time) (*request, *reply) {
	view := s.fleet.View()
	switch {
	case view.Table == nil:
		return nil, notRun(NoTable, startRetryAfter)
	case s.refusing.Load():
		return nil, notRun(ShuttingDown, stopRetryAfter)
	case caller.AttemptID == "":
		return nil, &reply{status: http.StatusBadRequest, reason: NoAttemptID}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := view.Table.Lookup(stripPort(r.Host), path)
	if route == nil {
		return nil, s.refuseUnknown(http.StatusNotFound, NoRoute, NoRouteMaybeStale)
	}
	req := &request{
		caller: caller, route: route, tier: route.Tier, priority: enginePriority(traffic.Workspace{}, route), tableVersion: view.Table.Version, host: r.Host,
		method: r.Method, target: r.RequestURI, header: r.Header, arrival: arrival,
	}
	if view.Table.KeysRequired {
		workspace, ok := view.Table.Keys[caller.APIKey]
		switch {
		case ok:
			req.workspace = workspace
			if workspace.HasTier {
				req.tier = workspace.Tier
			}
			req.priority = enginePriority(workspace, route)
		case !route.Public:
			return nil, s.refuseUnknown(http.StatusUnauthorized, UnknownKey, UnknownKeyMaybeStale)
		}
	}
	req.pool = view.Table.Pools[pickPool(route)]
	req.setDeadline()
	req.describe(s.opts.Zone)
	return req, nil
}

// describe sets the description for placement from the route, the pool, the workspace and the caller's prompt.
func (r *request) describe(zone string) {
	r.placeReq = placement.Request{Class: placement.HashClass(r.pool.Name, r.route.Class), Zone: zone, FirstByte: r.route.FirstByte, Tier: r.route.Tier, Workspace: placement.HashWorkspace(r.workspace.Name)}
	if p := r.caller.Prompt; p != nil && r.pool.Engine != nil {
		r.placeReq.Chain = placement.NewPrefixChain(p)
		r.parts = sharedPartKeys(p)
		r.placeReq.Output = p.MaxOutput
		if p.OutputHint > 0 {
			r.placeReq.Output = p.OutputHint
		}
	}
}

// tierLevels is the number of tiers of workspaces and of routes that are mapped to distinct engine priorities.
// Engines have ten priorities, enough for all 3 x 3 combinations.
const tierLevels = 3

// enginePriority returns the priority of a request at engines, from 0 (highest) to 8. The tier of the workspace takes
// precedence; the tier of the route orders requests of workspaces with the same tier. A workspace without a tier is
// treated as one of tier 0.
func enginePriority(w traffic.Workspace, r *traffic.Route) int {
	rank := min(max(r.Tier, 0), tierLevels-1)
	if w.HasTier {
		rank += tierLevels * min(max(w.Tier, 0), tierLevels-1)
	}
	return rank
}

// tableStaleAfter is the time without a reply of the store to any live daemon after which the routing table may be out
// of date.
const tableStaleAfter = 3 * time.Second

// refuseUnknown returns the reply to a request whose route or API key is not in the routing table. If the table may
// be out of date, the reply is a retryable 503 with staleReason, because a newer table might accept the request.
func (s *Server) refuseUnknown(status int, reason, staleReason Reason) *reply {
	if s.fleet.TimeSinceStoreReply() > tableStaleAfter || s.fleet.Behind() {
		return notRun(staleReason, startRetryAfter)
	}
	return &reply{status: status, reason: reason}
}

// stripPort returns a Host header without its port.
func stripPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// pickPool returns the name of a pool of the route, chosen at random by weight, or "" if all weights are 0.
func pickPool(r *traffic.Route) string {
	sum := 0
	for _, p := range r.Pools {
		sum += p.Weight
	}
	if sum == 0 {
		return ""
	}
	n := rand.IntN(sum)
	for _, p := range r.Pools {
		if n -= p.Weight; n < 0 {
			return p.Pool
		}
	}
	return ""
}

// setDeadline sets the deadline from the route's timeout or, if it is shorter, the caller's timeout, and records
// which of them it was.
func (r *request) setDeadline() {
	timeout, reason := defaultTimeout, RouteTimeout
	if r.route.Timeout > 0 {
		timeout = r.route.Timeout
	}
	if r.caller.Timeout > 0 && r.caller.Timeout < timeout {
		timeout, reason = r.caller.Timeout, CallerDeadline
	}
	r.deadline, r.timeoutReason = r.arrival.Add(timeout), reason
}

// defaultMaxBody is the maximum size of a request body in bytes if the routing table states no limit.
const defaultMaxBody = 4 << 20

// maxBody returns the maximum size of a request body in bytes.
func (s *Server) maxBody() int64 {
	if limit := s.fleet.View().Table.MaxBody; limit > 0 {
		return limit
	}
	return defaultMaxBody
}

// openLease returns the lease for the body of a request. If the body makes no progress while others wait for memory, the
// read of it that is in progress ends.
func (s *Server) openLease(w http.ResponseWriter, r *http.Request, req *request) *reqmem.Lease {
	claim := reqmem.Claim{Tier: req.tier, Workspace: req.workspace.Name, Address: stripPort(r.RemoteAddr), Deadline: req.deadline, Length: r.ContentLength}
	return s.memory.Open(claim, s.maxBody(), func() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(0, 1))
	})
}

// readBody reads the body, which is kept in memory for retries. The reply is not nil if the body is too large, if there is
// no memory for it, or if it has not arrived in time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, req *request, lease *reqmem.Lease) *reply {
	var err error
	req.body, err = reqbody.Read(w, r, lease, reqbody.Options{Limit: s.maxBody(), Deadline: req.deadline})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, reqbody.ErrTooLarge):
		return &reply{status: http.StatusRequestEntityTooLarge, reason: BodyTooLarge}
	case errors.Is(err, reqbody.ErrNoMemory):
		return notRun(NoMemory, lease.RetryAfter())
	case errors.Is(err, reqbody.ErrLate):
		return &reply{status: http.StatusRequestTimeout, reason: BodyLate}
	}
	// The caller has disconnected or the body is malformed. The connection is closed without a reply.
	panic(http.ErrAbortHandler)
}
