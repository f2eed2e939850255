package front

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/fault"
	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/exchange"
	"peridotchute.example/entry/direct/relay"
	"peridotchute.example/fleet"
)

const (
	// maxUnsentAttempts limits the attempts of one request that fail before
	// anything is sent to a server.
	maxUnsentAttempts = 4

	// minTimeLeft is shorter than any answer takes; with less time left no
	// attempt is made.
	minTimeLeft = 5 * time.Millisecond

	busyRetryAfter = 400 * time.Millisecond // Retry-After when servers declined or could not be reached
)

// run is the processing of one request.
type run struct {
	f          *Front
	w          http.ResponseWriter
	r          *http.Request
	req        *request
	stream     *relay.Stream // nil until a server's answer is a stream
	next       *attempt      // has taken the request over from the current attempt; nil if none has
	sent       int           // attempts that reached a server
	unsent     int           // attempts that failed before anything was sent
	mayHaveRun bool          // some server may have run the request
	exclude    []string      // IDs of servers that failed or declined the request
	gone       []string      // IDs of servers that refused the connection
	sendings   exchange.Sendings
	software   string      // version that brought the stream's events; empty while there are none
	recorded   string      // version last recorded as the stream's origin
	begun      atomic.Bool // the client has been sent an event
	record     *record
}

// serve makes attempts until the request has been answered.
func (f *Front) serve(w http.ResponseWriter, r *http.Request, req *request, v *fleet.View) {
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline())
	defer cancel()
	defer context.AfterFunc(f.abortCtx, cancel)()
	f.opts.Balancer.CountRequest(req.service)
	f.activeRequests.begin(req)
	defer f.activeRequests.end(req)
	run := &run{f: f, w: w, r: r, req: req, record: newRecord(f.opts.Log, req, v)}
	defer run.record.close()
	ctx, stopWatch := f.opts.Guard.Watch(ctx, req.contents(), run.begun.Load)
	defer stopWatch()
	if quarantined := quarantinedCause(ctx); quarantined != nil {
		run.finishWithError(ctx, refusalOf(quarantined))
		return
	}
	if refused := f.takeQuota(ctx, req); refused != nil {
		run.finishWithError(ctx, *refused)
		return
	}
	defer req.charge.settle()
	if req.resumesStream() && !run.findOrigin(ctx) {
		return
	}
	for run.attempt(ctx) {
	}
}

// deadline returns the earlier of the client's deadline and the route's
// timeout.
func (q *request) deadline() time.Time {
	wait := q.Deadline
	if t := q.route.Timeout; t > 0 && (wait <= 0 || t < wait) {
		wait = t
	}
	if wait <= 0 {
		wait = defaultDeadline
	}
	return q.arrived.Add(wait)
}

// attempt makes one attempt and reports whether to try again. If it returns
// false, the request has been answered.
func (r *run) attempt(ctx context.Context) bool {
	a, refused := r.nextAttempt(ctx)
	if refused != nil {
		return r.finishWithError(ctx, *refused)
	}
	defer a.end()
	a.watch = r.watch(ctx, a)
	if a.answer == nil {
		answer, err := r.send(a, r.newCall(a.ticket.Server))
		if err != nil {
			return r.handleFailure(ctx, a, err)
		}
		a.answer = answer
		r.noteServerState(a)
		a.watch.answered(answer)
		r.sent++
	}
	if successor := r.successorOf(a); successor != nil {
		return r.handOver(ctx, a, successor, errSuperseded)
	}
	return r.handleAnswer(ctx, a)
}

// send sends the request to the server of an attempt, and records whether that may have run it.
func (r *run) send(a *attempt, call *exchange.Call) (*exchange.Response, error) {
	r.req.charge.sending()
	answer, err := r.f.opts.Exchanger.Send(a.ctx, call)
	if err == nil && answer.Outcome.NotRun || exchange.IsStale(err) || fault.Is(err, fault.KindUnavailable) {
		r.req.charge.didNotRun()
	}
	return answer, err
}

// nextAttempt returns the attempt that has taken the request over. If there is
// none, it waits until the request may be sent to a server.
func (r *run) nextAttempt(ctx context.Context) (*attempt, *refusal) {
	if next := r.next; next != nil {
		r.next = nil
		r.record.serverChanged(next)
		return next, nil
	}
	if !r.mayBegin() {
		refused := stoppingRefusal()
		return nil, &refused
	}
	if ctx.Err() != nil || r.callerDisconnected() || time.Until(r.req.deadline()) < minTimeLeft {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: decisionlog.RefusedTooLate}
	}
	queuedAt := time.Now()
	ticket, refused := r.admit(ctx)
	r.record.end.Waited += time.Since(queuedAt)
	if refused != nil {
		return nil, refused
	}
	if quarantined := r.quarantined(ctx); quarantined != nil { // also of a stream that has begun, which the watch does not cancel
		ticket.End()
		cause := refusalOf(quarantined)
		return nil, &cause
	}
	r.record.end.Attempts++
	a := newAttempt(ctx, ticket, r.record.end.Attempts, r.f.opts.Views.Current())
	r.record.serverChanged(a)
	r.record.chosen(a, r.f.sinceStop())
	r.recordOrigin(a)
	return a, nil
}

// mayBegin reports whether the request may be sent to a server now, which a planned stop limits.
func (r *run) mayBegin() bool { return r.f.mayBegin(r.req, r.sent > 0) }

// admit waits until the request may be sent to a server and returns the ticket for
// it, or a refusal.
func (r *run) admit(ctx context.Context) (*balance.Ticket, *refusal) {
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	repeated := r.sent > 0
	defer context.AfterFunc(r.f.intakeCtx, func() {
		if !r.f.mayBegin(r.req, repeated) {
			cancel()
		}
	})()
	q := r.query()
	ticket, rejected := r.f.opts.Balancer.Admit(wait, q)
	if rejected == nil {
		return ticket, nil
	}
	cause := &refusal{
		status:     http.StatusServiceUnavailable,
		retryAfter: rejected.RetryAfter,
		reason:     decisionlog.RefusedTooLate,
		detail:     rejected.Reason,

		expected: rejected.Expected,
		waiting:  rejected.Waiting,
		replicas: rejected.Replicas,
	}
	switch {
	case rejected.Canceled && ctx.Err() == nil:
		cause.reason, cause.retryAfter = decisionlog.RefusedStopping, stopRetryAfter
	case rejected.Canceled:
		cause.reason = decisionlog.RefusedTooLate
	case rejected.NotLoaded && q.Software != "":
		cause.reason = decisionlog.RefusedVersionGone
	case rejected.NotLoaded:
		cause.reason = r.notLoadedReason()
	}
	return nil, cause
}

// query returns the query for a server that may get the request now.
func (r *run) query() balance.Query {
	q := balance.Query{
		Service:  r.req.service,
		Request:  &r.req.Request,
		Route:    r.req.route,
		Priority: r.req.priority(),
		Arrived:  r.req.arrived,
		Deadline: r.req.deadline(),
		Exclude:  r.exclude,
		Gone:     r.gone,
		Resumed:  r.streamBegun() || r.req.resumesStream(),
	}
	r.restrict(&q)
	return q
}

// notLoadedReason returns the refusal reason for an adapter or model that no
// server has loaded.
func (r *run) notLoadedReason() decisionlog.RefusalReason {
	if r.req.Adapter != "" {
		return decisionlog.RefusedAdapterNotLoaded
	}
	return decisionlog.RefusedModelNotLoaded
}

func (r *run) newCall(s *fleet.Server) *exchange.Call {
	attempt := fleet.Attempt{
		Instance:  s.ID,
		Remaining: time.Until(r.req.deadline()),
		Urgency:   r.req.priority(),

		Identified: r.req.identified,
		Account:    r.req.accountName(),
	}
	attempt.LastEventID = r.lastEventID()
	return &exchange.Call{
		ID:      r.req.ID,
		Method:  r.r.Method,
		Target:  r.req.target,
		Host:    r.r.Host,
		Body:    r.req.body,
		Header:  r.r.Header,
		Attempt: attempt,
		Address: s.Address,

		CallerLeft: func() bool { return callerLeft(r.r) },
		Sendings:   &r.sendings,
	}
}

// lastEventID returns the ID of the last event that the client was sent, or "".
func (r *run) lastEventID() string {
	if r.stream == nil {
		return ""
	}
	return r.stream.LastID()
}

// lastEventOfClient returns the ID of the last event that the client has, also from an earlier
// request, or "".
func (r *run) lastEventOfClient() string { return cmp.Or(r.lastEventID(), r.req.LastEventID) }

// handleFailure handles an attempt without a complete answer and reports whether
// to try again.
func (r *run) handleFailure(ctx context.Context, a *attempt, err error) bool {
	if successor := r.settle(a); successor != nil {
		return r.handOver(ctx, a, successor, err)
	}
	t := a.ticket
	r.recordFailure(ctx, a, 0, err)
	if exchange.IsStale(err) {
		r.unsent++
		return r.unsent < maxUnsentAttempts || r.finishWithError(ctx, refusal{status: http.StatusServiceUnavailable, retryAfter: busyRetryAfter, reason: decisionlog.RefusedUnreachable})
	}
	r.exclude = append(r.exclude, t.Server.ID)
	if ctx.Err() == nil {
		t.Failed()
	}
	if fault.Is(err, fault.KindUnavailable) {
		if ctx.Err() == nil {
			r.markUnreachable(a, err)
		}
		if exchange.IsRefused(err) {
			r.gone = append(r.gone, t.Server.ID)
		}
		r.unsent++
		if r.unsent < maxUnsentAttempts && ctx.Err() == nil {
			return true
		}
		return r.finishWithError(ctx, refusal{status: http.StatusServiceUnavailable, retryAfter: busyRetryAfter, reason: decisionlog.RefusedUnreachable})
	}
	if a.answer == nil {
		r.sent++
	}
	r.mayHaveRun = true
	r.reportLost(ctx, a, err)
	if r.mayRetry(ctx) {
		return true
	}
	return r.finishWithError(ctx, refusal{status: http.StatusBadGateway, reason: serverFailedReason})
}

// finishWithError ends the request with an error. An answer that has started is
// aborted so that it does not look complete. A request that may have run gets
// 502 or 504, because 503 would mean that it has not run. It returns false.
func (r *run) finishWithError(ctx context.Context, cause refusal) bool {
	if quarantined := quarantinedCause(ctx); quarantined != nil {
		cause = refusalOf(quarantined)
	}
	if r.f.aborting() {
		cause = stoppingRefusal()
	}
	if r.streamBegun() || r.callerDisconnected() {
		r.record.finishFailed(r.abortOutcome(ctx.Err()), 0, string(r.abortReason(ctx, cause)))
		panic(http.ErrAbortHandler)
	}
	if r.mayHaveRun && cause.status == http.StatusServiceUnavailable {
		cause = refusal{status: http.StatusBadGateway, reason: cause.reason}
	}
	if r.mayHaveRun && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		cause = refusal{status: http.StatusGatewayTimeout, reason: deadlineReason}
	}
	if r.mayHaveRun && r.f.aborting() {
		cause = refusal{status: http.StatusGatewayTimeout, reason: stoppedReason}
	}
	r.recordRefusal(cause)
	r.f.closeAfterStop(r.w)
	r.f.opts.Codec.Refuse(r.w.Header(), r.req.ID, cause.retryAfter)
	r.w.Header().Set("Content-Length", "0")
	r.w.WriteHeader(cause.status)
	return false
}
