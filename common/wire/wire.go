// Package wire defines the HTTP interface between callers, entries, side processes
// and engines: headers, outcomes, error bodies and artifacts.
package wire

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Header names.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderIdempotency = "Idempotency-Key"
	HeaderOutcome     = "Peridotchute-Outcome"  // entry to caller, and side process to entry
	HeaderDeadline    = "Peridotchute-Deadline" // milliseconds left, entry to side process
	HeaderClaim       = "Peridotchute-Claim"    // see Claim
	HeaderAction      = "Peridotchute-Action"   // team-scoped key of an action, side process to backend server
	HeaderArtifact    = "Peridotchute-Artifact" // artifact that must be resident for the request
	HeaderTeam        = "Peridotchute-Team"     // authenticated team, entry to side process
	HeaderPriority    = "Peridotchute-Priority" // 0 is served first
	HeaderLoad        = "Peridotchute-Load"     // see Load; side process to entry
	HeaderDeployment  = "Peridotchute-Key"      // deployment key, between processes of the deployment
	HeaderLastEventID = "Last-Event-ID"
)

// Outcome states whether a request was run.
type Outcome string

// The outcomes.
const (
	OutcomeCompleted Outcome = "completed" // the response is complete
	OutcomeNotRun    Outcome = "not-run"   // the request was not run and will not be
	OutcomeUnknown   Outcome = "unknown"   // the request may have run
)

// ErrorBody is the OpenAI-style error envelope.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one failure to a caller.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
}

// Failure is an error response to a caller.
type Failure struct {
	Status     int
	Outcome    Outcome
	Detail     ErrorDetail
	RetryAfter time.Duration // rounded up to whole seconds; zero omits the header
}

// Error returns the status, code and message.
func (f *Failure) Error() string {
	return fmt.Sprintf("%d %s: %s", f.Status, f.Detail.Code, f.Detail.Message)
}

// NewFailure returns a failure whose Detail.Type is derived from the status.
func NewFailure(status int, outcome Outcome, code, format string, args ...any) *Failure {
	kind := "invalid_request_error"
	if status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	return &Failure{
		Status:  status,
		Outcome: outcome,
		Detail:  ErrorDetail{Message: fmt.Sprintf(format, args...), Type: kind, Code: code},
	}
}

// WithRetryAfter sets RetryAfter and returns f.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	f.RetryAfter = d
	return f
}

// Write sends the failure as the whole response.
func (f *Failure) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if f.Outcome != "" {
		h.Set(HeaderOutcome, string(f.Outcome))
	}
	if f.RetryAfter > 0 {
		seconds := (f.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(f.Status)
	_ = json.NewEncoder(w).Encode(ErrorBody{Error: f.Detail})
}
