package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/entry/direct/exchange"
	"peridotchute.example/entry/direct/origins"
	"peridotchute.example/entry/direct/relay"
	"peridotchute.example/fleet"
)

// handleAnswer forwards an answer to the client unless the answer calls for
// another attempt. It reports whether to try again.
func (r *run) handleAnswer(ctx context.Context, a *attempt) bool {
	resp := a.answer
	switch {
	case resp.Outcome.NotRun:
		return r.handleDecline(ctx, a)
	case isServerError(resp.Status):
		return r.handleServerError(ctx, a)
	case r.streamBegun() && resp.Status != statusResumed:
		r.recordErrorStatus(a)
		r.exclude = append(r.exclude, a.ticket.Server.ID)
		return r.mayRetry(ctx) || r.finishWithError(ctx, refusal{status: http.StatusBadGateway})
	case r.req.route.Stream && resp.Status == http.StatusOK:
		return r.forwardStream(ctx, a)
	}
	return r.forwardWhole(ctx, a)
}

// statusResumed is the status with which a server continues a stream.
const statusResumed = http.StatusOK

// isServerError reports whether another server may do better than the one that
// answered with the status.
func isServerError(status int) bool {
	return status >= http.StatusInternalServerError || impliesNotRun(status)
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
func (r *run) handleDecline(ctx context.Context, a *attempt) bool {
	r.recordDecline(a)
	r.exclude = append(r.exclude, a.ticket.Server.ID)
	if r.mayRetry(ctx) {
		return true
	}
	if !r.f.mayBegin(r.req, true) {
		return r.finishWithError(ctx, stoppingRefusal())
	}
	return r.finishWithError(ctx, refusal{status: http.StatusServiceUnavailable, retryAfter: busyRetryAfter, reason: decisionlog.RefusedByServers})
}

// handleServerError handles an error answer of the server. The request counts
// as possibly run.
func (r *run) handleServerError(ctx context.Context, a *attempt) bool {
	resp := a.answer
	r.recordErrorStatus(a)
	r.mayHaveRun = true
	r.exclude = append(r.exclude, a.ticket.Server.ID)
	if r.mayRetry(ctx) {
		return true
	}
	if r.streamBegun() {
		return r.finishWithError(ctx, refusal{status: http.StatusBadGateway})
	}
	if impliesNotRun(resp.Status) {
		return r.finishWithError(ctx, refusal{status: http.StatusBadGateway, reason: unknownOutcomeReason})
	}
	return r.forwardWhole(ctx, a)
}

func (r *run) forwardWhole(ctx context.Context, a *attempt) bool {
	t, resp := a.ticket, a.answer
	a.watch.recordEvent()
	buffered, err := relay.Buffer(resp, t.Server.ID, r.f.opts.Memory.Server(t.Server.ID))
	defer buffered.Release()
	if err == nil {
		err = a.watch.claim()
	}
	if err != nil {
		return r.handleFailure(ctx, a, err)
	}
	if resp.Status < http.StatusInternalServerError {
		t.Succeeded()
	}
	if resp.Status < http.StatusMultipleChoices {
		a.brought.Store(true)
		r.answered(a)
		r.observeDuration(a)
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

// eventFormat returns the format of the answer's events, or nil if it is no stream.
func (r *run) eventFormat() *relay.Format {
	if !r.req.route.Stream {
		return nil
	}
	return &relay.Format{Fields: r.f.opts.Codec.EventFields()}
}

// endsWithConnection reports whether nothing but the end of its connection shows the end of
// the response.
func endsWithConnection(resp *exchange.Response) bool { return resp.Length < 0 && !resp.Chunked }

// errNoEvent means that a server had no event of the rest of a stream.
var errNoEvent = errors.New("the answer has no event of a stream that broke off")

// checkEmpty returns why an answer without an event does not show that the stream is complete,
// or nil if it does. A server that crashes closes its connections as well. A stream that broke
// off within this answer has hardly lost its end alone; if it has, its client learns that when
// it takes the stream up again.
func checkEmpty(resp *exchange.Response, brokeOff bool) error {
	switch {
	case endsWithConnection(resp):
		return io.ErrUnexpectedEOF
	case brokeOff:
		return errNoEvent
	}
	return nil
}

// observeDuration records how long the request took at the server of its first attempt, if that
// has served all of it.
func (r *run) observeDuration(a *attempt) {
	if a.number == 1 && !r.req.resumesStream() {
		r.f.durations.observe(r.req.route.Name, time.Since(a.begun))
	}
}

// writeHeader begins the client's answer with the header of a server's answer.
func (r *run) writeHeader(resp *exchange.Response) {
	relay.CopyHeader(r.w, resp)
	r.f.closeAfterStop(r.w)
	r.w.WriteHeader(resp.Status)
}

// streamBegun reports whether the client's answer has begun as a stream.
func (r *run) streamBegun() bool { return r.stream != nil && r.stream.Begun() }

func (r *run) forwardStream(ctx context.Context, a *attempt) bool {
	t, resp := a.ticket, a.answer
	brokeOff := r.stream != nil
	if !brokeOff {
		r.stream = relay.NewStream(r.w, *r.eventFormat(), r.req.LastEventID)
	}
	r.stream.Charge(r.f.opts.Memory.Server(t.Server.ID))
	defer r.stream.Release()
	writeHeader := func() { r.writeHeader(resp) }
	a.watch.recordEvent()
	claim := func() error {
		if err := a.watch.claim(); err != nil {
			return err
		}
		return r.awaitDurable(ctx, a)
	}
	err := r.stream.Copy(resp.Body, claim, writeHeader, func() {
		t.Event()
		a.brought.Store(true)
		r.begun.Store(true)
		r.bindSoftware(a)
		a.watch.recordEvent()
		r.record.sentBytes()
	})
	if err == nil && !a.brought.Load() {
		err = checkEmpty(resp, brokeOff)
	}
	if err == nil || errors.Is(err, relay.ErrClient) {
		a.watch.stop()
	}
	successor := r.settle(a)
	r.record.end.Events, r.record.end.Bytes = r.stream.Events, r.stream.Bytes
	switch {
	case err == nil:
		r.stream.Begin(writeHeader) // of a stream without an event
		t.Succeeded()
		r.answered(a)
		r.observeDuration(a)
		r.record.finishServed(resp.Status, r.stream.Bytes)
		return false
	case errors.Is(err, relay.ErrClient):
		r.record.finishFailed(r.abortOutcome(err), resp.Status, string(r.abortReason(ctx, refusal{})))
		panic(http.ErrAbortHandler)
	case successor != nil:
		return r.handOver(ctx, a, successor, err)
	case errors.Is(err, origins.ErrNotDurable):
		return r.beginElsewhere(ctx, a, err)
	}
	if ctx.Err() == nil {
		t.Failed()
	}
	r.recordFailure(ctx, a, resp.Status, err)
	r.reportLost(ctx, a, err)
	r.mayHaveRun = true
	r.exclude = append(r.exclude, t.Server.ID)
	if r.req.route.RetryPolicy != fleet.RetryResume {
		r.record.retryWithheld(decisionlog.WithheldResponseStarted, r.f.opts.Balancer.BudgetLeft(r.req.service))
	} else if r.mayRetry(ctx) {
		return true
	}
	return r.finishWithError(ctx, refusal{status: http.StatusBadGateway, reason: serverFailedReason})
}
