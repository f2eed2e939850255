package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/fault"
	"peridotchute.example/entry/direct/exchange"
	"peridotchute.example/entry/direct/origins"
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
}

func newRecord(log *decisionlog.Log, req *request, v *fleet.View) *record {
	r := &record{trace: log.Trace(req.ID), req: req, version: v.Config.Version}
	r.finishFailed(decisionlog.OutcomeCut, 0, unfinishedReason) // until the request has ended otherwise
	r.trace.Add(decisionlog.Routed{
		Route:         req.route.Name,
		Service:       req.service,
		Model:         req.Model,
		Adapter:       req.Adapter,
		Priority:      req.priority(),
		Account:       req.accountName(),
		PromptTokens:  req.TokensIn,
		OutputTokens:  req.TokensOut,
		PromptParts:   req.parts,
		Deadline:      req.Deadline,
		ConfigVersion: r.version,
	})
	if req.resumesStream() {
		r.trace.Add(decisionlog.StreamResumed{Resumes: req.Resumes, LastEventID: req.LastEventID})
	}
	return r
}

// originSought records what is known of the version that began a resumed stream.
func (r *record) originSought(f origins.Finding) {
	r.trace.Add(decisionlog.OriginSought{
		Origin:     f.Origin.String(),
		Software:   f.Software,
		Source:     f.Source,
		Versions:   strings.Join(f.Versions, " "),
		Unanswered: f.Unanswered,
		Store:      f.Store.String(),
		Records:    f.Records,
		Splits:     f.Splits,
		ServersAge: f.ServersAge,
	})
}

// serverChanged makes the attempt the current one.
func (r *record) serverChanged(a *attempt) {
	r.end.Server = a.ticket.Server.ID
	r.end.ViewAge = a.viewAge
	r.end.Expected = a.ticket.Expected
	r.end.Backlog = a.ticket.Backlog
}

// chosen records the server of an attempt and the inputs of the choice. stopping is the time
// since the process began to stop, or 0.
func (r *record) chosen(a *attempt, stopping time.Duration) {
	t := a.ticket
	r.trace.Add(decisionlog.Chosen{
		Server:   t.Server.ID,
		Software: t.Server.Software,
		Zone:     t.Server.Zone,
		Attempt:  a.number,
		Waited:   r.end.Waited,
		Expected: t.Expected,
		Backlog:  t.Backlog,
		Running:  t.Running,
		Cached:   t.Cached,
		ViewAge:  a.viewAge,
		Kept:     t.Server.Kept,
		Stopping: stopping,

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
func (r *record) attemptFailed(a *attempt, kind decisionlog.FailureKind, status int, notRun bool, err error) {
	r.trace.Add(decisionlog.AttemptFailed{
		Server:  a.ticket.Server.ID,
		Attempt: a.number,
		Kind:    kind,
		Status:  status,
		NotRun:  notRun,
		After:   time.Since(a.begun),
		Events:  r.end.Events,
		Digest:  r.lostDigest(kind),
		Err:     err,
	})
}

// lostDigest returns the request's digest if the attempt's connection broke, so that the log
// shows which requests came again that were lost before. Others have none: a digest could
// confirm a guess of a body.
func (r *record) lostDigest(kind decisionlog.FailureKind) uint64 {
	if kind == decisionlog.FailureReset || kind == decisionlog.FailureTruncated {
		return r.req.digest()
	}
	return 0
}

// serverSilent records that the server of an attempt has sent nothing for a while.
func (r *record) serverSilent(a *attempt, silent time.Duration) {
	r.trace.Add(decisionlog.ServerSilent{Server: a.ticket.Server.ID, Attempt: a.number, Silent: silent})
}

// failureKind classifies the error of an attempt. ctx is the context of the
// whole request.
func failureKind(ctx context.Context, err error) decisionlog.FailureKind {
	switch {
	case quarantinedCause(ctx) != nil:
		return decisionlog.FailureQuarantined
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return decisionlog.FailureTimeout
	case errors.Is(err, context.Canceled) || errors.Is(err, errSuperseded):
		return decisionlog.FailureSilent
	case errors.Is(err, origins.ErrNotDurable):
		return decisionlog.FailureNotDurable
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

// retried records that another attempt is made, with its number. resumeAfter is
// the ID of the last stream event sent, or empty; budget is the number of retries
// left.
func (r *record) retried(resumeAfter string, attempt int, budget float64) {
	r.trace.Add(decisionlog.Retried{
		Attempt:     attempt,
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
		Cause:         cause.cause,
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
		Account:       r.req.accountName(),
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
func (r *record) finishWhole(resp *exchange.Response, buffered *relay.Buffered) {
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
	r.end.Outcome, r.end.Reason = decisionlog.OutcomeServed, ""
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
	end.Account = r.req.accountName()
	end.PromptTokens, end.Deadline = r.req.TokensIn, r.req.Deadline
	end.Objective, end.GapObjective = r.req.route.Objective, r.req.route.GapObjective
	end.Total = time.Since(r.req.arrived)
	end.ConfigVersion = r.version
	if !r.firstByte.IsZero() {
		end.FirstByte = r.firstByte.Sub(r.req.arrived)
	}
	r.trace.End(end)
}
