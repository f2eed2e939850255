package admission

import (
	"slices"
	"time"
)

// A server crashes or turns slow while many wait for it: expectations are made
// anew for the whole line, and what now waits in vain is rejected at once.

// plan reserves servers for all waiting requests anew, in their order.
func (l *Line[T]) plan(now time.Time, offers Offers[T]) {
	l.planAt = now.Add(planEvery)
	l.vain = l.vain[:0]
	l.sort(now)
	var all []*entry[T]
	for _, f := range l.order {
		all = append(all, f.timely...)
		all = append(all, f.late...)
	}
	slices.SortStableFunc(all, func(a, b *entry[T]) int { return compareEntries(a, b, now) })
	for _, e := range all {
		e.release()
	}
	for _, e := range all {
		o, found := offers(e.item, true)
		if found {
			e.expect(&o)
		}
		if v := l.judgeAgain(e, &o, found, now); v.Action == Reject {
			v.Wait = o.Wait
			l.vain = append(l.vain, vain[T]{e, Outcome[T]{Verdict: v, Item: e.item}})
			continue
		}
		if found {
			e.reserve(&o)
		}
	}
}

// judgeAgain is judge for a request that was let in.
func (l *Line[T]) judgeAgain(e *entry[T], o *Offer, found bool, now time.Time) Verdict {
	left := e.w.Deadline.Sub(now)
	switch {
	case !found && !e.mayAppear(now):
		return comeBack("no server holds the model or loads it", left/returnShare, left)
	case found && o.Wait+e.rest > left && !l.shares.mayStarve(e.class):
		return comeBack("expected after its deadline", o.Wait, left)
	}
	return Verdict{Action: Queue}
}
