package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
	"peridotchute.example/entry/serving/forward"
	"peridotchute.example/entry/serving/pool"
)

// run is the state of one request over all its attempts.
type run struct {
	d              *Dispatcher
	req            Request
	relay          *forward.Relay
	w              http.ResponseWriter
	exclude        string        // server of the last failed attempt
	failure        *wire.Failure // of the last attempt
	mayHaveReached bool          // some attempt may have reached a backend server
	answered       bool          // the caller has the whole response
}

// attempt sends the request once and reports whether to try again.
func (r *run) attempt(ctx context.Context) bool {
	if time.Until(r.req.Deadline) < minAttemptTime {
		r.setFailure(http.StatusGatewayTimeout, codeDeadline, "the deadline has passed")
		return false
	}
	server, err := r.d.Choose(r.req, r.exclude)
	if err != nil {
		r.setFailure(http.StatusServiceUnavailable, codeNoServer, "no backend server of pool %q is available", r.req.Pool)
		return false
	}
	end := server.Begin()
	vm := server.VM()
	err = r.exchange(ctx, server, vm.DataAddress)
	end(!isServerFault(ctx, err))
	if err == nil {
		r.answered = true
		return false
	}
	r.exclude = vm.Name
	return r.recordFailure(ctx, err, vm.Name)
}

// isServerFault reports whether a failed attempt counts against the server. It
// does not if the caller disconnected or the deadline passed, because under
// overload this would eject every server, or if the side process declined the
// request.
func isServerFault(ctx context.Context, err error) bool {
	var declined *wire.Failure
	return err != nil && ctx.Err() == nil && !fault.Is(err, fault.KindCanceled) && !errors.As(err, &declined)
}

// recordFailure logs and stores the failure of an attempt and reports whether to
// try again.
func (r *run) recordFailure(ctx context.Context, err error, peer string) bool {
	event.Log(r.d.opts.Log, event.AttemptFailed, event.Request(r.req.ID), event.Peer(peer), event.Err(err))
	if !fault.Is(err, fault.KindUnavailable) {
		r.mayHaveReached = true
	}
	var declined *wire.Failure
	if errors.As(err, &declined) {
		r.failure = declined
	} else {
		r.setFailure(http.StatusBadGateway, codeUpstream, "the backend server failed: %s", fault.KindOf(err))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.setFailure(http.StatusGatewayTimeout, codeDeadline, "the deadline has passed")
	}
	return ctx.Err() == nil && r.shouldRetry(err)
}

// shouldRetry reports whether a failed attempt may be followed by another. It may
// not if the caller disconnected or a started stream cannot be resumed. Only
// retries of requests that may have run are taken from the budget; retries of
// declined requests and resumed streams are not.
func (r *run) shouldRetry(err error) bool {
	switch {
	case fault.Is(err, fault.KindCanceled):
		return false
	case r.relay.Started():
		return r.relay.Resumable()
	case fault.Is(err, fault.KindUnavailable):
		return true
	}
	return r.d.budget.takeRetry()
}

// exchange sends the request to one server and relays the response. It returns nil
// if the caller has the whole response.
func (r *run) exchange(ctx context.Context, server *pool.Server, address string) error {
	start := time.Now()
	resp, err := r.d.opts.Forwarder.Send(ctx, address, r.call())
	if err != nil {
		return err
	}
	r.d.opts.Pool.Carry(server, len(r.req.Body), resp)
	defer resp.Body.Close()
	if r.req.Stream && r.req.Served != nil {
		now := time.Now()
		server.FirstToken(now.Sub(start), r.req.Served.Model.Target.FirstToken(), now)
	}
	if load, err := wire.ParseLoad(resp.Header.Get(wire.HeaderLoad)); err == nil {
		server.Observe(load, time.Now())
	}
	if notRun(resp) {
		return r.refusalError(resp, address)
	}
	if forward.IsStream(resp) {
		return r.relayStream(resp, address)
	}
	return r.writeResponse(resp, address)
}

// CallOf returns the forwarder call for the request.
func CallOf(req Request) forward.Call {
	c := forward.Call{
		Method:      req.Method,
		Path:        req.Path,
		ContentType: req.Type,
		Accept:      headerAcceptValue,
		Body:        req.Body,
		RequestID:   req.ID,
		Team:        req.Team,
		Priority:    req.Priority,
		Deadline:    req.Deadline,
		LastEventID: req.LastID,
	}
	if req.Served != nil {
		c.Artifact = req.Served.Artifact
	}
	return c
}

// call returns the call for the next attempt. A started stream resumes after the
// last relayed event.
func (r *run) call() forward.Call {
	c := CallOf(r.req)
	if id := r.relay.LastID(); id != "" {
		c.LastEventID = id
	}
	return c
}

// notRun reports whether the side process declined the request without running it.
func notRun(resp *http.Response) bool {
	return resp.Header.Get(wire.HeaderOutcome) == string(wire.OutcomeNotRun)
}

// refusalError returns the error for a request that the side process declined. Its
// kind is KindUnavailable, which means that nothing was run.
func (r *run) refusalError(resp *http.Response, address string) error {
	answer, err := forward.ReadResponse(resp, address)
	if err != nil {
		return fault.New(fault.KindUnavailable, "forward.refused", address, err)
	}
	return fault.New(fault.KindUnavailable, "forward.refused", address, FailureOf(answer))
}

// writeResponse reads the whole response and writes it to the caller. A server
// error in reply to an idempotent request is returned as an error, so that the
// request may be retried.
func (r *run) writeResponse(resp *http.Response, address string) error {
	answer, err := forward.ReadResponse(resp, address)
	if err != nil {
		return err
	}
	if answer.Status >= http.StatusInternalServerError && r.req.Idempotent {
		return fault.New(fault.KindUnknown, "forward.answer", address, FailureOf(answer))
	}
	answer.Write(r.w, wire.OutcomeCompleted)
	return nil
}

// relayStream copies a stream of events to the caller. The error is KindCanceled
// if the caller disconnected and KindUnknown if the stream broke.
func (r *run) relayStream(resp *http.Response, address string) error {
	err := r.relay.Copy(resp.Body)
	switch {
	case err == nil:
		r.relay.Finish(wire.OutcomeCompleted)
		return nil
	case forward.IsCallerDisconnected(err):
		return fault.New(fault.KindCanceled, "forward.stream", address, err)
	default:
		return fault.New(fault.KindUnknown, "forward.stream", address, err)
	}
}

// setFailure sets the failure to be returned unless a later attempt succeeds.
func (r *run) setFailure(status int, code, format string, args ...any) {
	r.failure = wire.NewFailure(status, "", code, format, args...).After(retryAfterUnavailable)
}

// result returns the failure to be written, or nil if the caller has its response.
// A stream that was started but not completed is aborted.
func (r *run) result() *wire.Failure {
	if r.answered {
		return nil
	}
	if r.relay.Started() {
		event.Log(r.d.opts.Log, event.StreamCut, event.Request(r.req.ID))
		r.relay.Abort()
	}
	r.failure.Outcome = wire.OutcomeNotRun
	if r.mayHaveReached {
		r.failure.Outcome = wire.OutcomeUnknown
	}
	return r.failure
}
