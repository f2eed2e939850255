package admit

import (
	"net/http"
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/common/event"
	"peridotchute.example/common/wire"
	"peridotchute.example/entry/serving/dispatch"
)

const (
	codeRateLimited = "rate_limit_exceeded"
	minRetryAfter   = time.Second
)

// rejection returns the failure for a rejected request. Its outcome is unknown if
// the caller sent an idempotency key, because an earlier request with the same
// key may have run; otherwise it is not-run.
func (a *Admitter) rejection(req dispatch.Request, v admission.Verdict) *wire.Failure {
	rejected.Add(1)
	event.Log(a.opts.Log, event.RequestRejected, event.Request(req.ID), event.Subject(req.Team), event.Reason(v.Reason))
	outcome := wire.OutcomeNotRun
	if req.Key != "" {
		outcome = wire.OutcomeUnknown
	}
	return wire.NewFailure(http.StatusTooManyRequests, outcome, codeRateLimited, "the request was rejected: %s", v.Reason).After(max(v.RetryAfter, minRetryAfter))
}
