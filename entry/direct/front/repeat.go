package front

import (
	"context"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
)

// mayRepeat reports whether the request may be sent to one more server though
// one may have run it, or after one declined it.
func (r *run) mayRepeat(ctx context.Context) bool {
	budget := r.f.opts.Balancer.BudgetLeft(r.req.service)
	if r.callerLeft() {
		return false
	}
	if reason := r.forbidsRepeat(ctx); reason != "" {
		r.record.withheld(reason, budget)
		return false
	}
	if !r.f.opts.Balancer.Repeat(r.req.service) {
		r.record.withheld(decisionlog.WithheldBudget, budget)
		return false
	}
	lastID := ""
	if r.stream != nil {
		lastID = r.stream.LastID()
	}
	r.record.retried(lastID, budget-1)
	return true
}

// forbidsRepeat says what but the budget forbids another attempt, or "".
func (r *run) forbidsRepeat(ctx context.Context) decisionlog.WithheldReason {
	switch {
	case ctx.Err() != nil:
		return decisionlog.WithheldTime
	case r.mayRun && r.req.route.Repeat == fleet.RepeatNever:
		return decisionlog.WithheldMayHaveRun
	case r.sent >= r.req.route.MaxAttempts:
		return decisionlog.WithheldAttempts
	}
	return ""
}
