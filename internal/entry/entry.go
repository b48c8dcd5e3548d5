// Package entry serves callers on an entry daemon: it finds the route and the workspace of a request,
// chooses an endpoint, sends the request there and relays the answer.
//
// A request passes serve.go (route, key, body), forward.go (attempts), relay.go (answer) and reply.go
// (answers of the daemon's own). What is decided lies in packages placement, retry and poison, which are
// pure; Server holds them behind one lock.
package entry

import (
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
	"github.com/chivewind/chivewind/internal/poison"
	"github.com/chivewind/chivewind/internal/retry"
	"github.com/chivewind/chivewind/internal/upstream"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/settings"
	"github.com/chivewind/chivewind/traffic"
)

// Fleet is what a Server needs to know of the other daemons.
type Fleet interface {
	View() *fleet.View
	MarkDirty()
	Size() int
	StoreAge() time.Duration
	// Self returns the daemon's identity and incarnation.
	Self() (*peer.Identity, uint64)
	// Schedulers returns the daemons that may place requests, the one to ask first at the front.
	Schedulers() []*fleet.Member
	// Send and SendTo send a datagram that may be lost.
	Send(d *peer.Datagram, to *peer.Identity)
	SendTo(d *peer.Datagram, address netip.AddrPort)
}

// Options hold what a Server needs.
type Options struct {
	Zone   string
	Bounds settings.Bounds
	// Wire translates the headers of requests and answers.
	Wire Wire
	Log  hclog.Logger
	// Metrics receives the counters and histograms.
	Metrics metrics.Registry
}

// Server forwards callers' requests. It is safe for concurrent use. mu guards the board, the budget and
// the suspects; it is not held over I/O.
type Server struct {
	o      Options
	fleet  Fleet
	client *upstream.Client
	stats  *stats
	// ordinary bounds the log lines of requests that were served.
	ordinary *rate.Limiter
	active   atomic.Int64
	leaving  atomic.Bool
	// refusing is set in the last part of a graceful stop.
	refusing atomic.Bool

	mu       sync.Mutex
	board    *placement.Board
	budget   *retry.Budget
	suspects *poison.Table
	crashes  []*peer.Crash
	// shares is the number of daemons that the retry reserve is divided among.
	shares int
	asking asking
	hosted hosting
}

// ordinaryLines is the number of log lines a second for requests that were served. Lines of other requests
// are always written.
const ordinaryLines = 50

// New returns a Server. SetFleet must be called before the first request.
func New(o Options) *Server {
	s := &Server{
		o: o, client: upstream.New(o.Wire.Recognize), stats: newStats(o.Metrics),
		board: placement.New(rand.Uint64()), suspects: poison.New(0), asking: newAsking(), hosted: hosting{},
		ordinary: rate.NewLimiter(ordinaryLines, ordinaryLines),
	}
	s.setShares(1)
	return s
}

// SetFleet connects the server to the fleet.
func (s *Server) SetFleet(f Fleet) { s.fleet = f }

// setShares divides the retry reserve of the fleet. mu is held, or the server is not shared yet.
func (s *Server) setShares(n int) {
	s.shares = n
	s.budget = retry.NewBudget(retry.Options{
		Ratio: s.o.Bounds.RetryRatio, Reserve: max(s.o.Bounds.RetryReserve/n, 1), Window: s.o.Bounds.RetryWindow.D(),
	})
}

// SetView puts a new view of the fleet in force.
func (s *Server) SetView(v *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Table != nil {
		s.board.SetTable(v.Table)
	}
	s.board.SetEndpoints(time.Now(), v.ByPool, v.Endpoints)
	s.stats.view(v)
}

// FillReport implements fleet.Reporter.
func (s *Server) FillReport(r *peer.Report, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.FillReport(time.Now(), r, full)
	r.Scheduler = s.asking.scheduler
	r.Crashes = s.crashes
	if len(s.crashes) > maxCrashReports {
		s.crashes = s.crashes[len(s.crashes)-maxCrashReports:]
	}
}

// maxCrashReports bounds the crashes that each report repeats.
const maxCrashReports = 16

// HandleReport implements fleet.Reporter.
func (s *Server) HandleReport(r *peer.Report) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.HandleReport(now, r, r.Scheduler == s.selfKey())
	for _, c := range r.Crashes {
		s.suspects.Add(now, poison.Fingerprint(c.Request), c.Endpoint, crashID(c.Endpoint, c.Id))
	}
}

// ForgetDaemon implements fleet.Reporter.
func (s *Server) ForgetDaemon(daemon string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.ForgetDaemon(daemon)
	s.hosted.drop(time.Now(), daemon)
}

// Active returns the number of requests in progress.
func (s *Server) Active() int { return int(s.active.Load()) }

// Leave announces on all answers that the connection is not to be used again.
func (s *Server) Leave() { s.leaving.Store(true) }

// Refuse answers new requests as not run from now on.
func (s *Server) Refuse() { s.refusing.Store(true) }

// Maintain does the periodic work: it closes idle connections and follows the size of the fleet.
func (s *Server) Maintain() {
	s.client.Prune()
	size := s.fleet.Size()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosted.expire(time.Now())
	if size > s.shares {
		// The reserve is not enlarged when daemons leave: those that left may have used theirs in this window.
		s.setShares(size)
	}
}

// Close closes the connections to endpoints.
func (s *Server) Close() { s.client.Close() }

// Wire translates the headers between the platform's names and the project's. The adapter implements it.
type Wire interface {
	ReadRequest(http.Header) Caller
	EndpointHeader(caller http.Header, o Outgoing) http.Header
	ReadAnswer(status int, h http.Header) Answer
	Recognize(status int, h http.Header) upstream.Head
	CallerHeader(dst, answer http.Header)
	SetRetryAfter(h http.Header, after time.Duration)
	SetAttempt(h http.Header, attempt string)
}

// Caller is what the headers of a caller's request say.
type Caller struct {
	// Attempt identifies one attempt of the caller; endpoints repeat it in their answers.
	Attempt string
	Key     string
	// Patience is how long the caller waits; zero when it is not stated.
	Patience time.Duration
	// LastEvent is the last event of an earlier answer that the caller has; empty when there is none.
	LastEvent string
	// Prompt is nil for requests to plain services.
	Prompt *traffic.Prompt
}

// Outgoing is what the system adds to a request for an endpoint.
type Outgoing struct {
	EndpointID string
	Workspace  string
	// Urgency is the rank for engines, from 0 (first) to 9.
	Urgency int
	Engine  bool
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// FetchFrom is the address of an engine that has cached parts of the prompt; empty for none.
	FetchFrom string
	// LastEvent continues a stream after an event; empty for none.
	LastEvent string
}

// Answer is what the head of an endpoint's answer says.
type Answer struct {
	// NotRun says that the endpoint did not run the request and never will.
	NotRun bool
	// OtherEndpoint says that another endpoint has the address now.
	OtherEndpoint bool
	// Stamped says that the answer carries the endpoint's authentication code. A success without it is not
	// the endpoint's.
	Stamped bool
}
