// Package admin implements the administration API, which is JSON over HTTP. Operators can use any daemon
// to change the configuration and to read the state of all daemons. Package adminapi defines the
// messages.
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

// Store reads and changes the configuration.
type Store interface {
	// Snapshot returns the active configuration, or nil while there is none.
	Snapshot() *config.Snapshot
	// Apply replaces the configuration if its revision is still expectedRevision. ApplyPreset and SwitchPreset
	// replace and activate a preset if the revision of that preset is still expectedRevision.
	Apply(ctx context.Context, actor configstore.Actor, c *config.Config, expectedRevision uint64) configstore.Result
	ApplyPreset(ctx context.Context, actor configstore.Actor, p config.Preset, expectedRevision uint64) configstore.Result
	SwitchPreset(ctx context.Context, actor configstore.Actor, preset string, expectedRevision uint64) configstore.Result
	// Attempt returns the outcome of an earlier attempt to change the configuration.
	Attempt(ctx context.Context, attemptID string) (configstore.Result, error)
	Audit(ctx context.Context, limit int) ([]configstore.Entry, error)
	// AuditDenied adds an audit entry for a change that the operator's role does not allow.
	AuditDenied(ctx context.Context, actor configstore.Actor, action, reason string)
}

var _ Store = (*configstore.Store)(nil)

// Settler records an operator's decision on a non-idempotent request whose outcome is unknown.
type Settler interface {
	Settle(ctx context.Context, actor configstore.Actor, req adminapi.SettleRequest) error
	// Settlements returns the audit entries of up to limit such decisions, the newest first.
	Settlements(ctx context.Context, limit int) ([]adminapi.AuditEntry, error)
}

// Options configures a Server.
type Options struct {
	Store   Store
	Members cluster.Members
	Peers   cluster.Peers
	// Settler may be nil for a daemon without a ledger.
	Settler Settler
	// Status returns the status of this daemon.
	Status func() *peer.StatusReply
	// AllowAnonymous allows calls from other hosts while no operators are configured.
	AllowAnonymous bool
	Log            hclog.Logger
	Metrics        metrics.Registry
}

// Server serves the administration API.
type Server struct {
	store   Store
	members cluster.Members
	peers   cluster.Peers
	settler Settler
	status  func() *peer.StatusReply
	log     hclog.Logger
	refused metrics.Counter
	mux     *http.ServeMux
	// allowAnonymous is Options.AllowAnonymous.
	allowAnonymous bool
}

// maxBody is the maximum size of a request body in bytes. A complete configuration of 8,500 workspaces
// takes about 1 MB.
const maxBody = 16 << 20

// New returns a Server.
func New(o Options) *Server {
	s := &Server{store: o.Store, members: o.Members, peers: o.Peers, settler: o.Settler, status: o.Status, log: o.Log,
		refused: metrics.GetOrRegisterCounter("chivewind_admin_refused_total", o.Metrics), mux: http.NewServeMux(),
		allowAnonymous: o.AllowAnonymous}
	readRole, switchRole, editRole := config.RoleRead, config.RoleSwitch, config.RoleEdit
	for _, route := range []struct {
		pattern string
		role    config.Role
		handler http.HandlerFunc
	}{
		{"GET /admin/v1/status", readRole, s.getStatus},
		{"GET /admin/v1/presets", readRole, s.getPresets},
		{"GET /admin/v1/presets/{name}", readRole, s.getPreset},
		{"PUT /admin/v1/presets/{name}", editRole, s.putPreset},
		{"POST /admin/v1/switch", switchRole, s.postSwitch},
		{"GET /admin/v1/config", readRole, s.getConfig},
		{"PUT /admin/v1/config", editRole, s.putConfig},
		{"GET /admin/v1/attempts/{id}", readRole, s.getAttempt},
		{"GET /admin/v1/audit", readRole, s.getAudit},
		{"POST /admin/v1/endpoints/{id}/drain", switchRole, s.postDrain},
		{"POST /admin/v1/ledger/settle", editRole, s.postSettle},
	} {
		s.mux.HandleFunc(route.pattern, s.require(route.role, route.handler))
	}
	s.mux.Handle("GET /metrics", promtext.Handler(o.Metrics))
	s.mux.HandleFunc("GET /healthz", s.getHealth)
	return s
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler { return s.mux }

// getHealth responds with 200 if the daemon has a configuration and a fresh membership view, else 503.
func (s *Server) getHealth(w http.ResponseWriter, _ *http.Request) {
	if s.store.Snapshot() == nil || !s.members.ViewFresh() {
		writeError(w, http.StatusServiceUnavailable, &adminapi.Error{Code: adminapi.CodeUnavailable, Message: "no configuration yet, or no fresh view of the members"})
		return
	}
	io.WriteString(w, "ok\n")
}

// actor returns the operator of a request and its source address.
func actor(r *http.Request) configstore.Actor {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	return configstore.Actor{Name: operatorOf(r).Name, Address: host}
}

// readBody decodes a JSON body and rejects unknown fields. On an error it writes the error response and
// returns false.
func readBody(w http.ResponseWriter, r *http.Request, out any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
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
