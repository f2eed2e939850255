package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/fault"
	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/exchange"
	"peridotchute.example/entry/direct/relay"
	"peridotchute.example/fleet"
)

// record gathers what the log says about one request.
type record struct {
	trace   *decisionlog.Trace
	req     *request
	version int64 // of the configuration

	end       decisionlog.Finished
	refused   *decisionlog.Refused // instead of end
	firstByte time.Time
	lastEvent time.Time
	sentAt    time.Time // of the attempt in progress
}

func newRecord(log *decisionlog.Log, req *request, v *fleet.View) *record {
	r := &record{trace: log.Trace(req.ID), req: req, version: v.Config.Version}
	r.trace.Add(decisionlog.Routed{
		Route:         req.route.Name,
		Service:       req.service,
		Model:         req.Model,
		Adapter:       req.Adapter,
		Priority:      req.route.Priority,
		PromptTokens:  req.TokensIn,
		OutputTokens:  req.TokensOut,
		Deadline:      req.Deadline,
		ConfigVersion: r.version,
	})
	return r
}

// chosen notes the server that the next attempt goes to.
func (r *record) chosen(t *balance.Ticket, v *fleet.View) {
	r.sentAt = time.Now()
	r.end.Attempts++
	r.end.Server = t.Server.ID
	r.end.Expected = t.Expected
	r.end.ViewAge = r.sentAt.Sub(v.ServersRead)
	r.end.Backlog = t.Backlog
	r.trace.Add(decisionlog.Chosen{
		Server:   t.Server.ID,
		Zone:     t.Server.Zone,
		Attempt:  r.end.Attempts,
		Waited:   r.end.Waited,
		Expected: t.Expected,
		Backlog:  t.Backlog,
		Running:  t.Running,
		Cached:   t.Cached,
		ViewAge:  r.end.ViewAge,

		Candidates: t.Holders,
	})
}

// progress notes bytes of the answer that were passed on.
func (r *record) progress() {
	now := time.Now()
	if r.firstByte.IsZero() {
		r.firstByte = now
	} else {
		r.end.LongestPause = max(r.end.LongestPause, now.Sub(r.lastEvent))
	}
	r.lastEvent = now
}

// attemptFailed notes an attempt without a whole answer.
func (r *record) attemptFailed(kind decisionlog.FailureKind, status int, notRun bool, err error) {
	r.trace.Add(decisionlog.AttemptFailed{
		Server:  r.end.Server,
		Attempt: r.end.Attempts,
		Kind:    kind,
		Status:  status,
		NotRun:  notRun,
		After:   time.Since(r.sentAt),
		Events:  r.end.Events,
		Err:     err,
	})
}

// failureKind says how an attempt failed from its error; ctx is the request's.
func failureKind(ctx context.Context, err error) decisionlog.FailureKind {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return decisionlog.FailureTimeout
	case errors.Is(err, context.Canceled):
		return decisionlog.FailureSilent
	case fault.Is(err, fault.KindUnavailable):
		return decisionlog.FailureConnect
	case fault.Is(err, fault.KindInvalid):
		return decisionlog.FailureMalformed
	case errors.Is(err, io.ErrUnexpectedEOF):
		return decisionlog.FailureTruncated
	}
	return decisionlog.FailureReset
}

// declineKind says how a server declined.
func declineKind(o fleet.Outcome) decisionlog.FailureKind {
	if o.Gone {
		return decisionlog.FailureWrongServer
	}
	return decisionlog.FailureTurnedAway
}

// withheld notes why there is no further attempt.
func (r *record) withheld(reason decisionlog.WithheldReason, budget float64) {
	r.trace.Add(decisionlog.RetryWithheld{Reason: reason, Attempts: r.end.Attempts, BudgetLeft: budget})
}

// retried notes that there is one.
func (r *record) retried(resumeAfter string, budget float64) {
	r.trace.Add(decisionlog.Retried{
		Attempt:     r.end.Attempts + 1,
		Resumed:     resumeAfter != "",
		ResumeAfter: resumeAfter,
		BudgetLeft:  budget,
	})
}

// refuse ends the record of a request that was not run.
func (r *record) refuse(why refusal) {
	r.refused = &decisionlog.Refused{
		Reason:        why.reason,
		Detail:        why.detail,
		Status:        why.status,
		RetryAfter:    why.after,
		Waited:        r.end.Waited,
		Expected:      why.expected,
		Waiting:       why.waiting,
		Candidates:    why.holders,
		ViewAge:       r.end.ViewAge,
		ConfigVersion: r.version,
		Service:       r.req.service,
		Model:         r.req.Model,
		Adapter:       r.req.Adapter,
		Route:         r.req.route.Name,
		PromptTokens:  r.req.TokensIn,
		Deadline:      r.req.Deadline,
	}
}

// fail ends the record of a request whose caller got a failure, or half an answer.
func (r *record) fail(outcome decisionlog.Outcome, status int, reason string) {
	r.end.Outcome, r.end.Status, r.end.Reason = outcome, status, reason
}

// whole ends the record of an answer that was passed on in one piece, which may
// be a server's own failure.
func (r *record) whole(a *exchange.Answer, held relay.Held) {
	if a.Status >= http.StatusInternalServerError {
		r.fail(decisionlog.OutcomeFailed, a.Status, "the server's own answer")
		return
	}
	r.served(a.Status, max(a.Length, int64(held.Len())))
}

// served ends the record of a whole answer.
func (r *record) served(status int, bytes int64) {
	r.end.Status, r.end.Bytes = status, bytes
	r.end.Outcome = decisionlog.OutcomeServed
	if r.late() {
		r.end.Outcome = decisionlog.OutcomeLate
	}
}

// late reports whether the answer missed an objective of its route.
func (r *record) late() bool {
	route := r.req.route
	if route.GapObjective > 0 && r.end.LongestPause > route.GapObjective {
		return true
	}
	return route.Objective > 0 && r.firstByte.Sub(r.req.arrived) > route.Objective
}

// close writes the record.
func (r *record) close() {
	if r.refused != nil {
		r.trace.End(*r.refused)
		return
	}
	end := r.end
	end.Service, end.Route = r.req.service, r.req.route.Name
	end.Model, end.Adapter = r.req.Model, r.req.Adapter
	end.PromptTokens, end.Deadline = r.req.TokensIn, r.req.Deadline
	end.Objective, end.GapObjective = r.req.route.Objective, r.req.route.GapObjective
	end.Total = time.Since(r.req.arrived)
	end.ConfigVersion = r.version
	if !r.firstByte.IsZero() {
		end.FirstByte = r.firstByte.Sub(r.req.arrived)
	}
	r.trace.End(end)
}
