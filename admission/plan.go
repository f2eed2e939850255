package admission

import (
	"slices"
	"time"
)

// plan reserves server time for all waiting requests again, in their order. If a
// server has failed or slowed down, it finds the requests that can no longer be
// served in time, and Next rejects them at once.
func (q *Line[T]) plan(now time.Time, offers Offers[T]) {
	q.planAt = now.Add(planInterval)
	q.rejections = q.rejections[:0]
	q.sort(now)
	var all []*queuedRequest[T]
	for _, f := range q.order {
		all = append(all, f.onTime...)
		all = append(all, f.late...)
	}
	slices.SortStableFunc(all, func(a, b *queuedRequest[T]) int { return compareRequests(a, b, now) })
	for _, r := range all {
		r.release()
	}
	for _, r := range all {
		o, found := offers(r.item, true)
		if found {
			r.setEstimates(&o)
		}
		if v := q.checkWaiting(r, &o, found, now); v.Action == Reject {
			v.Wait = o.Wait
			q.rejections = append(q.rejections, rejection[T]{r, Outcome[T]{Verdict: v, Item: r.item}})
			continue
		}
		if found {
			r.reserve(&o)
		}
	}
}

// checkWaiting decides whether a request that already waits may go on waiting.
func (q *Line[T]) checkWaiting(r *queuedRequest[T], o *Offer, found bool, now time.Time) Verdict {
	left := r.w.Deadline.Sub(now)
	switch {
	case !found && !r.mayGetServer(now):
		return rejectUntil("no server has or is loading the model", left/retryAfterDivisor, left)
	case found && o.Wait+r.streamTime > left && !q.shares.queueRegardless(r.class):
		return rejectUntil("expected after its deadline", o.Wait, left)
	}
	return Verdict{Action: Queue}
}
