package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/chivewind/chivewind/adminapi"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/configstore"
)

// auditLimit is the maximum number of audit entries read from each source for one response.
const auditLimit = 1000

func (s *Server) getPresets(w http.ResponseWriter, _ *http.Request) {
	snapshot, ok := s.snapshot(w)
	if !ok {
		return
	}
	w.Header().Set("ETag", etag(snapshot.Revision))
	writeJSON(w, http.StatusOK, adminapi.PresetList{Revision: snapshot.Revision, Active: snapshot.Config.Preset, Presets: snapshot.Config.Presets})
}

func (s *Server) getPreset(w http.ResponseWriter, r *http.Request) {
	snapshot, ok := s.snapshot(w)
	if !ok {
		return
	}
	p, ok := snapshot.Config.FindPreset(r.PathValue("name"))
	if !ok {
		writeError(w, http.StatusNotFound, &adminapi.Error{Code: adminapi.CodeNotFound, Message: fmt.Sprintf("no preset %q", r.PathValue("name"))})
		return
	}
	w.Header().Set("ETag", etag(p.Revision))
	writeJSON(w, http.StatusOK, p)
}

func (s *Server) getConfig(w http.ResponseWriter, _ *http.Request) {
	snapshot, ok := s.snapshot(w)
	if !ok {
		return
	}
	w.Header().Set("ETag", etag(snapshot.Revision))
	writeJSON(w, http.StatusOK, adminapi.Config{Revision: snapshot.Revision, Config: snapshot.Config})
}

// snapshot returns the active configuration. If there is none, it writes an error response and returns
// false.
func (s *Server) snapshot(w http.ResponseWriter) (*config.Snapshot, bool) {
	snapshot := s.store.Snapshot()
	if snapshot == nil {
		writeError(w, http.StatusNotFound, &adminapi.Error{Code: adminapi.CodeNotFound, Message: "no configuration yet; apply one with `chivewind config apply FILE`"})
		return nil, false
	}
	return snapshot, true
}

func (s *Server) putPreset(w http.ResponseWriter, r *http.Request) {
	var p config.Preset
	expectedRevision, ok := ifMatch(w, r)
	if !ok || !readBody(w, r, &p) {
		return
	}
	if p.Name != r.PathValue("name") {
		writeError(w, http.StatusBadRequest, &adminapi.Error{Code: adminapi.CodeInvalid, Message: "the name in the body differs from the path"})
		return
	}
	writeResult(w, s.store.ApplyPreset(r.Context(), actor(r), p, expectedRevision))
}

func (s *Server) putConfig(w http.ResponseWriter, r *http.Request) {
	var c config.Config
	expectedRevision, ok := ifMatch(w, r)
	if !ok || !readBody(w, r, &c) {
		return
	}
	writeResult(w, s.store.Apply(r.Context(), actor(r), &c, expectedRevision))
}

func (s *Server) postSwitch(w http.ResponseWriter, r *http.Request) {
	var req adminapi.SwitchRequest
	if readBody(w, r, &req) {
		writeResult(w, s.store.SwitchPreset(r.Context(), actor(r), req.Preset, req.PresetRevision))
	}
}

// postDrain sets or clears the drain flag of one endpoint in the active configuration.
func (s *Server) postDrain(w http.ResponseWriter, r *http.Request) {
	var req adminapi.DrainRequest
	snapshot, ok := s.snapshot(w)
	if !ok || !readBody(w, r, &req) {
		return
	}
	c := *snapshot.Config
	c.Endpoints = slices.Clone(c.Endpoints)
	i := slices.IndexFunc(c.Endpoints, func(e config.Endpoint) bool { return e.ID == r.PathValue("id") })
	if i < 0 {
		writeError(w, http.StatusNotFound, &adminapi.Error{Code: adminapi.CodeNotFound, Message: fmt.Sprintf("no endpoint %q", r.PathValue("id"))})
		return
	}
	c.Endpoints[i].Drain = req.Drain
	writeResult(w, s.store.Apply(r.Context(), actor(r), &c, snapshot.Revision))
}

func (s *Server) postSettle(w http.ResponseWriter, r *http.Request) {
	var req adminapi.SettleRequest
	if !readBody(w, r, &req) {
		return
	}
	if s.settler == nil {
		writeError(w, http.StatusServiceUnavailable, &adminapi.Error{Code: adminapi.CodeUnavailable, Message: "this daemon has no ledger"})
		return
	}
	if err := s.settler.Settle(r.Context(), actor(r), req); err != nil {
		writeError(w, http.StatusConflict, &adminapi.Error{Code: adminapi.CodeInvalid, Message: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, adminapi.Change{})
}

func (s *Server) getAttempt(w http.ResponseWriter, r *http.Request) {
	result, err := s.store.Attempt(r.Context(), r.PathValue("id"))
	if errors.Is(err, configstore.ErrMalformedAttemptID) {
		writeError(w, http.StatusBadRequest, &adminapi.Error{Code: adminapi.CodeInvalid, Message: err.Error(), AttemptID: r.PathValue("id")})
		return
	}
	if err != nil {
		// The change may have been accepted, so CodeUnavailable, which promises that nothing was changed,
		// would be wrong.
		writeError(w, http.StatusGatewayTimeout, &adminapi.Error{Code: adminapi.CodeUnknown, Message: err.Error(), AttemptID: r.PathValue("id")})
		return
	}
	writeJSON(w, http.StatusOK, adminapi.Attempt{AttemptID: result.Attempt, Outcome: string(result.Outcome), Revision: result.Revision})
}

// getAudit returns the audit trail of configuration changes and of operators' decisions on requests whose
// outcome was unknown, optionally filtered by outcome.
func (s *Server) getAudit(w http.ResponseWriter, r *http.Request) {
	trail, err := s.auditTrail(r.Context())
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, &adminapi.Error{Code: adminapi.CodeUnavailable, Message: err.Error()})
		return
	}
	if want := r.URL.Query().Get("outcome"); want != "" {
		trail = slices.DeleteFunc(trail, func(e adminapi.AuditEntry) bool { return e.Outcome != want })
	}
	writeJSON(w, http.StatusOK, adminapi.Audit{Entries: trail})
}

// auditTrail merges the audit entries of configuration changes and of settled requests, the newest first.
func (s *Server) auditTrail(ctx context.Context) ([]adminapi.AuditEntry, error) {
	entries, err := s.store.Audit(ctx, auditLimit)
	if err != nil {
		return nil, err
	}
	trail := []adminapi.AuditEntry{}
	for _, e := range entries {
		trail = append(trail, auditEntry(e))
	}
	if s.settler == nil {
		return trail, nil
	}
	settlements, err := s.settler.Settlements(ctx, auditLimit)
	if err != nil {
		return nil, err
	}
	trail = append(trail, settlements...)
	slices.SortStableFunc(trail, func(a, b adminapi.AuditEntry) int { return b.Time.Compare(a.Time) })
	return trail, nil
}

func auditEntry(e configstore.Entry) adminapi.AuditEntry {
	out := adminapi.AuditEntry{
		Time: e.Time, Operator: e.Operator, Source: e.Address, Action: e.Action, Outcome: string(e.Outcome),
		Revision: e.ToRevision, AttemptID: e.Attempt, From: e.FromPreset, To: e.ToPreset, Message: e.Reason,
	}
	for _, c := range e.Changes {
		out.Changes = append(out.Changes, fmt.Sprint(c))
	}
	return out
}

// logRefused logs a change that was rejected because of a missing or unknown key or an insufficient role.
func (s *Server) logRefused(r *http.Request, message string) {
	s.log.Warn("administration call refused", "method", r.Method, "path", r.URL.Path, "source", r.RemoteAddr, "reason", message)
}

// writeResult writes the response for the outcome of a change.
func writeResult(w http.ResponseWriter, result configstore.Result) {
	if result.Outcome == configstore.Accepted {
		w.Header().Set("ETag", etag(result.Revision))
		writeJSON(w, http.StatusOK, adminapi.Change{AttemptID: result.Attempt, Revision: result.Revision})
		return
	}
	e := &adminapi.Error{AttemptID: result.Attempt, Message: result.Reason, CurrentRevision: result.Revision}
	status := http.StatusBadRequest
	switch result.Outcome {
	case configstore.Conflicting:
		status, e.Code = http.StatusConflict, adminapi.CodeConflict
		if c := result.Conflict; c != nil {
			e.ExpectedRevision, e.CurrentRevision, e.ProposedPreset, e.CurrentPreset =
				c.ExpectedRevision, c.CurrentRevision, c.ProposedPreset, c.CurrentPreset
		}
		if e.Message == "" {
			e.Message = "another change came first"
		}
	case configstore.Rejected:
		status, e.Code = http.StatusServiceUnavailable, adminapi.CodeUnavailable
	case configstore.Unknown:
		status, e.Code = http.StatusGatewayTimeout, adminapi.CodeUnknown
	default:
		e.Code = adminapi.CodeInvalid
	}
	writeError(w, status, e)
}

// etag returns the entity tag of a revision.
func etag(revision uint64) string { return strconv.Quote(strconv.FormatUint(revision, 10)) }

// ifMatch returns the revision in the If-Match header, on which the operator's change is based. If the header
// is missing, it returns 0, which stands for an object that does not exist yet. If the header is invalid, it
// writes an error response and returns false.
func ifMatch(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	value := strings.Trim(r.Header.Get("If-Match"), `"`)
	if value == "" {
		return 0, true
	}
	revision, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, &adminapi.Error{Code: adminapi.CodeInvalid, Message: "If-Match is not a revision"})
		return 0, false
	}
	return revision, true
}
