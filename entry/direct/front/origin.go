package front

import (
	"cmp"
	"context"
	"net/http"
	"strings"
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/origins"
	"peridotchute.example/fleet"
)

// Invariant: a stream holds events of one software version only, over all requests
// with which its client resumes it. A resumable stream goes on at the version that
// brought its first event, or not at all.

// findOrigin finds the software version that began the stream which the client
// resumes. It refuses the request and returns false if that is not known.
func (r *run) findOrigin(ctx context.Context) bool {
	found := r.f.opts.Origins.Find(ctx, r.req.service, r.splitArtifact(), r.req.Resumes)
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
	r.f.opts.Origins.Began(r.req.service, r.splitArtifact(), cmp.Or(r.req.Resumes, r.req.ID), software)
}

// splitArtifact returns the model and adapter by which splits divide the request's stream among the
// versions, or "" if none applies to it.
func (r *run) splitArtifact() string {
	if t := r.req.route.Timeout; t <= 0 || t > origins.MaxSplitTimeout {
		return ""
	}
	return strings.TrimSuffix(r.req.Model+"/"+r.req.Adapter, "/")
}

// beginsStream reports whether the request may begin a stream that its client can resume.
func (r *run) beginsStream() bool {
	return r.req.route.RetryPolicy == fleet.RetryResume && !r.req.resumesStream() && !r.begun.Load()
}

// restrict limits a query to the software version that the request is bound to. Of a stream that
// begins it sets the version at which no event is held back.
func (r *run) restrict(q *balance.Query) {
	q.Software = r.software
	if r.software != "" || !r.beginsStream() {
		return
	}
	switch a := r.f.opts.Origins.Assigned(r.req.service, r.splitArtifact(), r.req.ID); {
	case a.Required:
		q.Software = a.Software
	default:
		q.Preferred, q.Hold = a.Software, a.Hold
	}
}

// awaitDurable holds the first event of a stream back until any entry can find out its version
// after this one has ended. Another version may have been recorded since the attempt began, for a
// server that was to take the request over and failed. The attempt must have been claimed.
func (r *run) awaitDurable(ctx context.Context, a *attempt) error {
	if !r.beginsStream() {
		return nil
	}
	r.recordOrigin(a)
	start := time.Now()
	err := r.f.opts.Origins.AwaitDurable(ctx, r.req.service, r.splitArtifact(), r.req.ID, a.ticket.Server.Software)
	r.record.end.Held += time.Since(start)
	return err
}

// beginElsewhere ends an attempt whose first event was held back for too long, and reports whether
// to try again, at a version that needs no record.
func (r *run) beginElsewhere(ctx context.Context, a *attempt, err error) bool {
	r.recordFailure(ctx, a, 0, err)
	r.mayHaveRun = true
	return r.mayRetry(ctx) || r.finishWithError(ctx, refusal{status: http.StatusBadGateway, reason: notDurableReason})
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
