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

// record collects the log data of one request.
type record struct {
	trace   *decisionlog.Trace
	req     *request
	version int64 // configuration version

	end       decisionlog.Finished
	refused   *decisionlog.Refused // if set, logged instead of the field end
	firstByte time.Time
	lastEvent time.Time
	sentAt    time.Time // start of the current attempt
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

// serverChosen starts the record of an attempt at the ticket's server.
func (r *record) serverChosen(t *balance.Ticket, v *fleet.View) {
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

		Candidates: t.Replicas,
	})
}

// sentBytes records that part of the answer was sent to the client.
func (r *record) sentBytes() {
	now := time.Now()
	if r.firstByte.IsZero() {
		r.firstByte = now
	} else {
		r.end.LongestPause = max(r.end.LongestPause, now.Sub(r.lastEvent))
	}
	r.lastEvent = now
}

// attemptFailed records an attempt that gave no complete answer.
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

// serverSilent returns a function that records that the server of the current
// attempt has sent nothing for a while. It may be called from any goroutine.
func (r *record) serverSilent(server string) func(time.Duration) {
	attempt := r.end.Attempts
	return func(silent time.Duration) {
		r.trace.Add(decisionlog.ServerSilent{Server: server, Attempt: attempt, Silent: silent})
	}
}

// failureKind classifies the error of an attempt. ctx is the context of the
// whole request.
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

// declineKind classifies the outcome of a declined request.
func declineKind(o fleet.Outcome) decisionlog.FailureKind {
	if o.Misdirected {
		return decisionlog.FailureWrongServer
	}
	return decisionlog.FailureRejected
}

// retryWithheld records why no further attempt is made. budget is the number of
// retries left.
func (r *record) retryWithheld(reason decisionlog.WithheldReason, budget float64) {
	r.trace.Add(decisionlog.RetryWithheld{Reason: reason, Attempts: r.end.Attempts, BudgetLeft: budget})
}

// retried records that another attempt is made. resumeAfter is the ID of the
// last stream event sent, or empty; budget is the number of retries left.
func (r *record) retried(resumeAfter string, budget float64) {
	r.trace.Add(decisionlog.Retried{
		Attempt:     r.end.Attempts + 1,
		Resumed:     resumeAfter != "",
		ResumeAfter: resumeAfter,
		BudgetLeft:  budget,
	})
}

// finishRefused completes the record of a refused request.
func (r *record) finishRefused(cause refusal) {
	r.refused = &decisionlog.Refused{
		Reason:        cause.reason,
		Detail:        cause.detail,
		Status:        cause.status,
		RetryAfter:    cause.retryAfter,
		Waited:        r.end.Waited,
		Expected:      cause.expected,
		Waiting:       cause.waiting,
		Candidates:    cause.replicas,
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

// finishFailed completes the record of a request whose caller got an error or
// an incomplete answer.
func (r *record) finishFailed(outcome decisionlog.Outcome, status int, reason string) {
	r.end.Outcome, r.end.Status, r.end.Reason = outcome, status, reason
}

// finishWhole completes the record of an answer that is not a stream, which may
// be an error of the server.
func (r *record) finishWhole(resp *exchange.Response, buffered relay.Buffered) {
	if resp.Status >= http.StatusInternalServerError {
		r.finishFailed(decisionlog.OutcomeFailed, resp.Status, "the server's own answer")
		return
	}
	r.finishServed(resp.Status, max(resp.Length, int64(buffered.Len())))
}

// finishServed completes the record of a successful answer. bytes is the length
// of its body.
func (r *record) finishServed(status int, bytes int64) {
	r.end.Status, r.end.Bytes = status, bytes
	r.end.Outcome = decisionlog.OutcomeServed
	if r.missedObjective() {
		r.end.Outcome = decisionlog.OutcomeLate
	}
}

// missedObjective reports whether the answer missed an objective of its route.
func (r *record) missedObjective() bool {
	route := r.req.route
	if route.GapObjective > 0 && r.end.LongestPause > route.GapObjective {
		return true
	}
	return route.Objective > 0 && r.firstByte.Sub(r.req.arrived) > route.Objective
}

// close writes the record to the log.
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
