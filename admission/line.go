package admission

import "time"

// More requests than servers can begin with in time: they wait here, where the
// order can still change and a refusal still promises that they have not run,
// and not in a server's queue.

// Waiter is what matters of a request that may wait for a server.
type Waiter struct {
	Kind      string    // the route
	Flow      uint64    // requests that suit the same servers: model, adapter and shared prompt parts
	Session   uint64    // 0 means none
	Priority  int       // 0 is the most urgent
	Resumed   bool      // a broken stream that goes on; Objective is when its next event is due
	Arrived   time.Time // first seen
	Objective time.Time // the first event is due
	Deadline  time.Time // the whole answer is due: the client's deadline or the route's timeout
	Tokens    int       // expected after the first event
	Size      float64   // against others of its kind; 0 when they are alike
}

// Outcome is the verdict on one request of a line.
type Outcome[T any] struct {
	Verdict
	Item  T
	Offer Offer // of the server to send to when Admit, of the planned one when Queue
}

const (
	backlogShare  = 0.12                   // of the objective: a server's queue short enough to begin in time
	leastBacklog  = 60 * time.Millisecond  // keeps a server busy until news of it have come back
	mostBacklog   = 400 * time.Millisecond // beyond, order matters more than any gain
	lateShare     = 0.3                    // of the time left: what is late through others is let in only if it ends within it
	sessionTurn   = 100 * time.Millisecond // a session's further requests go so much later
	serverMissing = 8                      // part of the objective for which a server may come up
	soonestReturn = 100 * time.Millisecond // less is no relief
	returnShare   = 3                      // clients wait at most this part of the time left
	planEvery     = 200 * time.Millisecond // expectations are renewed as often as entries tell each other
	mostWaiting   = 4000                   // requests; bounds the memory
)

// Line is the requests of one service that wait in an entry for its servers. It
// is not safe for concurrent use. After Arrive, Changed or the time of Wake,
// call Next until it reports false, and record each Admit in the server's Batch
// before the next call:
//
//	if out := line.Arrive(req, waiter, now, offers); out.Action == admission.Reject { ... }
//	for out, ok := line.Next(now, offers); ok; out, ok = line.Next(now, offers) {
//		if out.Action == admission.Admit {
//			out.Offer.Batch.Sent(routing.Sending{Work: out.Offer.Work, Tokens: tokens}, now)
//		}
//	}
type Line[T any] struct {
	flows    map[flowKey]*flow[T]
	order    []*flow[T] // scratch of Next
	size     int
	sessions map[uint64]int // waiting requests of each
	shares   *shares
	vain     []vain[T] // found to wait in vain by the last plan
	planAt   time.Time
}

type vain[T any] struct {
	entry *entry[T]
	out   Outcome[T]
}

// NewLine returns an empty line.
func NewLine[T any]() *Line[T] {
	return &Line[T]{flows: map[flowKey]*flow[T]{}, sessions: map[uint64]int{}, shares: newShares()}
}

// Len returns how many requests wait.
func (l *Line[T]) Len() int { return l.size }

// Arrive takes a new request into the line or rejects it at once.
func (l *Line[T]) Arrive(item T, w Waiter, now time.Time, offers Offers[T]) Outcome[T] {
	offer, found := offers(item, true)
	e := newEntry(item, w, &offer)
	e.class = l.shares.arrived(w.Kind, w.Size)
	if v := l.judge(e, &offer, found, now); v.Action == Reject {
		v.Wait = offer.Wait
		return Outcome[T]{Verdict: v, Item: item}
	}
	if found {
		e.reserve(&offer)
	}
	l.add(e)
	return Outcome[T]{Verdict: Verdict{Action: Queue, Reason: "waits for its turn"}, Item: item, Offer: offer}
}

// judge says whether a request may wait, given the server planned for it.
func (l *Line[T]) judge(e *entry[T], o *Offer, found bool, now time.Time) Verdict {
	left := e.w.Deadline.Sub(now)
	switch {
	case l.size >= mostWaiting:
		return comeBack("too many wait", o.Wait, left)
	case !found && e.mayAppear(now):
		return Verdict{Action: Queue}
	case !found:
		return comeBack("no server holds the model or loads it", left/returnShare, left)
	case o.Never:
		return comeBack("larger than any server's memory", left/returnShare, left)
	case e.first+e.rest > left:
		return comeBack("the time left does not suffice", left/returnShare, left)
	case e.w.Resumed || l.shares.mayStarve(e.class):
		return Verdict{Action: Queue}
	case o.Wait+e.rest > left:
		return comeBack("expected after its deadline", o.Wait, left)
	case e.crowdedOut(o, now):
		return comeBack("expected late for the requests before it", o.Wait, left)
	}
	return Verdict{Action: Queue}
}

// crowdedOut reports whether the requests before this one make it late by so
// much that it would only be in the way of those that can be in time. A load
// in progress is waited for: it is no better to come back after it.
func (e *entry[T]) crowdedOut(o *Offer, now time.Time) bool {
	if o.Backlog <= backlogBound(&e.w) || !now.Add(o.Wait-o.Load).After(e.w.Objective) {
		return false
	}
	left := e.w.Deadline.Sub(now)
	return o.Wait-o.Load+e.rest > time.Duration(float64(left)*lateShare)
}

// comeBack rejects a request that is expected to be served after wait.
func comeBack(reason string, wait, left time.Duration) Verdict {
	after := max(min(wait, left/returnShare), soonestReturn)
	return Verdict{Action: Reject, Reason: reason, RetryAfter: after}
}

// Next returns the next verdict on a waiting request: Admit with the server to
// send it to, or Reject. It reports false when all that are left go on waiting.
func (l *Line[T]) Next(now time.Time, offers Offers[T]) (Outcome[T], bool) {
	if l.size == 0 {
		return Outcome[T]{}, false
	}
	if !now.Before(l.planAt) {
		l.plan(now, offers)
	}
	if n := len(l.vain); n > 0 {
		v := l.vain[n-1]
		l.vain = l.vain[:n-1]
		l.drop(v.entry)
		return v.out, true
	}
	l.sort(now)
	if out, ok := l.expired(now); ok {
		return out, true
	}
	return l.admit(now, offers)
}

// expired rejects a request whose time no longer suffices.
func (l *Line[T]) expired(now time.Time) (Outcome[T], bool) {
	for _, f := range l.order {
		if len(f.late) == 0 || now.Before(f.late[0].last) {
			continue
		}
		e := f.late[0]
		l.drop(e)
		left := e.w.Deadline.Sub(now)
		return Outcome[T]{Verdict: comeBack("the time left does not suffice", left/returnShare, left), Item: e.item}, true
	}
	return Outcome[T]{}, false
}

// admit sends the first request in order whose server has room. A server that
// an earlier request waits for is left to it.
func (l *Line[T]) admit(now time.Time, offers Offers[T]) (Outcome[T], bool) {
	var awaited [maxAwaited]string
	n := 0
	for _, f := range l.order {
		if !now.Before(f.askAt) {
			e := f.head()
			o, found := offers(e.item, false)
			if found && o.ready(&e.w, f.starves) && !contains(awaited[:n], o.Server) {
				l.drop(e)
				l.shares.served(e.class)
				return Outcome[T]{Verdict: Verdict{Action: Admit, Reason: "server has room"}, Item: e.item, Offer: o}, true
			}
			f.await(&o, found, now)
		}
		if n < maxAwaited && f.server != "" {
			awaited[n] = f.server
			n++
		}
	}
	return Outcome[T]{}, false
}

// Changed notes that a server has news: progress, a model, its end. The empty
// name means all servers.
func (l *Line[T]) Changed(server string) {
	for _, f := range l.flows {
		if server == "" || f.server == "" || f.server == server {
			f.askAt = time.Time{}
		}
	}
}

// Lost notes that servers were lost, so that what now waits in vain is rejected at once.
func (l *Line[T]) Lost() {
	l.planAt = time.Time{}
	l.Changed("")
}

// Remove takes out the requests that match, for instance those whose client
// has left, and returns how many.
func (l *Line[T]) Remove(match func(T) bool) int {
	removed := 0
	for _, f := range l.flows {
		for _, list := range [][]*entry[T]{f.timely, f.late} {
			for _, e := range append([]*entry[T](nil), list...) {
				if match(e.item) {
					l.drop(e)
					removed++
				}
			}
		}
	}
	l.vain = nil
	return removed
}

// Wake returns when Next should be called without any other cause; the zero
// time while nothing waits.
func (l *Line[T]) Wake() time.Time {
	if l.size == 0 {
		return time.Time{}
	}
	wake := l.planAt
	for _, f := range l.flows {
		wake = f.sooner(wake)
	}
	return wake
}
