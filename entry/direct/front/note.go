package front

import (
	"context"
	"errors"
	"net/http"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/fault"
	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/relay"
)

// Reasons of failures other than refusals.
const (
	failedReason  = "the server failed"
	unclearReason = "the server does not say that it did not run the request"
	lateReason    = "no answer in time"
	stoppedReason = "the process stopped before its end"
)

// callerLeft reports whether the caller closed its connection.
func (r *run) callerLeft() bool { return r.r.Context().Err() != nil }

// noteFailure records a failed attempt, unless it ended because the caller left.
func (r *run) noteFailure(ctx context.Context, status int, err error) {
	if !r.callerLeft() {
		r.record.attemptFailed(failureKind(ctx, err), status, fault.Is(err, fault.KindUnavailable), err)
	}
}

// unreachable notes that a server cannot be reached.
func (r *run) unreachable(t *balance.Ticket, err error) {
	if !t.Unreachable() {
		return
	}
	r.f.opts.Log.Write(decisionlog.ServerChanged{
		Change:     decisionlog.ServerSuspected,
		Server:     t.Server.ID,
		Service:    t.Server.Service,
		Address:    t.Server.Address,
		Zone:       t.Server.Zone,
		RowVersion: t.Server.Registration,
		ViewAge:    r.record.end.ViewAge,
		Reason:     err.Error(),
	})
}

// noteAnswer records an answer of our own.
func (r *run) noteAnswer(why refusal) {
	if why.status == http.StatusServiceUnavailable {
		r.record.refuse(why)
		return
	}
	r.record.fail(decisionlog.OutcomeFailed, why.status, string(why.reason))
}

// brokenOffReason prefers the end of the request's time to what it led to. A
// caller who left needs no reason.
func (r *run) brokenOffReason(ctx context.Context, why refusal) decisionlog.RefusalReason {
	if r.f.cutting.Load() {
		return stoppedReason
	}
	if r.callerLeft() {
		return ""
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return lateReason
	}
	return why.reason
}

// brokenOff says who broke an answer off.
func (r *run) brokenOff(err error) decisionlog.Outcome {
	left := errors.Is(err, relay.ErrClient) || r.callerLeft()
	if left && !r.f.cutting.Load() {
		return decisionlog.OutcomeCallerLeft
	}
	return decisionlog.OutcomeCut
}
