package front

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"peridotchute.example/admission/quarantine"
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/fault"
	"peridotchute.example/entry/direct/crashguard"
	"peridotchute.example/entry/direct/relay"
	"peridotchute.example/fleet"
)

// Guard knows on which parts of prompts and on which requests servers crash.
type Guard interface {
	Watch(ctx context.Context, c quarantine.Contents, begun func() bool) (watched context.Context, stop func())
	Check(c quarantine.Contents) *crashguard.QuarantinedError
	Lost(s *fleet.Server, lost quarantine.Lost)
	Answered(c quarantine.Contents)
}

// contents returns what the request holds on which servers may crash.
func (q *request) contents() quarantine.Contents {
	return quarantine.Contents{Service: q.service, Parts: q.parts, Digest: q.digest}
}

// quarantinedCause returns why ctx was canceled if servers crash on the request or a part of
// its prompt, and otherwise nil.
func quarantinedCause(ctx context.Context) *crashguard.QuarantinedError {
	var cause *crashguard.QuarantinedError
	errors.As(context.Cause(ctx), &cause)
	return cause
}

// quarantined returns what the request holds on which servers crash, or nil.
func (r *run) quarantined(ctx context.Context) *crashguard.QuarantinedError {
	if cause := quarantinedCause(ctx); cause != nil {
		return cause
	}
	return r.f.opts.Guard.Check(r.req.contents())
}

// refusalOf returns the refusal of a quarantined request. Before the end of the quarantine no
// entry sends it.
func refusalOf(q *crashguard.QuarantinedError) refusal {
	r := refusal{
		status:     http.StatusServiceUnavailable,
		retryAfter: q.Remaining,
		reason:     decisionlog.RefusedPart,
		cause:      decisionlog.Cause{Part: q.Cause.ID},
	}
	if q.Cause.Kind == quarantine.WholeRequest {
		r.reason, r.cause = decisionlog.RefusedRequest, decisionlog.Cause{Digest: q.Cause.ID}
	}
	return r
}

// withheldOf returns why a quarantined request is not sent again.
func withheldOf(q *crashguard.QuarantinedError) decisionlog.WithheldReason {
	if q.Cause.Kind == quarantine.WholeRequest {
		return decisionlog.WithheldRequest
	}
	return decisionlog.WithheldPart
}

// reportLost reports an attempt that broke off after the request was sent, whose server may
// have crashed.
func (r *run) reportLost(ctx context.Context, a *attempt, err error) {
	if ctx.Err() != nil || isInvalid(err) {
		return
	}
	r.f.opts.Guard.Lost(a.ticket.Server, quarantine.Lost{
		ID:     r.req.ID,
		Digest: r.req.digest(),
		Parts:  r.req.parts,
		Sent:   a.begun,
		Begun:  a.brought.Load(),
	})
}

// isInvalid reports whether the server sent something that is no answer, so that it is
// running.
func isInvalid(err error) bool {
	invalid := []error{relay.ErrEventTooLong, relay.ErrNoEventID, relay.ErrForeignBytes, relay.ErrEventOrder, errNoEvent}
	return fault.Is(err, fault.KindInvalid) || slices.ContainsFunc(invalid, func(i error) bool { return errors.Is(err, i) })
}

// answered records that the server of the attempt has answered the request completely.
// A stream without an event does not count: its server may have ended before.
func (r *run) answered(a *attempt) {
	if a.brought.Load() {
		r.f.opts.Guard.Answered(r.req.contents())
	}
}
