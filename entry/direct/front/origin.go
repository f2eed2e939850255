package front

import (
	"cmp"
	"context"
	"net/http"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/entry/direct/origins"
	"peridotchute.example/fleet"
)

// Invariant: a stream holds events of one software version only, over all requests
// with which its client resumes it. A resumable stream goes on at the version that
// brought its first event, or not at all.

// findOrigin finds the software version that began the stream which the client
// resumes. It refuses the request and returns false if that is not known.
func (r *run) findOrigin(ctx context.Context) bool {
	found := r.f.opts.Origins.Find(ctx, r.req.service, r.req.Resumes)
	r.record.originSought(found)
	if found.Origin == origins.Unknown {
		return r.finishWithError(ctx, refusal{status: http.StatusServiceUnavailable, retryAfter: busyRetryAfter, reason: decisionlog.RefusedVersionUnknown})
	}
	r.software = found.Software
	return true
}

// recordOrigin records the software version of the attempt's server, so that the
// record has reached other entries when the first event reaches the client.
func (r *run) recordOrigin(a *attempt) {
	software := a.ticket.Server.Software
	if r.req.route.RetryPolicy != fleet.RetryResume || r.recorded == software {
		return
	}
	r.recorded = software
	r.f.opts.Origins.Began(r.req.service, cmp.Or(r.req.Resumes, r.req.ID), software)
}

// bindSoftware binds the stream to the software version of the server that brought
// its first event. Another version may have been recorded since, for a server that was
// to take the request over and failed.
func (r *run) bindSoftware(a *attempt) {
	if r.software == "" {
		r.software = a.ticket.Server.Software
		r.recordOrigin(a)
	}
}
