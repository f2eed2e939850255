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
	codeLimited = "rate_limit_exceeded"
	leastRetry  = time.Second
)

// rejection returns the answer to a request that was not let in. Of an action
// under the caller's own key it does not say not-run, because an earlier
// request under that key may have run.
func (a *Admitter) rejection(req dispatch.Request, v admission.Verdict) *wire.Failure {
	rejected.Add(1)
	event.Log(a.opts.Log, event.RequestRejected, event.Request(req.ID), event.Subject(req.Team), event.Reason(v.Reason))
	outcome := wire.OutcomeNotRun
	if req.Key != "" {
		outcome = wire.OutcomeUnknown
	}
	return wire.NewFailure(http.StatusTooManyRequests, outcome, codeLimited, "the request was not let in: %s", v.Reason).After(max(v.RetryAfter, leastRetry))
}
