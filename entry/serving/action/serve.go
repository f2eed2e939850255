package action

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"

	"peridotchute.example/common/daemon"
	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/entry/serving/dispatch"
	"peridotchute.example/entry/serving/forward"
	"peridotchute.example/entry/serving/pool"
	"peridotchute.example/idempotency"
)

const (
	storeRetryAfter   = 2 * time.Second // Retry-After while the table service is unavailable
	runningRetryAfter = time.Second
	maxOutcomeWait    = time.Second // longest time that an outcome request polls a running action
)

// Options configures a Server.
type Options struct {
	Entry      string // name of this entry
	Runner     *Runner
	Pool       *pool.Pool
	Forwarder  *forward.Forwarder
	Dispatcher *dispatch.Dispatcher
	Holder     *config.Holder
}

// Server serves callers' requests for non-idempotent actions.
type Server struct {
	opts Options
}

// NewServer returns a server with the given options.
func NewServer(opts Options) *Server { return &Server{opts: opts} }

// Serve runs the action and writes its answer to w. If there is no answer, it
// returns the failure, which the caller must write; it panics with
// http.ErrAbortHandler if part of a stream was written already.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, req dispatch.Request) *wire.Failure {
	a := s.action(req)
	w.Header().Set(wire.HeaderIdempotency, a.Key)
	out := &sink{w: w}
	sender := &sender{server: s, req: req, out: out}
	ctx, cancel := daemon.UntilStopping(ctx)
	defer cancel()
	_, reply := s.opts.Runner.run(ctx, a, req.Pool, sender)
	if reply.Answer != nil {
		out.writeWhole(reply.Answer)
		return nil
	}
	f := failureOf(reply, sender.sent)
	if out.started {
		out.abort(f)
	}
	return f
}

// SetRejectionOutcome sets the outcome of f, the failure of a request that was
// rejected before its action began, and returns f. With a caller's key an earlier
// request may have run, so the outcome is not-run only if the table shows that
// none did.
func (s *Server) SetRejectionOutcome(ctx context.Context, req dispatch.Request, f *wire.Failure) *wire.Failure {
	f.Outcome = wire.OutcomeUnknown
	if req.Key == "" || s.knownNotRun(ctx, req) {
		f.Outcome = wire.OutcomeNotRun
	}
	return f
}

func (s *Server) knownNotRun(ctx context.Context, req dispatch.Request) bool {
	switch row := s.opts.Runner.rows.read(ctx, req.Team, req.Key).(type) {
	case idempotency.NoRow:
		return true
	case idempotency.Row:
		return row.Record.State == idempotency.StateNotRun
	}
	return false
}

func (s *Server) action(req dispatch.Request) idempotency.Action {
	a := idempotency.Action{
		Mode:      idempotency.ModeRun,
		Team:      req.Team,
		Key:       req.Key,
		Entry:     s.opts.Entry,
		Token:     uuid.NewString(),
		Digest:    digest(req),
		Retention: s.opts.Holder.Current().Configuration.Policy.Retention(),
		Deadline:  req.Deadline,
	}
	if a.Key == "" {
		a.Key = uuid.Must(uuid.NewV7()).String()
		a.GeneratedKey = true
	}
	return a
}

// digest returns a hash of the request, to detect a key that is reused for another
// request.
func digest(req dispatch.Request) string {
	h := sha256.New()
	for _, part := range []string{req.Pool, req.Method, req.Path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// failureOf returns the failure for a reply without an answer. For a running
// action, sent distinguishes a timeout of this request's attempt from a repeat of
// an action in progress.
func failureOf(r idempotency.Reply, sent bool) *wire.Failure {
	status, retry := http.StatusServiceUnavailable, runningRetryAfter
	switch r.Code {
	case idempotency.CodeMismatch:
		status, retry = http.StatusUnprocessableEntity, 0
	case idempotency.CodeRunning:
		status = http.StatusConflict
		if sent {
			status = http.StatusGatewayTimeout
		}
	case idempotency.CodeStoreDown:
		retry = storeRetryAfter
	case idempotency.CodeDeadline:
		status = http.StatusGatewayTimeout
	case idempotency.CodeUnresolved:
		status, retry = http.StatusBadGateway, 0
	case idempotency.CodeNotFound:
		status, retry = http.StatusNotFound, 0
	case idempotency.CodeDone:
		status, retry = http.StatusGone, 0
	case idempotency.CodeInternal:
		status = http.StatusInternalServerError
	}
	return wire.NewFailure(status, r.Outcome, string(r.Code), "%s", message(r)).WithRetryAfter(retry)
}

// message returns the explanation of a reply for the caller.
func message(r idempotency.Reply) string {
	text := map[idempotency.Code]string{
		idempotency.CodeMismatch:   "this Idempotency-Key was used with another request",
		idempotency.CodeRunning:    "the action was sent and its outcome is not known yet; retry with the same key",
		idempotency.CodeStoreDown:  "the table service cannot be reached",
		idempotency.CodeNoServer:   "no backend server can take the action now",
		idempotency.CodeRefused:    "the action was never started",
		idempotency.CodeDeadline:   "the deadline passed before the action was started",
		idempotency.CodeUnresolved: "it cannot be determined whether the action ran; an operator will settle it",
		idempotency.CodeNotFound:   "no action with this key was found",
		idempotency.CodeDone:       "the action completed",
		idempotency.CodeInternal:   "internal error",
	}[r.Code]
	if r.Reason != "" {
		text += ": " + r.Reason
	}
	return text
}

// outcomeBody is the body of GET /v1/actions/{key}.
type outcomeBody struct {
	Key     string       `json:"key"`
	Outcome wire.Outcome `json:"outcome"`
	Code    string       `json:"code"`
	Message string       `json:"message"`
	Answer  *wire.Answer `json:"answer,omitempty"`
}

// Outcome writes the outcome of the team's action to w, or returns the failure.
func (s *Server) Outcome(ctx context.Context, w http.ResponseWriter, team, key string) *wire.Failure {
	reply := s.opts.Runner.Settle(context.WithoutCancel(ctx), team, key, maxOutcomeWait)
	switch reply.Code {
	case idempotency.CodeNotFound, idempotency.CodeStoreDown:
		return failureOf(reply, false)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(wire.HeaderOutcome, string(reply.Outcome))
	_ = json.NewEncoder(w).Encode(outcomeBody{
		Key:     key,
		Outcome: reply.Outcome,
		Code:    string(reply.Code),
		Message: message(reply),
		Answer:  reply.Answer,
	})
	return nil
}
