package front

import (
	"context"
	"errors"
	"net/http"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/exchange"
	"peridotchute.example/entry/direct/relay"
	"peridotchute.example/fleet"
)

// answered judges an answer and passes it on unless another attempt is made.
func (r *run) answered(ctx context.Context, t *balance.Ticket, a *exchange.Answer, watch *stallWatch) bool {
	switch {
	case a.Outcome.NotRun:
		return r.declined(ctx, t, a)
	case a.Status >= http.StatusInternalServerError || promises(a.Status):
		return r.erred(ctx, t, a)
	case r.stream != nil && a.Status != http.StatusOK:
		r.record.attemptFailed(decisionlog.FailureStatus, a.Status, false, nil)
		t.Failed()
		r.exclude = append(r.exclude, t.Server.ID)
		return r.mayRepeat(ctx) || r.giveUp(ctx, refusal{status: http.StatusBadGateway})
	case r.req.route.Stream && a.Status == http.StatusOK:
		return r.passStream(ctx, t, a, watch)
	}
	return r.passWhole(ctx, t, a)
}

// promises reports whether clients take the status for a promise that the
// request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// declined handles an answer by which the server did not run the request.
func (r *run) declined(ctx context.Context, t *balance.Ticket, a *exchange.Answer) bool {
	r.record.attemptFailed(declineKind(a.Outcome), a.Status, true, nil)
	t.Declined(a.Outcome.Gone)
	r.exclude = append(r.exclude, t.Server.ID)
	if r.mayRepeat(ctx) {
		return true
	}
	return r.giveUp(ctx, refusal{status: http.StatusServiceUnavailable, after: busyRetry, reason: decisionlog.RefusedTurnedAway})
}

// erred handles a server's own error, which counts as a run.
func (r *run) erred(ctx context.Context, t *balance.Ticket, a *exchange.Answer) bool {
	r.record.attemptFailed(decisionlog.FailureStatus, a.Status, false, nil)
	t.Failed()
	r.mayRun = true
	r.exclude = append(r.exclude, t.Server.ID)
	if r.mayRepeat(ctx) {
		return true
	}
	if r.stream != nil {
		return r.giveUp(ctx, refusal{status: http.StatusBadGateway})
	}
	if promises(a.Status) {
		return r.giveUp(ctx, refusal{status: http.StatusBadGateway, reason: unclearReason})
	}
	return r.passWhole(ctx, t, a)
}

func (r *run) passWhole(ctx context.Context, t *balance.Ticket, a *exchange.Answer) bool {
	held, err := relay.Hold(a, t.Server.ID)
	if err != nil {
		r.sent-- // failed counts it
		return r.failed(ctx, t, err)
	}
	if a.Status < http.StatusInternalServerError {
		t.Succeeded()
	}
	r.f.markLast(r.w)
	if err := relay.Pass(r.w, r.r.Method, a, held); err != nil {
		r.record.fail(r.brokenOff(err), a.Status, err.Error())
		panic(http.ErrAbortHandler)
	}
	r.record.progress()
	r.record.whole(a, held)
	return false
}

func (r *run) passStream(ctx context.Context, t *balance.Ticket, a *exchange.Answer, watch *stallWatch) bool {
	if r.stream == nil {
		relay.Header(r.w, a)
		r.f.markLast(r.w)
		r.w.WriteHeader(a.Status)
		r.stream = relay.NewStream(r.w)
	}
	err := r.stream.Copy(a.Body, func() {
		t.Event()
		watch.heard()
		r.record.progress()
	})
	r.record.end.Events, r.record.end.Bytes = r.stream.Events, r.stream.Bytes
	switch {
	case err == nil:
		t.Succeeded()
		r.record.served(a.Status, r.stream.Bytes)
		return false
	case errors.Is(err, relay.ErrClient):
		r.record.fail(r.brokenOff(err), a.Status, string(r.brokenOffReason(ctx, refusal{})))
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() == nil {
		t.Failed()
	}
	r.noteFailure(ctx, a.Status, err)
	r.mayRun = true
	r.exclude = append(r.exclude, t.Server.ID)
	if r.req.route.Repeat != fleet.RepeatResume {
		r.record.withheld(decisionlog.WithheldBegun, r.f.opts.Balancer.BudgetLeft(r.req.service))
	} else if r.mayRepeat(ctx) {
		return true
	}
	return r.giveUp(ctx, refusal{status: http.StatusBadGateway, reason: failedReason})
}
