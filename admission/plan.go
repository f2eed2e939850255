package admission

import (
	"slices"
	"time"
)

// plan reserves server time for all waiting requests again, in their order. If a
// server has failed or slowed down, it finds the requests that can no longer be
// served in time, and Next rejects them at once.
func (l *Line[T]) plan(now time.Time, offers Offers[T]) {
	l.planAt = now.Add(planInterval)
	l.rejections = l.rejections[:0]
	l.sort(now)
	var all []*queuedRequest[T]
	for _, f := range l.order {
		all = append(all, f.onTime...)
		all = append(all, f.late...)
	}
	slices.SortStableFunc(all, func(a, b *queuedRequest[T]) int { return compareRequests(a, b, now) })
	for _, e := range all {
		e.release()
	}
	for _, e := range all {
		o, found := offers(e.item, true)
		if found {
			e.setEstimates(&o)
		}
		if v := l.checkWaiting(e, &o, found, now); v.Action == Reject {
			v.Wait = o.Wait
			l.rejections = append(l.rejections, rejection[T]{e, Outcome[T]{Verdict: v, Item: e.item}})
			continue
		}
		if found {
			e.reserve(&o)
		}
	}
}

// checkWaiting decides whether a request that already waits may go on waiting.
func (l *Line[T]) checkWaiting(e *queuedRequest[T], o *Offer, found bool, now time.Time) Verdict {
	left := e.w.Deadline.Sub(now)
	switch {
	case !found && !e.mayGetServer(now):
		return rejectUntil("no server holds the model or loads it", left/retryAfterDivisor, left)
	case found && o.Wait+e.streamTime > left && !l.shares.queueRegardless(e.class):
		return rejectUntil("expected after its deadline", o.Wait, left)
	}
	return Verdict{Action: Queue}
}
