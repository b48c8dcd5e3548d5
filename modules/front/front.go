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
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/settings"
)

// Headers of the callers' API.
const (
	HeaderClass       = "X-Chivewind-Class"
	HeaderOutcome     = "X-Chivewind-Outcome"
	HeaderWorkspace   = endpoint.HeaderWorkspace
	HeaderRequestID   = endpoint.HeaderRequestID
	HeaderIdempotency = "Idempotency-Key"
	// HeaderTimeout is a caller's own limit for the whole answer, for example 30s.
	HeaderTimeout = "X-Chivewind-Timeout"
)

// Defaults of settings.Limits.
const (
	DefaultMaxBody       config.Size = 4 << 20
	DefaultMaxHeader     config.Size = 64 << 10
	DefaultHeaderTimeout             = 5 * time.Second
	DefaultIdleTimeout               = time.Minute
	DefaultWriteStall                = 30 * time.Second
	DefaultEntryValidity             = 10 * time.Second
	// DefaultKeepAlive is the pause after which a waiting stream receives a comment.
	DefaultKeepAlive = 10 * time.Second
	// apiPrefix is the prefix of the API's own paths.
	apiPrefix = "/v1/"
	// bodyTimeout bounds the time to read a request's body.
	bodyTimeout = 30 * time.Second
)

// Dispatcher runs requests.
type Dispatcher interface {
	Do(ctx context.Context, r *dispatch.Request, out dispatch.Response) dispatch.Result
}

var _ Dispatcher = (*dispatch.Dispatcher)(nil)

// Options are what a Front needs. Dispatcher and Snapshot are required.
type Options struct {
	Dispatcher Dispatcher
	// Snapshot returns the configuration in force; nil while there is none.
	Snapshot func() *config.Snapshot
	// Members may be nil for a daemon without peers; then SelfURL is the only entry address.
	Members cluster.Members
	SelfURL string
	// Zone is this daemon's availability zone.
	Zone   string
	Limits settings.Limits
	// KeepAlive is the pause after which a waiting stream receives a comment. Default 10s.
	KeepAlive time.Duration
	Log       hclog.Logger
}

// Front serves the callers' API. It is safe for concurrent use.
type Front struct {
	o        Options
	mux      *http.ServeMux
	inFlight atomic.Int64

	mu sync.Mutex
	// idle is closed when the last request ends while a Drain waits.
	idle chan struct{}
}

// New returns a Front.
func New(o Options) *Front {
	o.Limits = withDefaults(o.Limits)
	if o.KeepAlive == 0 {
		o.KeepAlive = DefaultKeepAlive
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	f := &Front{o: o, mux: http.NewServeMux()}
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
	set(&l.WriteStall, DefaultWriteStall)
	set(&l.EntryValidity, DefaultEntryValidity)
	if l.MaxBody == 0 {
		l.MaxBody = DefaultMaxBody
	}
	if l.MaxHeader == 0 {
		l.MaxHeader = DefaultMaxHeader
	}
	return l
}

// Server returns an HTTP server with the limits for callers' connections. The caller sets the
// address and TLS.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler:           f.Handler(),
		ReadHeaderTimeout: f.o.Limits.HeaderTimeout.D(),
		IdleTimeout:       f.o.Limits.IdleTimeout.D(),
		MaxHeaderBytes:    int(f.o.Limits.MaxHeader),
	}
}

// Handler returns the callers' API.
func (f *Front) Handler() http.Handler {
	plain := f.serve(f.plainRequest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.inFlight.Add(1)
		defer f.leave()
		if f.leaving() {
			// The caller's next request then goes to another entry address.
			w.Header().Set("Connection", "close")
		}
		// The server keeps the write deadline of a connection's earlier request.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		if strings.HasPrefix(r.URL.Path, apiPrefix) {
			f.mux.ServeHTTP(w, r)
			return
		}
		// A ServeMux would redirect unusual paths instead of passing them on.
		plain(w, r)
	})
}

// leaving says that this daemon has announced its graceful shutdown.
func (f *Front) leaving() bool {
	if f.o.Members == nil {
		return false
	}
	return f.o.Members.Self().State == peer.MemberState_MEMBER_STATE_LEAVING
}

// InFlight returns the number of requests in progress.
func (f *Front) InFlight() int { return int(f.inFlight.Load()) }

func (f *Front) leave() {
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

// Drain waits until no request is in progress. It does not refuse new ones: callers may hold an entry
// address until its validity ends.
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
