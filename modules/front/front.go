package front

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/internal/cluster"
	"github.com/chivewind/chivewind/internal/dispatch"
	"github.com/chivewind/chivewind/internal/reqmem"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/settings"
)

// Headers of the client API.
const (
	HeaderClass          = "X-Chivewind-Class"
	HeaderOutcome        = "X-Chivewind-Outcome"
	HeaderWorkspace      = endpoint.HeaderWorkspace
	HeaderRequestID      = endpoint.HeaderRequestID
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout is the client's time limit for the whole response, for example 30s.
	HeaderTimeout = "X-Chivewind-Timeout"
)

// Defaults of settings.Limits and Options, and fixed values of the client API.
const (
	DefaultMaxBody           config.Size = 4 << 20
	DefaultMaxHeader         config.Size = 64 << 10
	DefaultRequestMemory     config.Size = 96 << 20
	DefaultHeaderTimeout                 = 5 * time.Second
	DefaultIdleTimeout                   = time.Minute
	DefaultWriteStallTimeout             = 30 * time.Second
	// DefaultEntryValidity applies to GET /v1/entry; an entry daemon uses settings.DefaultAddressValidity.
	DefaultEntryValidity = 10 * time.Second
	// DefaultKeepAlive is the default of Options.KeepAlive.
	DefaultKeepAlive = 10 * time.Second
	// apiPrefix is the path prefix of the OpenAI-compatible API.
	apiPrefix = "/v1/"
	// bodyReadTimeout limits the time to read a request body.
	bodyReadTimeout = 30 * time.Second
)

// Dispatcher runs requests.
type Dispatcher interface {
	Do(ctx context.Context, r *dispatch.Request, out dispatch.ResponseWriter) dispatch.Result
}

var _ Dispatcher = (*dispatch.Dispatcher)(nil)

// Options configures a Front. Dispatcher and Snapshot are required.
type Options struct {
	Dispatcher Dispatcher
	// Snapshot returns the active configuration, or nil while there is none.
	Snapshot func() *config.Snapshot
	// Members may be nil for a daemon without peers; then SelfURL is the only entry address.
	Members cluster.Members
	SelfURL string
	// Zone is this daemon's availability zone.
	Zone   string
	Limits settings.Limits
	// KeepAlive is the interval at which a stream is checked. If nothing was written to it for at least this
	// time, it is sent an SSE comment. Default 10s.
	KeepAlive time.Duration
	Log       hclog.Logger
}

// Front serves the client API. It is safe for concurrent use.
type Front struct {
	options  Options
	mux      *http.ServeMux
	memory   *reqmem.Gate
	inFlight atomic.Int64

	mu sync.Mutex
	// idle is closed when the last request ends while a Drain call waits; nil if none waits.
	idle chan struct{}
}

// New returns a Front with the defaults filled in for unset options.
func New(o Options) *Front {
	o.Limits = withDefaults(o.Limits)
	if o.KeepAlive == 0 {
		o.KeepAlive = DefaultKeepAlive
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	f := &Front{options: o, mux: http.NewServeMux(),
		memory: reqmem.NewGate(int64(o.Limits.RequestMemory), int64(o.Limits.MaxBody)*modelCopies)}
	f.mux.HandleFunc("GET /v1/entry", f.serveEntry)
	f.mux.HandleFunc("GET /v1/models", f.serveModels)
	f.mux.HandleFunc("POST "+dispatch.PathChatCompletions, f.serve(f.modelRequest))
	f.mux.HandleFunc("POST "+dispatch.PathCompletions, f.serve(f.modelRequest))
	f.mux.HandleFunc(apiPrefix, f.serve(f.plainRequest))
	return f
}

func withDefaults(l settings.Limits) settings.Limits {
	set := func(d *config.Duration, v time.Duration) {
		if *d == 0 {
			*d = config.Duration(v)
		}
	}
	set(&l.HeaderTimeout, DefaultHeaderTimeout)
	set(&l.IdleTimeout, DefaultIdleTimeout)
	set(&l.WriteStallTimeout, DefaultWriteStallTimeout)
	set(&l.EntryValidity, DefaultEntryValidity)
	if l.MaxBody == 0 {
		l.MaxBody = DefaultMaxBody
	}
	if l.RequestMemory == 0 {
		l.RequestMemory = DefaultRequestMemory
	}
	if l.MaxHeader == 0 {
		l.MaxHeader = DefaultMaxHeader
	}
	return l
}

// Server returns an HTTP server with the configured limits for client connections. Its address and TLS
// settings are left to the caller.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler:           f.Handler(),
		ReadHeaderTimeout: f.options.Limits.HeaderTimeout.D(),
		IdleTimeout:       f.options.Limits.IdleTimeout.D(),
		MaxHeaderBytes:    int(f.options.Limits.MaxHeader),
	}
}

// Handler returns the HTTP handler of the client API.
func (f *Front) Handler() http.Handler {
	plain := f.serve(f.plainRequest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.inFlight.Add(1)
		defer f.requestDone()
		if f.shuttingDown() {
			// The client must open a new connection for its next request and can choose another entry address.
			w.Header().Set("Connection", "close")
		}
		// Clear the write deadline that an earlier request on this connection may have set. net/http also
		// clears it after each request, but does not document that.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		if strings.HasPrefix(r.URL.Path, apiPrefix) {
			f.mux.ServeHTTP(w, r)
			return
		}
		// Bypass the ServeMux, which would redirect paths that are not in canonical form.
		plain(w, r)
	})
}

// shuttingDown reports whether this daemon has announced its graceful shutdown.
func (f *Front) shuttingDown() bool {
	if f.options.Members == nil {
		return false
	}
	return f.options.Members.Self().State == peer.MemberState_MEMBER_STATE_LEAVING
}

// InFlight returns the number of requests in progress.
func (f *Front) InFlight() int { return int(f.inFlight.Load()) }

// requestDone counts down the requests in progress and wakes waiting Drain calls after the last one.
func (f *Front) requestDone() {
	if f.inFlight.Add(-1) > 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// Drain waits until no request is in progress, or returns the error of ctx. New requests are still
// accepted, since clients may use an entry address until its validity ends.
func (f *Front) Drain(ctx context.Context) error {
	for {
		f.mu.Lock()
		if f.inFlight.Load() == 0 {
			f.mu.Unlock()
			return nil
		}
		if f.idle == nil {
			f.idle = make(chan struct{})
		}
		idle := f.idle
		f.mu.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
