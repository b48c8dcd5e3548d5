// Package entry implements the request path of an entry daemon: it determines the route and the workspace of a
// request, chooses an endpoint, forwards the request to it and relays the response to the caller.
//
// A request is processed by serve.go (route, API key, body), forward.go (attempts and retries), relay.go (the
// endpoint's response) and reply.go (responses that the daemon generates itself). schedule.go and host.go are
// the client and the server side of placement by a scheduler. The decisions are made by packages placement,
// retry and poison, which do no I/O; Server guards their state with one mutex.
package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/chivewind/chivewind/internal/fleet"
	"github.com/chivewind/chivewind/internal/placement"
	"github.com/chivewind/chivewind/internal/reqmem"
	"github.com/chivewind/chivewind/internal/retry"
	"github.com/chivewind/chivewind/internal/upstream"
	"github.com/chivewind/chivewind/internal/usage"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/settings"
	"github.com/chivewind/chivewind/traffic"
)

// Fleet provides a Server with the configuration in force and access to the other daemons.
type Fleet interface {
	// View returns the current routing table and endpoints. It must not be modified.
	View() *fleet.View
	// RequestReport requests that the next load report is sent soon.
	RequestReport()
	// Size returns the number of known daemons, live or not, including this one.
	Size() int
	// TimeSinceStoreReply returns the time since the configuration store last replied to this daemon or to another live
	// daemon.
	TimeSinceStoreReply() time.Duration
	// Behind reports whether another daemon has a newer revision of the store.
	Behind() bool
	// Self returns the daemon's identity and incarnation.
	Self() (*peer.Identity, uint64)
	// Schedulers returns the daemons that may place requests, in order of preference.
	Schedulers() []*fleet.Member
	// ForwardsNews reports whether this daemon passes on what it learns from the reports of others.
	ForwardsNews() bool
	// Send and SendTo send a datagram without guaranteed delivery.
	Send(d *peer.Datagram, to *peer.Identity)
	SendTo(d *peer.Datagram, address netip.AddrPort)
}

// Options configures a Server.
type Options struct {
	// Zone is the availability zone of the daemon.
	Zone   string
	Bounds settings.Bounds
	// FairShares is set if workspaces get fair shares of engine pools while these are scarce.
	FairShares bool
	// Pace is set if endpoints that have just started or recovered get requests at the pace of their answers.
	Pace bool
	// HeaderCodec translates the headers of requests and responses.
	HeaderCodec HeaderCodec
	// Usage counts the requests that endpoints execute; nil if this deployment does not report usage.
	Usage *usage.Ledger
	Log   hclog.Logger
	// Memory is the memory that bodies and responses of requests and callers' connections may hold, in bytes; 0 for no
	// limit.
	Memory int64
	// Metrics is the registry for counters, gauges and histograms.
	Metrics metrics.Registry
}

// Server is an http.Handler that forwards callers' requests to endpoints. It is safe for concurrent use. mu guards
// the fields below it; apart from datagrams, which are sent without waiting for a reply, it is not held during I/O.
type Server struct {
	opts   Options
	fleet  Fleet
	client *upstream.Client
	stats  *stats
	memory *reqmem.Gate
	// memoryReport is used by Maintain only.
	memoryReport memoryReport
	// servedLogLimiter limits the rate of log lines about served requests.
	servedLogLimiter *rate.Limiter
	active           atomic.Int64
	// keepAlivesDisabled is set when responses are to close their connections.
	keepAlivesDisabled atomic.Bool
	// refusing is set in the last phase of a graceful shutdown, and ending is canceled at its end.
	refusing    atomic.Bool
	ending      context.Context
	endRequests context.CancelFunc

	mu      sync.Mutex
	placer  *placement.Placer
	budget  *retry.Budget
	crashes crashRecords
	// endpoints are those of the view in force.
	endpoints map[string]traffic.Endpoint
	// reserveShares is the number of daemons among which the retry reserve is divided; 0 until Maintain has been called.
	reserveShares int
	scheduling    schedulerClient
	remote        remoteRequests
	// leavingNews are the endpoints to report to other daemons as leaving.
	leavingNews fleet.News[uint32]
}

// servedLogsPerSecond limits the log lines about served requests. Requests that ended otherwise are always logged.
const servedLogsPerSecond = 50

// New returns a Server. SetFleet must be called before the first request.
func New(o Options) *Server {
	s := &Server{
		opts: o, client: upstream.New(o.HeaderCodec.ReadResponseHead), stats: newStats(o.Metrics),
		placer: placement.New(rand.Uint64()), crashes: newCrashRecords(), scheduling: newSchedulerClient(), remote: remoteRequests{},
		servedLogLimiter: rate.NewLimiter(servedLogsPerSecond, servedLogsPerSecond),
		budget:           retry.NewBudget(retry.Options{Ratio: o.Bounds.RetryRatio, Reserve: minReserveShare, Window: o.Bounds.RetryWindow.D()}),
	}
	s.placer.SetFairShares(o.FairShares)
	if o.Pace {
		s.placer.EnablePacing()
	}
	budget := o.Memory
	if budget <= 0 {
		budget = math.MaxInt64 / 2
	}
	s.memory = reqmem.NewGate(budget, defaultMaxBody)
	s.ending, s.endRequests = context.WithCancel(context.Background())
	return s
}

// minReserveShare is the retry reserve of a daemon that does not know yet how many others there are.
const minReserveShare = 1

// SetFleet sets the source of configuration and the connection to other daemons.
func (s *Server) SetFleet(f Fleet) { s.fleet = f }

// SetView applies a new routing table and endpoint list to placement.
func (s *Server) SetView(v *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Table != nil {
		s.placer.SetTable(v.Table)
	}
	now := time.Now()
	s.recordRemovals(now, s.endpoints, v.Endpoints)
	s.endpoints = v.Endpoints
	s.placer.SetEndpoints(now, v.ByPool, v.Endpoints)
	s.stats.updateView(v)
}

// FillReport implements fleet.Reporter. It adds the load of this daemon's requests, the latest crashes and
// the endpoints that have lately said that they are leaving.
func (s *Server) FillReport(r *peer.Report, full bool) {
	now := time.Now()
	repeatEvidence := s.fleet.ForwardsNews()
	if full {
		s.opts.Usage.FillReport(now, r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placer.FillReport(now, r, full)
	r.Scheduler = s.scheduling.scheduler
	s.crashes.fillReport(now, r, repeatEvidence)
	s.fillLeaving(now, r)
}

// HandleReport implements fleet.Reporter. It applies what another daemon reported.
func (s *Server) HandleReport(r *peer.Report) {
	now := time.Now()
	s.opts.Usage.HandleReport(now, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placer.HandleReport(now, r, r.Scheduler == s.selfKey())
	s.handleCrashes(now, r)
	s.handleLeaving(now, r)
}

// ForgetDaemon implements fleet.Reporter. It discards the load that a daemon reported and the requests that were
// placed for it.
func (s *Server) ForgetDaemon(daemon string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placer.ForgetDaemon(daemon)
	s.remote.removeDaemon(time.Now(), daemon)
}

// Active returns the number of requests in progress.
func (s *Server) Active() int { return int(s.active.Load()) }

// DisableKeepAlives makes all further responses close their connections.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// RefuseRequests makes the server refuse all requests that it has not sent to an endpoint yet, with a response that states
// that they were not executed.
func (s *Server) RefuseRequests() { s.refusing.Store(true) }

// EndRequests ends the requests in progress with a response that states whether they may have been executed. Those whose
// response has begun are cut off.
func (s *Server) EndRequests() { s.endRequests() }

// Maintain runs the periodic maintenance: it closes idle connections, removes expired requests of other daemons,
// and adjusts the retry reserve to the size of the fleet.
func (s *Server) Maintain() {
	s.client.CloseExpired()
	s.reportMemory()
	size := s.fleet.Size()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remote.expire(time.Now())
	s.placer.SetDaemons(size)
	s.stats.paced.Update(int64(s.placer.Paced()))
	if size > s.reserveShares {
		// The share does not grow when daemons leave, because those daemons may already have used their shares in
		// the current window.
		s.reserveShares = size
		s.budget.SetReserve(s.opts.Bounds.RetryReserve / size)
	}
}

// Close closes the connections to endpoints.
func (s *Server) Close() { s.client.Close() }

// HeaderCodec translates between the platform's HTTP headers and the types of this package. The platform adapter
// implements it.
type HeaderCodec interface {
	// ReadRequest parses the headers of a caller's request.
	ReadRequest(http.Header) Caller
	// EndpointHeader returns the headers to send to the endpoint, without modifying those of the caller.
	EndpointHeader(caller http.Header, o EndpointRequest) http.Header
	// ReadResponse parses the status and headers of an endpoint's response.
	ReadResponse(status int, h http.Header) ResponseInfo
	// ReadResponseHead parses the ID of a response and what it says about the endpoint.
	ReadResponseHead(status int, h http.Header) upstream.ResponseHead
	// CallerHeader copies the headers of a response that are forwarded to the caller.
	CallerHeader(dst, response http.Header)
	// SetRetryAfter sets the time after which the caller may retry.
	SetRetryAfter(h http.Header, after time.Duration)
	// SetAttempt sets the caller's attempt ID in a response of the daemon.
	SetAttempt(h http.Header, attempt string)
}

// Caller contains the parsed headers of a caller's request.
type Caller struct {
	// AttemptID is the ID of one attempt of the caller; endpoints echo it in their responses.
	AttemptID string
	// APIKey is the API key.
	APIKey string
	// Timeout is the caller's timeout; zero if none was given.
	Timeout time.Duration
	// LastEventID is the ID of the last event that the caller received of an earlier response; empty for none.
	LastEventID string
	// Prompt is nil for requests that are not generation requests.
	Prompt *traffic.Prompt
}

// EndpointRequest contains the data that the daemon adds to a request to an endpoint.
type EndpointRequest struct {
	EndpointID string
	Workspace  string
	// Priority is the priority at engines, from 0 (highest); see enginePriority.
	Priority int
	// Engine is set when the endpoint is an inference engine.
	Engine bool
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// FetchFrom is the address (host:port) of an engine from which the endpoint can copy the KV cache of leading
	// prompt parts; empty for none.
	FetchFrom string
	// LastEventID is the ID of the event after which the stream is to be resumed; empty for a new stream.
	LastEventID string
}

// ResponseInfo contains the parsed status and headers of an endpoint's response.
type ResponseInfo struct {
	// NotRun is set when the endpoint did not execute the request and never will.
	NotRun bool
	// OtherEndpoint is set when the address now belongs to another endpoint.
	OtherEndpoint bool
	// Authenticated is set when the response carries the endpoint's authentication code. A success without it did not
	// come from the endpoint and is rejected.
	Authenticated bool
}
