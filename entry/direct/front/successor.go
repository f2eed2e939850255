package front

import (
	"context"
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/fault"
	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/exchange"
	"peridotchute.example/entry/direct/relay"
	"peridotchute.example/fleet"
)

// seek waits for another server that may get the request and sends it there. It
// ends without effect when ctx is canceled first.
func (w *stallWatch) seek(ctx context.Context, q balance.Query) {
	ticket, rejected := w.run.f.opts.Balancer.Admit(ctx, q)
	if rejected != nil {
		w.giveUp(ctx, decisionlog.WithheldNoServer)
		return
	}
	call, s := w.startSending(ctx, ticket)
	if s == nil {
		ticket.End()
		return
	}
	answer, err := w.run.send(s, call)
	s.answer = answer
	if err == nil {
		w.run.noteServerState(s)
	}
	if err == nil && w.run.continues(answer) {
		err = relay.Begin(answer, w.run.f.opts.Memory.Server(ticket.Server.ID), w.run.eventFormat(), w.run.lastEventOfClient())
	}
	w.finishSending(s, err)
}

// giveUp ends phaseSeeking without another server.
func (w *stallWatch) giveUp(ctx context.Context, reason decisionlog.WithheldReason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	w.phase = phaseIdle
	w.recordWithheld(reason)
}

// startSending enters phaseSending if the server is still silent and the retry
// budget allows another attempt. Otherwise it returns nil.
func (w *stallWatch) startSending(ctx context.Context, t *balance.Ticket) (*exchange.Call, *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return nil, nil
	}
	r := w.run
	if q := r.quarantined(ctx); q != nil {
		w.phase = phaseIdle
		w.recordWithheld(withheldOf(q))
		return nil, nil
	}
	if w.stopping() {
		w.phase = phaseIdle
		return nil, nil
	}
	taken := time.Now()
	if !r.f.opts.Balancer.TakeRetry(r.req.service, taken) {
		w.phase = phaseIdle
		w.recordWithheld(decisionlog.WithheldBudget)
		return nil, nil
	}
	w.tried++
	s := newAttempt(w.ctx, t, w.attempt.number+w.tried, r.f.opts.Views.Current())
	w.phase, w.cancelPhase, w.retryTaken = phaseSending, s.cancel, taken
	r.record.retried(r.lastEventID(), s.number, r.f.opts.Balancer.BudgetLeft(r.req.service))
	r.record.chosen(s, r.f.sinceStop())
	r.recordOrigin(s)
	return r.newCall(t.Server), s
}

// finishSending leaves phaseSending: the other server has taken the request over,
// or it failed and the silent attempt goes on.
func (w *stallWatch) finishSending(s *attempt, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.changed.Broadcast()
	if err == nil && s.ctx.Err() == nil && w.run.continues(s.answer) {
		w.sent++
		w.successor = s
		w.phase = phaseSuperseded
		w.attempt.cancel()
		return
	}
	w.phase = phaseIdle
	w.failed = append(w.failed, s.ticket.Server.ID)
	if w.successorFailed(s, err) {
		w.sent++
		w.left--
	}
	s.end()
}

// continues reports whether an answer can be forwarded in place of the silent
// server's.
func (r *run) continues(resp *exchange.Response) bool {
	if resp.Outcome.NotRun || isServerError(resp.Status) {
		return false
	}
	return !r.streamBegun() || resp.Status == statusResumed
}

// successorFailed records the failure of another server and reports whether the
// request was sent to it.
func (w *stallWatch) successorFailed(s *attempt, err error) (sent bool) {
	r := w.run
	switch {
	case s.answer != nil && s.answer.Outcome.NotRun:
		r.recordDecline(s)
		return true
	case s.ctx.Err() != nil: // the silent server went on, or the request ended
		r.record.attemptFailed(s, decisionlog.FailureWithdrawn, 0, false, err)
		w.mayHaveRun = true
		return true
	case err == nil:
		r.recordErrorStatus(s)
		w.mayHaveRun = true
		return true
	}
	unreachable := fault.Is(err, fault.KindUnavailable)
	if unreachable {
		r.f.opts.Balancer.ReturnRetry(r.req.service, w.retryTaken)
	}
	r.record.attemptFailed(s, failureKind(w.ctx, err), 0, unreachable, err)
	switch {
	case exchange.IsStale(err):
	case unreachable:
		r.markUnreachable(s, err)
	default:
		s.ticket.Failed()
		r.reportLost(w.ctx, s, err)
		w.mayHaveRun = true
	}
	return !unreachable
}

// handOver ends an attempt whose request another server has taken over. err says
// how the attempt ended. It returns true: the other server's attempt is next.
func (r *run) handOver(ctx context.Context, a, successor *attempt, err error) bool {
	if a.answer == nil {
		r.sent++
	}
	r.recordFailure(ctx, a, 0, err)
	r.exclude = append(r.exclude, a.ticket.Server.ID)
	a.ticket.Failed()
	r.mayHaveRun = true
	r.next = successor
	return true
}

// successorOf returns the attempt that has taken the request over from an answered
// one, or nil. An answer that calls for another attempt waits for that of a server
// that has been sent the request; any other is preferred to it.
func (r *run) successorOf(a *attempt) *attempt {
	if r.continues(a.answer) && a.watch.claim() == nil {
		return nil
	}
	return r.settle(a)
}

// settle ends the search for another server and counts its attempts. It returns
// the attempt that has taken the request over, or nil.
func (r *run) settle(a *attempt) *attempt {
	w := a.watch
	successor := w.takeSuccessor()
	if w == nil {
		return successor
	}
	r.sent += w.sent
	r.record.end.Attempts += w.tried
	r.exclude = append(r.exclude, w.failed...)
	r.mayHaveRun = r.mayHaveRun || w.mayHaveRun
	w.sent, w.tried, w.failed = 0, 0, nil
	return successor
}

// retriable reports whether the request may be sent to another server although
// one may have run it.
func (r *run) retriable() bool { return r.req.route.RetryPolicy != fleet.RetryNever }
