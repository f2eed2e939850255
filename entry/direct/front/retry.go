package front

import (
	"context"
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
)

// mayRetry reports whether a failed or declined request may be sent to another
// server. If so, it takes the retry from the budget; otherwise it records the
// reason, unless the caller disconnected.
func (r *run) mayRetry(ctx context.Context) bool {
	budget := r.f.opts.Balancer.BudgetLeft(r.req.service)
	if r.callerDisconnected() {
		return false
	}
	if reason := r.withheldReason(ctx); reason != "" {
		r.record.retryWithheld(reason, budget)
		return false
	}
	if !r.f.opts.Balancer.TakeRetry(r.req.service, time.Now()) {
		r.record.retryWithheld(decisionlog.WithheldBudget, budget)
		return false
	}
	r.record.retried(r.lastEventID(), r.record.end.Attempts+1, budget-1)
	return true
}

// withheldReason returns why no further attempt may be made, or "" if one may.
// It does not consider the budget.
func (r *run) withheldReason(ctx context.Context) decisionlog.WithheldReason {
	if q := r.quarantined(ctx); q != nil {
		return withheldOf(q)
	}
	switch {
	case ctx.Err() != nil:
		return decisionlog.WithheldTime
	case !r.f.mayBegin(r.req, true):
		return decisionlog.WithheldStopping
	case r.mayHaveRun && r.req.route.RetryPolicy == fleet.RetryNever:
		return decisionlog.WithheldMayHaveRun
	case r.sent >= r.req.route.MaxAttempts:
		return decisionlog.WithheldAttempts
	}
	return ""
}
