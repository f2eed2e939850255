// Package api defines the paths and messages of the administration API,
// version 1. Entries serve it; package operator is its client.
package api

import (
	"time"

	"peridotchute.example/common/settings"
	"peridotchute.example/common/wire"
	"peridotchute.example/config"
)

// Prefix is the common prefix of all paths of the API.
const Prefix = "/admin/v1"

// Paths relative to Prefix.
const (
	PathConfiguration = "/configuration"
	PathValidate      = "/validate"
	PathPlan          = "/plan"
	PathRevert        = "/revert"
	PathAccept        = "/accept"
	PathStatus        = "/status"
	PathHistory       = "/history"
	PathAudit         = "/audit"
	PathUnresolved    = "/unresolved"
	PathSettle        = "/unresolved/settle"
	PathDrain         = "/drain"
	PathDump          = "/dump"
)

// Limits of request bodies in bytes.
const (
	MaxDeclarationBytes = 4 << 20
	MaxRequestBytes     = 64 << 10
)

// Role is a permission of an operator key.
type Role string

// The roles. Every key has read access.
const (
	RoleRead   Role = "read"
	RolePlan   Role = "plan"   // plan changes
	RoleAccept Role = "accept" // accept plans, settle actions, drain servers
)

// Plan is a proposed configuration with the effects of accepting it.
type Plan struct {
	Digest        string               `json:"digest"`              // identifies the plan; computed over the configuration and its version
	BaseVersion   uint64               `json:"base_version"`        // version active at planning; 0 for none
	RevertOf      uint64               `json:"revert_of,omitempty"` // version whose contents are restored; 0 if the plan is not a revert
	PlannedBy     string               `json:"planned_by"`
	PlannedAt     time.Time            `json:"planned_at"`
	Configuration config.Configuration `json:"configuration"`
	Difference    config.Difference    `json:"difference"`
	Effects       config.Effects       `json:"effects"`
}

// RevertRequest asks for a plan that restores the contents of an earlier version.
type RevertRequest struct {
	Version uint64 `json:"version"`
}

// AcceptRequest asks to activate a plan.
type AcceptRequest struct {
	Digest string `json:"digest"`
}

// AcceptReply contains the version that the accepted plan received.
type AcceptReply struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	AuditID string `json:"audit_id"`
}

// ValidateReply is the response for a valid declaration.
type ValidateReply struct {
	Valid bool `json:"valid"`
}

// StateRemoved is the state of a member that is no longer part of the deployment.
const StateRemoved = "gone"

// Member is one process of the deployment, as seen by the responding entry.
type Member struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Zone    string `json:"zone,omitempty"`
	Pool    string `json:"pool,omitempty"`
	State   string `json:"state"`
	Version uint64 `json:"config_version"` // active at the process; 0 if unknown
}

// Status is the state of the deployment, as seen by the responding entry.
type Status struct {
	Entry    string   `json:"entry"`               // name of the responding entry
	Version  uint64   `json:"version"`             // active at this entry
	Head     uint64   `json:"head"`                // newest accepted version in the platform's store
	Digest   string   `json:"digest"`              // of Version
	StoreErr string   `json:"store_err,omitempty"` // error when reading Head, in which case Head equals Version
	Members  []Member `json:"members"`
}

// HistoryEntry is one accepted version.
type HistoryEntry struct {
	Version  uint64    `json:"version"`
	Digest   string    `json:"digest"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
}

// History lists accepted versions, newest first.
type History struct {
	Versions []HistoryEntry `json:"versions"`
}

// AuditRecord describes one operation by an operator.
type AuditRecord struct {
	ID       string    `json:"id"`
	At       time.Time `json:"at"`
	Operator string    `json:"operator"`
	Entry    string    `json:"entry"`
	Action   string    `json:"action"`  // such as "accept"
	Subject  string    `json:"subject"` // of the operation, such as a digest or an action key
	Version  uint64    `json:"version,omitempty"`
	Note     string    `json:"note,omitempty"`
	Result   string    `json:"result"` // "requested" until the operation has completed
}

// Audit lists audit records, oldest first.
type Audit struct {
	Records []AuditRecord `json:"records"`
}

// Unresolved is a non-idempotent action whose outcome the system cannot determine.
type Unresolved struct {
	Team      string    `json:"team"`
	Key       string    `json:"key"` // idempotency key chosen by the caller
	Entry     string    `json:"entry"`
	Server    string    `json:"server"` // that may have executed the action
	Attempt   int       `json:"attempt"`
	Reason    string    `json:"reason"`
	ClaimedAt time.Time `json:"claimed_at"`
}

// UnresolvedList is one page of unresolved actions, ordered by team and key. Next
// is the position of the next page, or empty on the last one.
type UnresolvedList struct {
	Actions []Unresolved `json:"actions"`
	Next    string       `json:"next,omitempty"`
}

// SettleRequest records the outcome of an unresolved action, as determined by an operator.
type SettleRequest struct {
	Team string `json:"team"`
	Key  string `json:"key"`
	Ran  bool   `json:"ran"`  // whether the action took effect; if not, its key can be reused
	Note string `json:"note"` // how the outcome was determined; required
}

// SettleReply confirms a settlement.
type SettleReply struct {
	Team    string       `json:"team"`
	Key     string       `json:"key"`
	Outcome wire.Outcome `json:"outcome"`
}

// DrainRequest asks a backend server to stop accepting new work.
type DrainRequest struct {
	Server string `json:"server"`
}

// DrainReply contains the number of requests that the server still has in flight.
type DrainReply struct {
	Server   string `json:"server"`
	InFlight int    `json:"in_flight"`
}

// Error is the body of every error response.
type Error struct {
	Error      wire.ErrorDetail   `json:"error"`
	Problems   []settings.Problem `json:"problems,omitempty"`   // found in a declaration
	Difference config.Difference  `json:"difference,omitempty"` // made by other changes since the base version
}

// Codes of Error.
const (
	CodeUnauthorized  = "unauthorized"
	CodeForbidden     = "forbidden"
	CodeBadRequest    = "bad-request"
	CodeTooLarge      = "too-large"
	CodeNotFound      = "not-found"
	CodeInvalid       = "invalid-configuration"
	CodeConflict      = "conflict"
	CodeUnavailable   = "unavailable" // nothing was changed
	CodeUnknown       = "unknown"     // the change may have been made; repeat the same request
	CodeInternalError = "internal"
)
