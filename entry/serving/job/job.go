// Package job runs asynchronous requests (Prefer: respond-async, RFC 7240). A job
// is stored in the table before its caller receives status 202. The entry that
// runs a job holds its lease; when the lease expires, another entry runs the job
// again. Non-idempotent work still runs at most once, because each run is an
// action under the job's own key.
package job

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"time"

	"peridotchute.example/common/wire"
	"peridotchute.example/entry/serving/dispatch"
	"peridotchute.example/entry/serving/scan"
)

// State is the state of a job.
type State string

// The states of a job.
const (
	StateAccepted   State = "accepted"   // waits for its next attempt
	StateRunning    State = "running"    // an entry holds its lease
	StateDone       State = "done"       // the response is stored
	StateUnresolved State = "unresolved" // a non-idempotent job whose outcome cannot be determined
)

// Record is a job's row in the table.
type Record struct {
	ID         string       `json:"id"`
	Team       string       `json:"team"`
	Digest     string       `json:"digest"` // SHA-256 of the request
	State      State        `json:"state"`
	Holder     string       `json:"holder,omitempty"` // entry that holds the lease
	Heartbeat  int          `json:"beat"`             // incremented at each write by the lease holder
	Tries      int          `json:"tries"`            // attempts started
	Request    Request      `json:"request"`
	Answer     *wire.Answer `json:"answer,omitempty"`
	Object     string       `json:"answer_object,omitempty"` // key of the object with the response, if it is not in the row
	AcceptedAt time.Time    `json:"accepted_at"`
	Expires    time.Time    `json:"expires"`
}

// Request is the part of a caller's request that is stored to run it later.
type Request struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Type       string `json:"type,omitempty"`
	Body       []byte `json:"body,omitempty"`
	Prompt     []byte `json:"prompt,omitempty"`
	Pool       string `json:"pool"`
	Model      string `json:"model,omitempty"` // model or adapter; empty for plain services
	Priority   int    `json:"priority"`
	Stream     bool   `json:"stream,omitempty"`
	Idempotent bool   `json:"idempotent"`
}

const (
	jobPrefix  = "job/"
	shardCount = 64
	// maxBodyBytes bounds the body of a request. With its prompt and a short
	// response, each in base64, the row stays below the 400 KB limit of the table.
	maxBodyBytes = 96 << 10
)

// ended reports whether the job needs no further attempt. An unresolved job is
// attempted again: its attempts run nothing until an operator has settled its
// action. The next attempt then returns the response, or runs the action if the
// operator found that it had not run.
func (r Record) ended() bool { return r.State == StateDone }

func rowKey(team, id string) string {
	scoped := url.PathEscape(team) + "/" + id
	return jobPrefix + scan.ShardOf(scoped, shardCount) + "/" + scoped
}

// jobID returns the job id for a team's idempotency key, so that a repeated
// request finds the same job.
func jobID(team, key string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return "k" + hex.EncodeToString(sum[:16])
}

// newRequest returns the part of req that is needed to run it later.
func newRequest(req dispatch.Request) Request {
	out := Request{
		Method:     req.Method,
		Path:       req.Path,
		Type:       req.Type,
		Body:       req.Body,
		Prompt:     req.Prompt,
		Pool:       req.Pool,
		Priority:   req.Priority,
		Stream:     req.Stream,
		Idempotent: req.Idempotent,
	}
	if req.Resolved != nil {
		out.Model = req.Resolved.Artifact.Name
	}
	return out
}

// digest returns a hash that reveals the use of an idempotency key with another
// request.
func (r Request) digest() (string, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:]), nil
}
