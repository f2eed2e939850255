// Package job runs work that may be late but is never lost (Prefer:
// respond-async, RFC 7240). A job is durable in the table before its caller is
// told 202. The entry that runs it holds a lease, and another entry runs it
// again when the lease lapses; non-idempotent work still runs at most once,
// because each run is an action under the job's own key.
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

// State is where a job stands.
type State string

// The states of a job.
const (
	StateAccepted   State = "accepted"   // waits for its next try
	StateRunning    State = "running"    // an entry holds its lease
	StateDone       State = "done"       // the answer is stored
	StateUnresolved State = "unresolved" // a non-idempotent job whose outcome nobody can know
)

// Record is a job's row in the table.
type Record struct {
	ID         string       `json:"id"`
	Team       string       `json:"team"`
	Digest     string       `json:"digest"` // of the request
	State      State        `json:"state"`
	Holder     string       `json:"holder,omitempty"` // entry with the lease
	Beat       int          `json:"beat"`             // changes while the holder lives
	Tries      int          `json:"tries"`
	Request    Request      `json:"request"`
	Answer     *wire.Answer `json:"answer,omitempty"`
	Object     string       `json:"answer_object,omitempty"` // holds the answer in place of the row
	AcceptedAt time.Time    `json:"accepted_at"`
	Expires    time.Time    `json:"expires"`
}

// Request is what a job asks for.
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
	// answer, each in base 64, the row stays below the 400 KB of the protocol.
	maxBodyBytes = 96 << 10
)

// ended reports whether the job needs no further try. An unresolved job is
// tried again: that runs nothing until an operator has settled its action, and
// then brings the answer, or runs the work that did not take effect.
func (r Record) ended() bool { return r.State == StateDone }

func rowKey(team, id string) string {
	scoped := url.PathEscape(team) + "/" + id
	return jobPrefix + scan.ShardOf(scoped, shardCount) + "/" + scoped
}

// idOf returns the id of the job under a caller's key, so that a repeat finds
// the same job.
func idOf(team, key string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return "k" + hex.EncodeToString(sum[:16])
}

// newRequest keeps what a later run needs of the request.
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
	if req.Served != nil {
		out.Model = req.Served.Artifact.Name
	}
	return out
}

// digest identifies what a job asks for.
func (r Request) digest() (string, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:]), nil
}
