package action

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/common/wire"
	"peridotchute.example/idempotency"
	"peridotchute.example/rpc"
)

const (
	maxBodyBytes = 64 << 20
	maxKeptBody  = 4 << 20
	// longestRun bounds an action that its caller no longer waits for.
	longestRun  = 15 * time.Minute
	retryAfter  = time.Second
	codeBadBody = "body_unreadable"
)

// Runner starts attempts as the register allows.
type Runner struct {
	register *Register
	log      logrus.FieldLogger
}

// NewRunner returns a runner over the register.
func NewRunner(register *Register, log logrus.FieldLogger) *Runner {
	return &Runner{register: register, log: log}
}

// Run performs the attempt by serve if it may start, and answers on w. The whole
// request is read first, so that a cut request starts nothing; once started, the
// attempt runs to its end whether or not the entry stays.
func (a *Runner) Run(w http.ResponseWriter, r *http.Request, claim wire.Claim, serve http.HandlerFunc) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		wire.NewFailure(http.StatusBadRequest, wire.OutcomeNotRun, codeBadBody, "the request was cut or is too long").Write(w)
		return
	}
	if refusal := a.register.Start(claim); refusal != "" {
		a.refuse(w, claim, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), longestRun)
	defer cancel()
	r = r.WithContext(ctx)
	r.Body = io.NopCloser(bytes.NewReader(body))
	a.perform(w, r, claim, serve)
}

// perform runs the started attempt and records its end, also when serve panics
// because the answer was cut.
func (a *Runner) perform(w http.ResponseWriter, r *http.Request, claim wire.Claim, serve http.HandlerFunc) {
	rec := &recorder{w: w, limit: maxKeptBody}
	cut := true
	defer func() {
		end := rec.end(cut)
		if end == idempotency.EndBroken {
			event.Log(a.log, event.ActionLost, event.Subject(claim.Key), event.Request(r.Header.Get(wire.HeaderRequestID)))
		}
		a.register.Finish(claim, end, rec.kept())
	}()
	serve(rec, r)
	cut = false
}

func (a *Runner) refuse(w http.ResponseWriter, claim wire.Claim, refusal Refusal) {
	outcome := wire.OutcomeNotRun
	status := http.StatusConflict
	switch refusal {
	case RefusedStarted:
		outcome = wire.OutcomeUnknown
	case RefusedFull:
		status = http.StatusServiceUnavailable
		event.Log(a.log, event.RegisterFull, event.Subject(claim.Key))
	}
	event.Log(a.log, event.ActionRefused, event.Subject(claim.Key), event.Reason(string(refusal)), event.Count(int64(claim.Attempt)))
	wire.NewFailure(status, outcome, string(refusal), "attempt %d was refused", claim.Attempt).After(retryAfter).Write(w)
}

// Handle registers the control methods of the register.
func Handle(h *rpc.Handlers, register *Register) {
	rpc.Handle(h, rpc.MethodBar, func(_ context.Context, _ *rpc.Peer, b rpc.Bar) (rpc.ActionReply, error) {
		verdict, answer := register.Fence(b.Claim)
		return rpc.ActionReply{Verdict: verdict, Answer: answer}, nil
	})
	rpc.Handle(h, rpc.MethodOutcome, func(_ context.Context, _ *rpc.Peer, q rpc.OutcomeQuery) (rpc.ActionReply, error) {
		verdict, answer := register.Outcome(q.Claim)
		return rpc.ActionReply{Verdict: verdict, Answer: answer}, nil
	})
}
