package action

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
	"peridotchute.example/entry/serving/dispatch"
	"peridotchute.example/entry/serving/forward"
	"peridotchute.example/entry/serving/pool"
	"peridotchute.example/idempotency"
)

const (
	maxAnswerBytes  = 64 << 20 // longest answer of an action, streamed or not
	readBufferBytes = 32 << 10
)

// sender is the Sender of one request.
type sender struct {
	server *Server
	req    dispatch.Request
	out    *sink
	sent   bool // an attempt may have been started
}

// Choose picks a backend server of the request's pool other than exclude.
func (s *sender) Choose(exclude string) idempotency.Event {
	server, err := s.server.opts.Dispatcher.Choose(s.req, exclude)
	if err != nil {
		return idempotency.NoServer{}
	}
	incarnation := server.Incarnation()
	if incarnation == "" {
		return idempotency.NoServer{}
	}
	return idempotency.Chosen{Server: server.VM().Name, Incarnation: incarnation}
}

// Send sends the attempt to the server of its claim and waits for the result
// until the deadline of the request.
func (s *sender) Send(ctx context.Context, rec idempotency.Record) idempotency.Event {
	server, ok := s.server.opts.Pool.Server(rec.Server)
	if !ok {
		return idempotency.NotStarted{Reason: "the backend server has left"}
	}
	ctx, cancel := context.WithDeadline(ctx, s.req.Deadline)
	defer cancel()
	end := server.Begin()
	ev := s.exchange(ctx, server, rec)
	_, answered := ev.(idempotency.Answered)
	end(answered)
	return ev
}

func (s *sender) exchange(ctx context.Context, server *pool.Server, rec idempotency.Record) idempotency.Event {
	resp, err := s.server.opts.Forwarder.Send(ctx, server.VM().DataAddress, s.call(rec))
	switch {
	case fault.Is(err, fault.KindUnavailable) || fault.Is(err, fault.KindInternal):
		return idempotency.NotStarted{Reason: err.Error()}
	case err != nil:
		s.sent = true
		return idempotency.Broken{Reason: err.Error()}
	}
	s.server.opts.Pool.AccountTraffic(server, len(s.req.Body), resp)
	defer resp.Body.Close()
	if load, err := wire.ParseLoad(resp.Header.Get(wire.HeaderLoad)); err == nil {
		server.ObserveLoad(load, time.Now())
	}
	switch wire.Outcome(resp.Header.Get(wire.HeaderOutcome)) {
	case wire.OutcomeNotRun:
		return notStarted(resp, rec.Server)
	case wire.OutcomeUnknown:
		s.sent = true
		return idempotency.Broken{Reason: "the side process does not know"}
	}
	s.sent = true
	return s.receive(resp)
}

func (s *sender) call(rec idempotency.Record) forward.Call {
	c := dispatch.CallOf(s.req)
	claim := rec.Claim()
	c.Claim = &claim
	return c
}

// notStarted returns the event of an attempt that the side process refused, with
// the reason from the response.
func notStarted(resp *http.Response, peer string) idempotency.Event {
	answer, err := forward.ReadResponse(resp, peer)
	if err != nil {
		return idempotency.NotStarted{Reason: "refused"}
	}
	f := dispatch.FailureOf(answer)
	return idempotency.NotStarted{Reason: f.Detail.Code + ": " + f.Detail.Message}
}

// receive reads the answer. A streamed answer is relayed to the caller as it arrives.
func (s *sender) receive(resp *http.Response) idempotency.Event {
	answer := &wire.Answer{Status: resp.StatusCode, Header: wire.EndToEnd(resp.Header)}
	stream := forward.IsStream(resp)
	if stream {
		s.out.begin(answer.Status, answer.Header)
	}
	buf := make([]byte, readBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		answer.Body = append(answer.Body, buf[:n]...)
		if stream && n > 0 {
			s.out.write(buf[:n])
		}
		switch {
		case errors.Is(err, io.EOF):
			return idempotency.Answered{Answer: answer}
		case err != nil:
			return idempotency.Broken{Reason: err.Error()}
		case len(answer.Body) > maxAnswerBytes:
			return idempotency.Broken{Reason: "the answer is too long"}
		}
	}
}
