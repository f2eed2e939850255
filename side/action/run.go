package action

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/daemon"
	"peridotchute.example/common/event"
	"peridotchute.example/common/wire"
	"peridotchute.example/idempotency"
	"peridotchute.example/rpc"
)

const (
	maxBodyBytes    = 64 << 20
	maxRecordedBody = 4 << 20
	// maxRunTime limits an action whose caller may have disconnected.
	maxRunTime  = 15 * time.Minute
	retryAfter  = time.Second
	codeBadBody = "body_unreadable"
)

// Runner runs the attempts that the register admits.
type Runner struct {
	register *Register
	log      logrus.FieldLogger
}

// NewRunner returns a Runner that uses the register.
func NewRunner(register *Register, log logrus.FieldLogger) *Runner {
	return &Runner{register: register, log: log}
}

// Run calls serve for the attempt if the register admits it, or else responds with
// a failure. It reads the complete request first, so that a truncated request
// starts nothing. A started attempt continues if the entry disconnects, for at
// most maxRunTime, but not beyond the end of this process: the entry is then answered that the
// outcome is unknown.
func (runner *Runner) Run(w http.ResponseWriter, r *http.Request, claim wire.Claim, serve http.HandlerFunc) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		wire.NewFailure(http.StatusBadRequest, wire.OutcomeNotRun, codeBadBody, "the request body is truncated or too long").Write(w)
		return
	}
	if refusal := runner.register.Start(claim); refusal != "" {
		runner.reject(w, claim, refusal)
		return
	}
	ctx, cancel := daemon.UntilStopping(r.Context())
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, maxRunTime)
	defer cancelTimeout()
	r = r.WithContext(ctx)
	r.Body = io.NopCloser(bytes.NewReader(body))
	runner.perform(w, r, claim, serve)
}

// perform calls serve for the started attempt and records its end, even if serve
// panics because the response broke off.
func (runner *Runner) perform(w http.ResponseWriter, r *http.Request, claim wire.Claim, serve http.HandlerFunc) {
	rec := &recorder{w: w, limit: maxRecordedBody}
	aborted := true
	defer func() {
		end := rec.end(aborted)
		if end == idempotency.EndBroken {
			event.Log(runner.log, event.ActionLost, event.Subject(claim.Key), event.Request(r.Header.Get(wire.HeaderRequestID)))
		}
		runner.register.Finish(claim, end, rec.savedAnswer())
	}()
	serve(rec, r)
	aborted = false
}

func (runner *Runner) reject(w http.ResponseWriter, claim wire.Claim, refusal Refusal) {
	outcome := wire.OutcomeNotRun
	status := http.StatusConflict
	switch refusal {
	case RefusedStarted:
		outcome = wire.OutcomeUnknown
	case RefusedFull:
		status = http.StatusServiceUnavailable
		event.Log(runner.log, event.RegisterFull, event.Subject(claim.Key))
	}
	event.Log(runner.log, event.ActionRefused, event.Subject(claim.Key), event.Reason(string(refusal)), event.Count(int64(claim.Attempt)))
	wire.NewFailure(status, outcome, string(refusal), "attempt %d was rejected", claim.Attempt).WithRetryAfter(retryAfter).Write(w)
}

// Handle registers the handlers of the RPC methods that fence and query attempts.
func Handle(h *rpc.Handlers, register *Register) {
	rpc.Handle(h, rpc.MethodFence, func(_ context.Context, _ *rpc.Peer, b rpc.Fence) (rpc.ActionReply, error) {
		verdict, answer := register.Fence(b.Claim)
		return rpc.ActionReply{Verdict: verdict, Answer: answer}, nil
	})
	rpc.Handle(h, rpc.MethodOutcome, func(_ context.Context, _ *rpc.Peer, q rpc.OutcomeQuery) (rpc.ActionReply, error) {
		verdict, answer := register.Outcome(q.Claim)
		return rpc.ActionReply{Verdict: verdict, Answer: answer}, nil
	})
}
