// Package adminapi defines the JSON messages of the administration API, and a client for it.
// docs/api.md describes the paths.
package adminapi

import (
	"time"

	"github.com/chivewind/chivewind/config"
)

// Codes of an Error.
const (
	// CodeInvalid: the request or configuration is not valid.
	CodeInvalid = "invalid"
	// CodeConflict: another change came first.
	CodeConflict = "conflict"
	// CodeUnknown: the change may or may not have been accepted; ask again with the attempt id.
	CodeUnknown = "unknown"
	// CodeUnavailable: the platform's key-value service gives no answer; nothing was changed.
	CodeUnavailable = "unavailable"
	// CodeForbidden: the operator's role does not allow the call.
	CodeForbidden = "forbidden"
	// CodeNotFound: there is no such object.
	CodeNotFound = "not_found"
)

// Error is the body of every answer with a status of 400 or above.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// AttemptID names the change for a later question about its outcome.
	AttemptID string `json:"attempt_id,omitempty"`
	// Seen and Current are the revisions of a conflict.
	Seen    uint64 `json:"seen_revision,omitempty"`
	Current uint64 `json:"current_revision,omitempty"`
	// SeenPreset and CurrentPreset are both versions of a preset in a conflict.
	SeenPreset    *config.Preset `json:"seen_preset,omitempty"`
	CurrentPreset *config.Preset `json:"current_preset,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// Change is the answer to an accepted change.
type Change struct {
	AttemptID string `json:"attempt_id"`
	Revision  uint64 `json:"revision"`
}

// Attempt is the outcome of a change: accepted, rejected or unknown.
type Attempt struct {
	AttemptID string `json:"attempt_id"`
	Outcome   string `json:"outcome"`
	Revision  uint64 `json:"revision,omitempty"`
}

// PresetList is the answer to GET /admin/v1/presets.
type PresetList struct {
	Revision uint64          `json:"revision"`
	InForce  string          `json:"in_force"`
	Presets  []config.Preset `json:"presets"`
}

// SwitchRequest is the body of POST /admin/v1/switch.
type SwitchRequest struct {
	Preset string `json:"preset"`
	// PresetRevision is the revision of the preset that the operator saw.
	PresetRevision uint64 `json:"preset_revision"`
}

// Config is the answer to GET /admin/v1/config.
type Config struct {
	Revision uint64         `json:"revision"`
	Config   *config.Config `json:"config"`
}

// AuditEntry is one entry of the audit trail.
type AuditEntry struct {
	Time      time.Time `json:"time"`
	Operator  string    `json:"operator"`
	Source    string    `json:"source"`
	Action    string    `json:"action"`
	Outcome   string    `json:"outcome"`
	Revision  uint64    `json:"revision"`
	AttemptID string    `json:"attempt_id"`
	From      string    `json:"from,omitempty"`
	To        string    `json:"to,omitempty"`
	// Changes lists the changed items.
	Changes []string `json:"changes,omitempty"`
	Message string   `json:"message,omitempty"`
}

// Audit is the answer to GET /admin/v1/audit, the newest entry first.
type Audit struct {
	Entries []AuditEntry `json:"entries"`
}

// Status is the answer to GET /admin/v1/status.
type Status struct {
	Daemons []Daemon `json:"daemons"`
}

// Daemon describes one daemon.
type Daemon struct {
	ID       string  `json:"id"`
	Zone     string  `json:"zone"`
	State    string  `json:"state"`
	Revision uint64  `json:"revision"`
	Preset   string  `json:"preset"`
	Requests int     `json:"requests"`
	Shards   []Shard `json:"shards,omitempty"`
	// Error says why the daemon did not answer.
	Error string `json:"error,omitempty"`
}

// Shard describes a shard at its scheduler.
type Shard struct {
	ID        string     `json:"id"`
	Endpoints []Endpoint `json:"endpoints"`
	Classes   []Class    `json:"classes"`
}

// Endpoint describes an endpoint at its scheduler.
type Endpoint struct {
	ID        string `json:"id"`
	Zone      string `json:"zone"`
	State     string `json:"state"`
	Running   int    `json:"running"`
	Slots     int    `json:"slots"`
	Shard     string `json:"shard"`
	Scheduler string `json:"scheduler"`
}

// Class counts a class's requests at a scheduler.
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

// SettleRequest is the body of POST /admin/v1/ledger/settle: an operator's decision on a request
// with the outcome unknown.
type SettleRequest struct {
	Workspace      string `json:"workspace"`
	Route          string `json:"route"`
	IdempotencyKey string `json:"idempotency_key"`
	// Ran says whether the request ran at its endpoint. When false, the key can be used again.
	Ran bool `json:"ran"`
}
