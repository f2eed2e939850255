package front

import (
	"context"
	"errors"
	"net/http"

	"peridotchute.example/admission/quarantine"
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/fault"
	"peridotchute.example/entry/direct/crashguard"
	"peridotchute.example/entry/direct/relay"
	"peridotchute.example/fleet"
)

// Guard knows on which prompt parts servers crash.
type Guard interface {
	Watch(ctx context.Context, parts []uint64, begun func() bool) (watched context.Context, stop func())
	Check(parts []uint64) *crashguard.QuarantinedError
	Lost(s *fleet.Server, lost quarantine.Lost)
	Answered(parts []uint64)
}

// quarantinedCause returns why ctx was canceled if that is a part of the request's prompt,
// and otherwise nil.
func quarantinedCause(ctx context.Context) *crashguard.QuarantinedError {
	var cause *crashguard.QuarantinedError
	errors.As(context.Cause(ctx), &cause)
	return cause
}

// quarantined returns the part of the request's prompt on which servers crash, or nil.
func (r *run) quarantined(ctx context.Context) *crashguard.QuarantinedError {
	if cause := quarantinedCause(ctx); cause != nil {
		return cause
	}
	return r.f.opts.Guard.Check(r.req.parts)
}

// refusalOf returns the refusal of a request with a quarantined part. Before the end of the
// quarantine no entry sends it.
func refusalOf(q *crashguard.QuarantinedError) refusal {
	return refusal{
		status:     http.StatusServiceUnavailable,
		retryAfter: q.Remaining,
		reason:     decisionlog.RefusedQuarantined,
		part:       q.Part,
	}
}

// reportLost reports an attempt that broke off after the request was sent, whose server may
// have crashed.
func (r *run) reportLost(ctx context.Context, a *attempt, err error) {
	if ctx.Err() != nil || isInvalid(err) {
		return
	}
	r.f.opts.Guard.Lost(a.ticket.Server, quarantine.Lost{ID: r.req.ID, Parts: r.req.parts, Sent: a.begun, Begun: a.brought.Load()})
}

// isInvalid reports whether the server sent something that is no answer, so that it is
// running.
func isInvalid(err error) bool {
	return fault.Is(err, fault.KindInvalid) || errors.Is(err, relay.ErrEventTooLong) || errors.Is(err, relay.ErrNoEventID)
}

// answered records that the server of the attempt has answered the request completely.
// A stream without an event does not count: its server may have ended before.
func (r *run) answered(a *attempt) {
	if a.brought.Load() {
		r.f.opts.Guard.Answered(r.req.parts)
	}
}
