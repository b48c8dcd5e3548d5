package entry

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/chivewind/chivewind/internal/placement"
	"github.com/chivewind/chivewind/traffic"
)

// request is one attempt of a caller on its way through the daemon.
type request struct {
	caller    Caller
	route     *traffic.Route
	workspace traffic.Workspace
	// tier is the rank of the workspace, or of the route for workspaces without one.
	tier int
	// priority orders requests at engines: by the rank of the workspace first and that of the route second.
	priority     int
	pool         traffic.Pool
	tableVersion int64
	host         string
	method       string
	// target is the path with the query, as the caller sent it.
	target string
	header http.Header
	body   []byte
	// arrival is when the head of the request was read; deadline is the end of its useful time.
	arrival  time.Time
	deadline time.Time
	// timeoutReason says whose time ends at the deadline.
	timeoutReason Reason
	// placeReq describes the request for placement.
	placeReq placement.Request
	// hold is the question of a request that waits at a scheduler.
	hold holdRef
	// waitTime is the time for which the request has waitTime for prompt parts.
	waitTime time.Duration

	// sends counts endpoints that may have received the request.
	sends int
	// mayHaveRun says that an endpoint got the request and did not state that it has not run.
	mayHaveRun bool
	endpoint   string
	// placedBy is the daemon that chose the endpoint.
	placedBy      string
	firstEvent    time.Duration
	longestGap    time.Duration
	events        int
	prefillTokens int
	predictedWait time.Duration
}

// defaultTimeout bounds a request whose route and caller state no limit.
const defaultTimeout = 60 * time.Second

// logPanic logs a fault of the daemon that ends a request, and closes its connection. The HTTP server alone
// would report it among the faults of connections.
func (s *Server) logPanic(attempt string) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		s.opts.Log.Error("a request ended by a fault of the daemon", "request", attempt, "fault", cause, "stack", string(debug.Stack()))
		s.stats.count("chivewind_entry_panics_total")
	}
	panic(http.ErrAbortHandler)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrival := time.Now()
	s.stats.active.Update(s.active.Add(1))
	defer func() { s.stats.active.Update(s.active.Add(-1)) }()
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	caller := s.opts.Wire.ReadRequest(r.Header)
	defer s.logPanic(caller.Attempt)
	req, refusal := s.identify(r, caller, arrival)
	if refusal != nil {
		s.refuse(w, caller, refusal)
		return
	}
	if refusal := s.readBody(w, r, req); refusal != nil {
		s.refuse(w, caller, refusal)
		return
	}
	s.forward(w, r, req)
}

// identify finds the route and the workspace of a request.
func (s *Server) identify(r *http.Request, caller Caller, arrival time.Time) (*request, *reply) {
	view := s.fleet.View()
	switch {
	case view.Table == nil:
		return nil, notRun(NoTable, startRetryAfter)
	case s.refusing.Load():
		return nil, notRun(Stopping, stopRetryAfter)
	case caller.Attempt == "":
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
		workspace, ok := view.Table.Keys[caller.Key]
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
	req.placeReq = placement.Request{Class: placement.HashClass(route.Class), Zone: s.opts.Zone, FirstByte: route.FirstByte, Tier: route.Tier}
	if p := caller.Prompt; p != nil && req.pool.Engine != nil {
		req.placeReq.Chain = placement.NewChain(p)
		req.placeReq.Output = p.MaxOutput
		if p.OutputHint > 0 {
			req.placeReq.Output = p.OutputHint
		}
	}
	return req, nil
}

// tierLevels is the number of tierLevels of a workspace or a route that engines can tell apart: they know ten.
const tierLevels = 3

// enginePriority is the rank of a request at engines, 0 first. The rank of a workspace takes precedence over that
// of the route, which orders the requests of workspaces of equal rank.
func enginePriority(w traffic.Workspace, r *traffic.Route) int {
	rank := min(max(r.Tier, 0), tierLevels-1)
	if w.HasTier {
		rank += tierLevels * min(max(w.Tier, 0), tierLevels-1)
	}
	return rank
}

// tableStaleAfter is the silence of the store after which the routing table may be out of date.
const tableStaleAfter = 3 * time.Second

// refuseUnknown refuses a request that the routing table does not allow. While the table may be out of date, the
// caller is asked to come back instead.
func (s *Server) refuseUnknown(status int, reason, staleReason Reason) *reply {
	if s.fleet.StoreAge() > tableStaleAfter {
		return notRun(staleReason, startRetryAfter)
	}
	return &reply{status: status, reason: reason}
}

func stripPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// pickPool picks one of the route's pools by weight.
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

// setDeadline bounds the request by the route's timeout and the caller's patience.
func (r *request) setDeadline() {
	timeout, limit := defaultTimeout, RouteTimeout
	if r.route.Timeout > 0 {
		timeout = r.route.Timeout
	}
	if r.caller.Patience > 0 && r.caller.Patience < timeout {
		timeout, limit = r.caller.Patience, CallerDeadline
	}
	r.deadline, r.timeoutReason = r.arrival.Add(timeout), limit
}

// defaultMaxBody bounds a body when the routing table states no limit.
const defaultMaxBody = 4 << 20

func (s *Server) readBody(w http.ResponseWriter, r *http.Request, req *request) *reply {
	limit := s.fleet.View().Table.MaxBody
	if limit <= 0 {
		limit = defaultMaxBody
	}
	var err error
	if req.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit)); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return &reply{status: http.StatusRequestEntityTooLarge, reason: BodyTooLarge}
		}
		// The caller broke off its request, so that nobody reads an answer.
		panic(http.ErrAbortHandler)
	}
	return nil
}
