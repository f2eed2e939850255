package admission

import (
	"slices"
	"time"

	"peridotchute.example/routing"
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
	case found && o.Wait+e.w.Rest > left && !l.shares.mayStarve(e.w.Kind):
		return comeBack("expected after its deadline", o.Wait, left)
	}
	return Verdict{Action: Queue}
}

// promises are kept for clients that were told when to come back, so that
// those who arrive meanwhile do not take their turn. A client that comes back
// cannot be recognised: the next request of its flow redeems the promise.
type promises struct{ list []promise }

type promise struct {
	flow     uint64
	due      time.Time
	batch    *routing.Batch
	priority int
	work     time.Duration
}

const (
	promiseKept  = 500 * time.Millisecond // clients come back that much late, over a new connection
	mostPromises = 200                    // bounds the capacity that may be kept in vain
	promiseEarly = 20 * time.Millisecond  // clocks and rounding
)

// make reserves the work of a rejected request on the server planned for it.
func (p *promises) make(w *Waiter, o *Offer, due time.Time) {
	if len(p.list) >= mostPromises || o.Batch == nil {
		return
	}
	o.Batch.Reserve(w.Priority, o.Work)
	p.list = append(p.list, promise{w.Flow, due, o.Batch, w.Priority, o.Work})
}

// redeem ends the oldest promise that a request of a flow may have been given.
func (p *promises) redeem(flow uint64, now time.Time) bool {
	for i, given := range p.list {
		if given.flow == flow && !now.Add(promiseEarly).Before(given.due) {
			p.end(i)
			return true
		}
	}
	return false
}

// expire ends the promises that nobody came back for.
func (p *promises) expire(now time.Time) {
	for i := len(p.list) - 1; i >= 0; i-- {
		if now.After(p.list[i].due.Add(promiseKept)) {
			p.end(i)
		}
	}
}

func (p *promises) end(i int) {
	given := p.list[i]
	given.batch.Reserve(given.priority, -given.work)
	p.list = slices.Delete(p.list, i, i+1)
}
