// Package api defines the messages of the administration API, version 1, and
// its paths. The entry serves it; the operators' library calls it.
package api

import (
	"time"

	"peridotchute.example/common/settings"
	"peridotchute.example/common/wire"
	"peridotchute.example/config"
)

// Prefix begins every path of the API.
const Prefix = "/admin/v1"

// Paths below Prefix.
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

// Bounds of request bodies in bytes.
const (
	MaxDeclarationBytes = 4 << 20
	MaxRequestBytes     = 64 << 10
)

// Role is what an operator key may do.
type Role string

// The roles. Every key may read.
const (
	RoleRead   Role = "read"
	RolePlan   Role = "plan"   // plan changes
	RoleAccept Role = "accept" // put plans in force, settle actions, drain servers
)

// Plan is a configuration that an accept would put in force, and what that causes.
type Plan struct {
	Digest        string               `json:"digest"`       // names the plan; covers the configuration with its version
	BaseVersion   uint64               `json:"base_version"` // in force when it was planned; 0 for none
	RevertOf      uint64               `json:"revert_of,omitempty"`
	PlannedBy     string               `json:"planned_by"`
	PlannedAt     time.Time            `json:"planned_at"`
	Configuration config.Configuration `json:"configuration"`
	Difference    config.Difference    `json:"difference"`
	Effects       config.Effects       `json:"effects"`
}

// RevertRequest asks for a plan that brings back an earlier version.
type RevertRequest struct {
	Version uint64 `json:"version"`
}

// AcceptRequest puts a plan in force.
type AcceptRequest struct {
	Digest string `json:"digest"`
}

// AcceptReply says which version the plan became.
type AcceptReply struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	AuditID string `json:"audit_id"`
}

// ValidateReply answers a declaration without problems.
type ValidateReply struct {
	Valid bool `json:"valid"`
}

// StateGone is the state of a member that the deployment counts no longer.
const StateGone = "gone"

// Member is one process of the deployment as the answering entry sees it.
type Member struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Zone    string `json:"zone,omitempty"`
	Pool    string `json:"pool,omitempty"`
	State   string `json:"state"`
	Version uint64 `json:"config_version"` // that it has put in force; 0 when not known
}

// Status is the deployment as the answering entry sees it.
type Status struct {
	Entry    string   `json:"entry"`               // that answers
	Version  uint64   `json:"version"`             // in force at this entry
	Head     uint64   `json:"head"`                // accepted last, by the platform's store
	Digest   string   `json:"digest"`              // of Version
	StoreErr string   `json:"store_err,omitempty"` // why Head could not be read; Head is then Version
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

// AuditRecord is one thing that an operator did.
type AuditRecord struct {
	ID       string    `json:"id"`
	At       time.Time `json:"at"`
	Operator string    `json:"operator"`
	Entry    string    `json:"entry"`
	Action   string    `json:"action"`  // such as "accept"
	Subject  string    `json:"subject"` // such as a digest or an action key
	Version  uint64    `json:"version,omitempty"`
	Note     string    `json:"note,omitempty"`
	Result   string    `json:"result"` // "requested" until the end is known
}

// Audit lists audit records, oldest first.
type Audit struct {
	Records []AuditRecord `json:"records"`
}

// Unresolved is a non-idempotent action whose outcome the system cannot know.
type Unresolved struct {
	Team      string    `json:"team"`
	Key       string    `json:"key"` // that the caller gave
	Entry     string    `json:"entry"`
	Server    string    `json:"server"` // that may have run it
	Attempt   int       `json:"attempt"`
	Reason    string    `json:"reason"`
	ClaimedAt time.Time `json:"claimed_at"`
}

// UnresolvedList lists unresolved actions in order of team and key. Next continues the
// list when it is not empty.
type UnresolvedList struct {
	Actions []Unresolved `json:"actions"`
	Next    string       `json:"next,omitempty"`
}

// SettleRequest records what an operator found out about an action.
type SettleRequest struct {
	Team string `json:"team"`
	Key  string `json:"key"`
	Ran  bool   `json:"ran"`  // whether the action took effect; if not, its key may be used again
	Note string `json:"note"` // how the operator knows; required
}

// SettleReply confirms a settlement.
type SettleReply struct {
	Team    string       `json:"team"`
	Key     string       `json:"key"`
	Outcome wire.Outcome `json:"outcome"`
}

// DrainRequest asks a backend server to take no new work.
type DrainRequest struct {
	Server string `json:"server"`
}

// DrainReply tells how much work the server has left.
type DrainReply struct {
	Server   string `json:"server"`
	InFlight int    `json:"in_flight"`
}

// Error is the body of every answer that is not a success.
type Error struct {
	Error      wire.ErrorDetail   `json:"error"`
	Problems   []settings.Problem `json:"problems,omitempty"`   // of a declaration
	Difference config.Difference  `json:"difference,omitempty"` // made by others since the base version
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
	CodeUnknown       = "unknown"     // it may have been changed; ask again in the same words
	CodeInternalError = "internal"
)
