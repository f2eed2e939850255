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

// run is one request on its way.
type run struct {
	d       *Dispatcher
	req     Request
	relay   *forward.Relay
	w       http.ResponseWriter
	exclude string
	failure *wire.Failure
	maySent bool // some attempt may have reached a backend server
	served  bool
}

// attempt sends the request once and reports whether another attempt makes sense.
func (r *run) attempt(ctx context.Context) bool {
	if time.Until(r.req.Deadline) < minimumLeft {
		r.fail(http.StatusGatewayTimeout, codeDeadline, "the deadline has passed")
		return false
	}
	server, err := r.d.Choose(r.req, r.exclude)
	if err != nil {
		r.fail(http.StatusServiceUnavailable, codeNoServer, "no backend server of pool %q is in reach", r.req.Pool)
		return false
	}
	end := server.Begin()
	vm := server.VM()
	err = r.exchange(ctx, server, vm.DataAddress)
	end(!serverFault(ctx, err))
	if err == nil {
		r.served = true
		return false
	}
	r.exclude = vm.Name
	return r.judge(ctx, err, vm.Name)
}

// serverFault reports whether a failed attempt speaks against the server: not
// when the caller left or its deadline passed, which under overload every
// server would be blamed for, and not when its side process answered and declined.
func serverFault(ctx context.Context, err error) bool {
	var told *wire.Failure
	return err != nil && ctx.Err() == nil && !fault.Is(err, fault.KindCanceled) && !errors.As(err, &told)
}

// judge records a failed attempt and reports whether to try again.
func (r *run) judge(ctx context.Context, err error, peer string) bool {
	event.Log(r.d.opts.Log, event.AttemptFailed, event.Request(r.req.ID), event.Peer(peer), event.Err(err))
	if !fault.Is(err, fault.KindUnavailable) {
		r.maySent = true
	}
	var told *wire.Failure
	if errors.As(err, &told) {
		r.failure = told
	} else {
		r.fail(http.StatusBadGateway, codeUpstream, "the backend server failed: %s", fault.KindOf(err))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.fail(http.StatusGatewayTimeout, codeDeadline, "the deadline has passed")
	}
	return ctx.Err() == nil && r.again(err)
}

// again reports whether a failed attempt may be followed by another: not when
// the caller has left or its stream cannot be resumed. A retry of work that a
// server took and did not answer is paid from the budget; refusals cost it
// nothing and resumed streams go on where they were.
func (r *run) again(err error) bool {
	switch {
	case fault.Is(err, fault.KindCanceled):
		return false
	case r.relay.Started():
		return r.relay.Resumable()
	case fault.Is(err, fault.KindUnavailable):
		return true
	}
	return r.d.budget.retry()
}

// exchange performs one attempt at one server.
func (r *run) exchange(ctx context.Context, server *pool.Server, address string) error {
	began := time.Now()
	resp, err := r.d.opts.Forwarder.Send(ctx, address, r.call())
	if err != nil {
		return err
	}
	r.d.opts.Pool.Carry(server, len(r.req.Body), resp)
	defer resp.Body.Close()
	if r.req.Stream && r.req.Served != nil {
		now := time.Now()
		server.FirstToken(now.Sub(began), r.req.Served.Model.Target.FirstToken(), now)
	}
	if load, err := wire.ParseLoad(resp.Header.Get(wire.HeaderLoad)); err == nil {
		server.Observe(load, time.Now())
	}
	if notRun(resp) {
		return r.refused(resp, address)
	}
	if forward.IsStream(resp) {
		return r.stream(resp, address)
	}
	return r.whole(resp, address)
}

// CallOf returns the call that carries the request.
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

func (r *run) call() forward.Call {
	c := CallOf(r.req)
	if id := r.relay.LastID(); id != "" {
		c.LastEventID = id
	}
	return c
}

// notRun reports whether the side process itself refused the request.
func notRun(resp *http.Response) bool {
	return resp.Header.Get(wire.HeaderOutcome) == string(wire.OutcomeNotRun)
}

// refused turns a refusal of the side process into an error after which
// nothing was run there.
func (r *run) refused(resp *http.Response, address string) error {
	answer, err := forward.ReadResponse(resp, address)
	if err != nil {
		return fault.New(fault.KindUnavailable, "forward.refused", address, err)
	}
	return fault.New(fault.KindUnavailable, "forward.refused", address, FailureOf(answer))
}

func (r *run) whole(resp *http.Response, address string) error {
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

func (r *run) stream(resp *http.Response, address string) error {
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

func (r *run) fail(status int, code, format string, args ...any) {
	r.failure = wire.NewFailure(status, "", code, format, args...).After(unavailableRetry)
}

// result returns the failure to be written, or nil when the caller has its
// answer. A stream that had begun is cut.
func (r *run) result() *wire.Failure {
	if r.served {
		return nil
	}
	if r.relay.Started() {
		event.Log(r.d.opts.Log, event.StreamCut, event.Request(r.req.ID))
		r.relay.Abort()
	}
	r.failure.Outcome = wire.OutcomeNotRun
	if r.maySent {
		r.failure.Outcome = wire.OutcomeUnknown
	}
	return r.failure
}
