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

// handleAnswer forwards an answer to the client unless the answer calls for
// another attempt. It reports whether to try again.
func (r *run) handleAnswer(ctx context.Context, t *balance.Ticket, resp *exchange.Response, watch *stallWatch) bool {
	switch {
	case resp.Outcome.NotRun:
		return r.handleDecline(ctx, t, resp)
	case resp.Status >= http.StatusInternalServerError || impliesNotRun(resp.Status):
		return r.handleServerError(ctx, t, resp)
	case r.stream != nil && resp.Status != http.StatusOK:
		r.record.attemptFailed(decisionlog.FailureStatus, resp.Status, false, nil)
		t.Failed()
		r.exclude = append(r.exclude, t.Server.ID)
		return r.mayRetry(ctx) || r.finishWithError(ctx, refusal{status: http.StatusBadGateway})
	case r.req.route.Stream && resp.Status == http.StatusOK:
		return r.forwardStream(ctx, t, resp, watch)
	}
	return r.forwardWhole(ctx, t, resp)
}

// impliesNotRun reports whether clients take the status to mean that the
// request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// handleDecline handles an answer that states that the server did not run the
// request.
func (r *run) handleDecline(ctx context.Context, t *balance.Ticket, resp *exchange.Response) bool {
	r.record.attemptFailed(declineKind(resp.Outcome), resp.Status, true, nil)
	t.Declined(resp.Outcome.Misdirected)
	r.exclude = append(r.exclude, t.Server.ID)
	if r.mayRetry(ctx) {
		return true
	}
	return r.finishWithError(ctx, refusal{status: http.StatusServiceUnavailable, retryAfter: busyRetryAfter, reason: decisionlog.RefusedByServers})
}

// handleServerError handles an error answer of the server. The request counts
// as possibly run.
func (r *run) handleServerError(ctx context.Context, t *balance.Ticket, resp *exchange.Response) bool {
	r.record.attemptFailed(decisionlog.FailureStatus, resp.Status, false, nil)
	t.Failed()
	r.mayHaveRun = true
	r.exclude = append(r.exclude, t.Server.ID)
	if r.mayRetry(ctx) {
		return true
	}
	if r.stream != nil {
		return r.finishWithError(ctx, refusal{status: http.StatusBadGateway})
	}
	if impliesNotRun(resp.Status) {
		return r.finishWithError(ctx, refusal{status: http.StatusBadGateway, reason: unknownOutcomeReason})
	}
	return r.forwardWhole(ctx, t, resp)
}

func (r *run) forwardWhole(ctx context.Context, t *balance.Ticket, resp *exchange.Response) bool {
	buffered, err := relay.Buffer(resp, t.Server.ID)
	if err != nil {
		r.sent-- // incremented again by handleFailure
		return r.handleFailure(ctx, t, err)
	}
	if resp.Status < http.StatusInternalServerError {
		t.Succeeded()
	}
	r.f.closeAfterStop(r.w)
	if err := relay.Forward(r.w, r.r.Method, resp, buffered); err != nil {
		r.record.finishFailed(r.abortOutcome(err), resp.Status, err.Error())
		panic(http.ErrAbortHandler)
	}
	r.record.sentBytes()
	r.record.finishWhole(resp, buffered)
	return false
}

func (r *run) forwardStream(ctx context.Context, t *balance.Ticket, resp *exchange.Response, watch *stallWatch) bool {
	if r.stream == nil {
		relay.CopyHeader(r.w, resp)
		r.f.closeAfterStop(r.w)
		r.w.WriteHeader(resp.Status)
		r.stream = relay.NewStream(r.w)
	}
	err := r.stream.Copy(resp.Body, func() {
		t.Event()
		watch.recordEvent()
		r.record.sentBytes()
	})
	r.record.end.Events, r.record.end.Bytes = r.stream.Events, r.stream.Bytes
	switch {
	case err == nil:
		t.Succeeded()
		r.record.finishServed(resp.Status, r.stream.Bytes)
		return false
	case errors.Is(err, relay.ErrClient):
		r.record.finishFailed(r.abortOutcome(err), resp.Status, string(r.abortReason(ctx, refusal{})))
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() == nil {
		t.Failed()
	}
	r.recordFailure(ctx, resp.Status, err)
	r.mayHaveRun = true
	r.exclude = append(r.exclude, t.Server.ID)
	if r.req.route.RetryPolicy != fleet.RetryResume {
		r.record.retryWithheld(decisionlog.WithheldResponseStarted, r.f.opts.Balancer.BudgetLeft(r.req.service))
	} else if r.mayRetry(ctx) {
		return true
	}
	return r.finishWithError(ctx, refusal{status: http.StatusBadGateway, reason: serverFailedReason})
}
