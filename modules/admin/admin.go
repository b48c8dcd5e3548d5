// Package admin is the administration API over HTTP and JSON. Operators change the configuration and
// read the state of all daemons through any daemon. Package adminapi has the messages.
package admin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/adminapi"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/cluster"
	"github.com/chivewind/chivewind/internal/configstore"
	"github.com/chivewind/chivewind/internal/promtext"
	"github.com/chivewind/chivewind/peer"
)

// Store changes and reads the configuration.
type Store interface {
	Snapshot() *config.Snapshot
	Apply(ctx context.Context, who configstore.Actor, c *config.Config, base uint64) configstore.Result
	ApplyPreset(ctx context.Context, who configstore.Actor, p config.Preset, seen uint64) configstore.Result
	SwitchPreset(ctx context.Context, who configstore.Actor, preset string, seen uint64) configstore.Result
	Attempt(ctx context.Context, attempt string) (configstore.Result, error)
	Audit(ctx context.Context, limit int) ([]configstore.Entry, error)
	// AuditDenied records a change that the operator's role does not allow.
	AuditDenied(ctx context.Context, who configstore.Actor, action, reason string)
}

var _ Store = (*configstore.Store)(nil)

// Settler records an operator's decision on a non-idempotent request with the outcome unknown.
type Settler interface {
	Settle(ctx context.Context, who configstore.Actor, req adminapi.SettleRequest) error
	// Settlements returns the audit entries of such decisions, the newest first.
	Settlements(ctx context.Context, limit int) ([]adminapi.AuditEntry, error)
}

// Options has what the API needs.
type Options struct {
	Store   Store
	Members cluster.Members
	Peers   cluster.Peers
	Settler Settler
	// Status describes this daemon.
	Status  func() *peer.StatusReply
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Server is the administration API.
type Server struct {
	store   Store
	members cluster.Members
	peers   cluster.Peers
	settler Settler
	status  func() *peer.StatusReply
	log     hclog.Logger
	refused metrics.Counter
	mux     *http.ServeMux
}

// maxBody bounds a request: a whole configuration of 8,500 workspaces is about 1 MB.
const maxBody = 16 << 20

// New returns the API.
func New(o Options) *Server {
	s := &Server{store: o.Store, members: o.Members, peers: o.Peers, settler: o.Settler, status: o.Status, log: o.Log,
		refused: metrics.GetOrRegisterCounter("chivewind_admin_refused_total", o.Metrics), mux: http.NewServeMux()}
	read, change, edit := config.RoleRead, config.RoleSwitch, config.RoleEdit
	for _, route := range []struct {
		pattern string
		role    config.Role
		handler http.HandlerFunc
	}{
		{"GET /admin/v1/status", read, s.getStatus},
		{"GET /admin/v1/presets", read, s.getPresets},
		{"GET /admin/v1/presets/{name}", read, s.getPreset},
		{"PUT /admin/v1/presets/{name}", edit, s.putPreset},
		{"POST /admin/v1/switch", change, s.postSwitch},
		{"GET /admin/v1/config", read, s.getConfig},
		{"PUT /admin/v1/config", edit, s.putConfig},
		{"GET /admin/v1/attempts/{id}", read, s.getAttempt},
		{"GET /admin/v1/audit", read, s.getAudit},
		{"POST /admin/v1/endpoints/{id}/drain", change, s.postDrain},
		{"POST /admin/v1/ledger/settle", edit, s.postSettle},
	} {
		s.mux.HandleFunc(route.pattern, s.require(route.role, route.handler))
	}
	s.mux.Handle("GET /metrics", promtext.Handler(o.Metrics))
	s.mux.HandleFunc("GET /healthz", s.getHealth)
	return s
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.mux }

// getHealth answers 200 when the daemon has a configuration and a fresh view of the members.
func (s *Server) getHealth(w http.ResponseWriter, _ *http.Request) {
	if s.store.Snapshot() == nil || !s.members.Trusted() {
		writeError(w, http.StatusServiceUnavailable, &adminapi.Error{Code: adminapi.CodeUnavailable, Message: "no configuration yet, or no fresh view of the members"})
		return
	}
	io.WriteString(w, "ok\n")
}

// actor names the operator and where the call came from.
func actor(r *http.Request) configstore.Actor {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	return configstore.Actor{Name: operatorOf(r).Name, Address: host}
}

// readBody decodes a JSON body strictly. It answers the error itself.
func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, &adminapi.Error{Code: adminapi.CodeInvalid, Message: "read the request: " + err.Error()})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, e *adminapi.Error) {
	e.Message = strings.TrimSpace(e.Message)
	writeJSON(w, status, e)
}
