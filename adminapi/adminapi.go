// Package adminapi defines the JSON messages of the administration API, and a client for it.
// docs/api.md describes the paths.
package adminapi

import (
	"time"

	"github.com/chivewind/chivewind/config"
)

// Codes of an Error.
const (
	// CodeInvalid means that the request or the configuration is invalid, or that the request of a
	// SettleRequest could not be settled.
	CodeInvalid = "invalid"
	// CodeConflict means that the configuration or the preset has changed since the revision that the request
	// is based on.
	CodeConflict = "conflict"
	// CodeUnknown means that the change may or may not have been accepted; query its outcome by attempt id.
	CodeUnknown = "unknown"
	// CodeUnavailable means that the daemon lacks something that the call needs, for example because the
	// platform's key-value service did not respond or the daemon has no ledger; nothing was changed.
	CodeUnavailable = "unavailable"
	// CodeForbidden means that the operator's key is missing or unknown, or its role does not allow the call.
	CodeForbidden = "forbidden"
	// CodeNotFound means that the object does not exist.
	CodeNotFound = "not_found"
)

// Error is the body of responses with a status of 400 or above, except those that net/http itself sends, such as
// those to unknown paths and methods, which are plain text.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// AttemptID identifies the change, so that its outcome can be queried later.
	AttemptID string `json:"attempt_id,omitempty"`
	// ExpectedRevision is the revision that a conflicting change was based on, CurrentRevision the present one.
	// Both are revisions of the configuration for PUT /admin/v1/config and drains, else of the preset.
	ExpectedRevision uint64 `json:"seen_revision,omitempty"`
	CurrentRevision  uint64 `json:"current_revision,omitempty"`
	// ProposedPreset is the preset as proposed by a conflicting change, CurrentPreset the present one.
	ProposedPreset *config.Preset `json:"seen_preset,omitempty"`
	CurrentPreset  *config.Preset `json:"current_preset,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// Change is the response to an accepted change. Its fields have their zero values in the response to a
// SettleRequest.
type Change struct {
	// AttemptID identifies the attempt to make the change; see Attempt.
	AttemptID string `json:"attempt_id"`
	Revision  uint64 `json:"revision"`
}

// Attempt is the response to GET /admin/v1/attempts/{id}: the outcome of one attempt to change the
// configuration, for example accepted, rejected or unknown.
type Attempt struct {
	AttemptID string `json:"attempt_id"`
	Outcome   string `json:"outcome"`
	Revision  uint64 `json:"revision,omitempty"`
}

// PresetList is the response to GET /admin/v1/presets.
type PresetList struct {
	Revision uint64          `json:"revision"`
	Active   string          `json:"in_force"`
	Presets  []config.Preset `json:"presets"`
}

// SwitchRequest is the body of POST /admin/v1/switch.
type SwitchRequest struct {
	Preset string `json:"preset"`
	// PresetRevision is the preset revision that the operator's decision is based on.
	PresetRevision uint64 `json:"preset_revision"`
}

// Config is the response to GET /admin/v1/config.
type Config struct {
	Revision uint64         `json:"revision"`
	Config   *config.Config `json:"config"`
}

// AuditEntry is one entry of the audit trail: an attempt to change the configuration, or an operator's decision
// on a request whose outcome was unknown. The latter has the action settle, and AttemptID is the attempt ID of the
// request.
type AuditEntry struct {
	Time     time.Time `json:"time"`
	Operator string    `json:"operator"`
	// Source is the network address from which the request came.
	Source    string `json:"source"`
	Action    string `json:"action"`
	Outcome   string `json:"outcome"`
	Revision  uint64 `json:"revision"`
	AttemptID string `json:"attempt_id"`
	// From and To are the active presets before and after the change, or the states of the ledger record before
	// and after the decision.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
	// Changes lists the changed items.
	Changes []string `json:"changes,omitempty"`
	Message string   `json:"message,omitempty"`
}

// Audit is the response to GET /admin/v1/audit, with the newest entry first.
type Audit struct {
	Entries []AuditEntry `json:"entries"`
}

// Status is the response to GET /admin/v1/status.
type Status struct {
	Daemons []Daemon `json:"daemons"`
}

// Daemon is the status of one daemon.
type Daemon struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	Preset   string `json:"preset"`
	// Requests is the number of client requests in progress.
	Requests int     `json:"requests"`
	Shards   []Shard `json:"shards,omitempty"`
	// Error is the reason why the daemon's status could not be fetched; empty on success.
	Error string `json:"error,omitempty"`
}

// Shard is the status of a shard as reported by its scheduler.
type Shard struct {
	ID        string     `json:"id"`
	Endpoints []Endpoint `json:"endpoints"`
	Classes   []Class    `json:"classes"`
}

// Endpoint is the status of an endpoint as reported by its scheduler.
type Endpoint struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	State string `json:"state"`
	// Running is the number of running requests, Slots the number that may run at the same time.
	Running   int    `json:"running"`
	Slots     int    `json:"slots"`
	Shard     string `json:"shard"`
	Scheduler string `json:"scheduler"`
}

// Class holds a scheduler's request counts for one class. Waiting and Running are current numbers, Shed is a
// running total.
type Class struct {
	Class   string `json:"class"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
	Shed    uint64 `json:"shed"`
}

// DrainRequest is the body of POST /admin/v1/endpoints/{id}/drain.
type DrainRequest struct {
	Drain bool `json:"drain"`
}

// SettleRequest is the body of POST /admin/v1/ledger/settle. It sets the outcome of a request whose
// outcome is unknown.
type SettleRequest struct {
	Workspace      string `json:"workspace"`
	Route          string `json:"route"`
	IdempotencyKey string `json:"idempotency_key"`
	// Ran states whether the request ran at its endpoint. If false, the idempotency key can be used again.
	Ran bool `json:"ran"`
}
