package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/fault"
	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/exchange"
	"peridotchute.example/entry/direct/relay"
	"peridotchute.example/fleet"
)

const (
	// unsentTries bounds the servers that are tried in vain without anything
	// having been sent.
	unsentTries = 4

	// leastLeft is less time than any answer takes.
	leastLeft = 5 * time.Millisecond

	busyRetry = 400 * time.Millisecond // told when servers declined or could not be reached
)

// run is one request on its way.
type run struct {
	f       *Front
	w       http.ResponseWriter
	r       *http.Request
	req     *request
	stream  *relay.Stream // nil until the first event of a stream
	sent    int           // attempts that reached a server
	unsent  int           // attempts of which nothing was sent
	mayRun  bool          // some server may have run the request
	exclude []string      // IDs of servers that failed it
	record  *record
}

// serve answers the request.
func (f *Front) serve(w http.ResponseWriter, r *http.Request, req *request, v *fleet.View) {
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline())
	defer cancel()
	f.opts.Balancer.Arrived(req.service)
	f.progress.begin(req)
	defer f.progress.end(req)
	run := &run{f: f, w: w, r: r, req: req, record: newRecord(f.opts.Log, req, v)}
	defer run.record.close()
	for run.attempt(ctx) {
	}
}

// deadline is when the client leaves or the route's timeout is over.
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

// attempt sends the request once and reports whether to try again. When it
// returns false the client has its answer.
func (r *run) attempt(ctx context.Context) bool {
	if ctx.Err() != nil || time.Until(r.req.deadline()) < leastLeft {
		return r.giveUp(ctx, refusal{status: http.StatusServiceUnavailable, reason: decisionlog.RefusedTooLate})
	}
	asked := time.Now()
	ticket, refused := r.choose(ctx)
	r.record.end.Waited += time.Since(asked)
	if refused != nil {
		return r.giveUp(ctx, *refused)
	}
	defer ticket.End()
	r.record.chosen(ticket, r.f.opts.Views.Current())
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := r.watch(attempt, cancel, ticket)
	defer watch.stop()
	answer, err := r.f.opts.Exchanger.Send(attempt, r.call(ticket.Server))
	if err != nil {
		return r.failed(ctx, ticket, err)
	}
	defer func() { _ = answer.Body.Close() }()
	r.sent++
	watch.heard()
	return r.answered(ctx, ticket, answer, watch)
}

// watch guards an attempt that may go on elsewhere against a silent server. Any
// other attempt lasts as long as its client waits.
func (r *run) watch(ctx context.Context, cancel context.CancelFunc, t *balance.Ticket) *stallWatch {
	if r.req.route.Repeat == fleet.RepeatNever || r.sent+1 >= r.req.route.MaxAttempts {
		return nil
	}
	return watchStall(ctx, cancel, t)
}

// choose waits for the turn of the request at some server.
func (r *run) choose(ctx context.Context) (*balance.Ticket, *refusal) {
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.f.waits, cancel)()
	ticket, rejected := r.f.opts.Balancer.Admit(wait, balance.Query{
		Service:  r.req.service,
		Request:  &r.req.Request,
		Route:    r.req.route,
		Arrived:  r.req.arrived,
		Deadline: r.req.deadline(),
		Exclude:  r.exclude,
		Resumed:  r.stream != nil,
	})
	if rejected == nil {
		return ticket, nil
	}
	why := &refusal{
		status: http.StatusServiceUnavailable,
		after:  rejected.RetryAfter,
		reason: decisionlog.RefusedTooLate,
		detail: rejected.Reason,

		expected: rejected.Expected,
		waiting:  rejected.Waiting,
		holders:  rejected.Holders,
	}
	switch {
	case rejected.Left && ctx.Err() == nil:
		why.reason, why.after = decisionlog.RefusedStopping, stopRetry
	case rejected.Left:
		why.reason = decisionlog.RefusedTooLate
	case rejected.NotHeld:
		why.reason = r.notHeld()
	}
	return nil, why
}

// notHeld says what no server holds.
func (r *run) notHeld() decisionlog.RefusalReason {
	if r.req.Adapter != "" {
		return decisionlog.RefusedNoAdapter
	}
	return decisionlog.RefusedNoHolder
}

func (r *run) call(s *fleet.Server) *exchange.Call {
	attempt := fleet.Attempt{
		Instance: s.ID,
		Left:     time.Until(r.req.deadline()),
		Urgency:  r.req.route.Priority,
	}
	if r.stream != nil {
		attempt.LastEventID = r.stream.LastID()
	}
	return &exchange.Call{
		ID:      r.req.ID,
		Method:  r.r.Method,
		Target:  r.req.target,
		Host:    r.r.Host,
		Body:    r.req.body,
		Header:  r.r.Header,
		Attempt: attempt,
		Address: s.Address,
	}
}

// failed judges an attempt without an answer.
func (r *run) failed(ctx context.Context, t *balance.Ticket, err error) bool {
	r.noteFailure(ctx, 0, err)
	if exchange.IsStale(err) {
		r.unsent++
		return r.unsent < unsentTries || r.giveUp(ctx, refusal{status: http.StatusServiceUnavailable, after: busyRetry, reason: decisionlog.RefusedUnreachable})
	}
	r.exclude = append(r.exclude, t.Server.ID)
	if ctx.Err() == nil {
		t.Failed()
	}
	if fault.Is(err, fault.KindUnavailable) {
		if ctx.Err() == nil {
			r.unreachable(t, err)
		}
		r.unsent++
		if r.unsent < unsentTries && ctx.Err() == nil {
			return true
		}
		return r.giveUp(ctx, refusal{status: http.StatusServiceUnavailable, after: busyRetry, reason: decisionlog.RefusedUnreachable})
	}
	r.sent++
	r.mayRun = true
	if r.mayRepeat(ctx) {
		return true
	}
	return r.giveUp(ctx, refusal{status: http.StatusBadGateway, reason: failedReason})
}

// giveUp answers for the last time: an answer that has begun is cut, so that it
// does not look complete, and a request that may have run is not called refused.
func (r *run) giveUp(ctx context.Context, why refusal) bool {
	if r.stream != nil || r.callerLeft() {
		r.record.fail(r.brokenOff(ctx.Err()), 0, string(r.brokenOffReason(ctx, why)))
		panic(http.ErrAbortHandler)
	}
	if r.mayRun && why.status == http.StatusServiceUnavailable {
		why = refusal{status: http.StatusBadGateway, reason: why.reason}
	}
	if r.mayRun && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		why = refusal{status: http.StatusGatewayTimeout, reason: lateReason}
	}
	r.noteAnswer(why)
	r.f.markLast(r.w)
	r.f.opts.Codec.Refuse(r.w.Header(), r.req.ID, why.after)
	r.w.Header().Set("Content-Length", "0")
	r.w.WriteHeader(why.status)
	return false
}
