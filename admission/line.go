package admission

import "time"

// Requests that exceed the servers' capacity wait here instead of in the
// servers' queues: here they can be reordered, and a rejection guarantees that
// the request has not run.

// Waiter describes a request that may wait for a server.
type Waiter struct {
	Kind      string    // name of the route; each kind gets a minimum share
	Flow      uint64    // hash of model, adapter and shared prompt parts, which decide the servers
	Session   uint64    // 0 means none
	Priority  int       // 0 is the most urgent
	Resumed   bool      // continues a broken stream; Objective is when its next event is due
	Arrived   time.Time // when the request arrived
	Objective time.Time // when the first event is due
	Deadline  time.Time // when the whole answer is due: the client's deadline or the route's timeout
	Tokens    int       // tokens expected after the first event
	Size      float64   // relative to other requests of the kind; 0 if all are alike
}

// Outcome is the verdict on one request of a queue.
type Outcome[T any] struct {
	Verdict
	Item  T
	Offer Offer // the server to send to if Action is Admit, the planned one if Queue
}

const (
	backlogShare       = 0.12                   // share of the objective that a server's backlog may take
	minBacklog         = 60 * time.Millisecond  // keeps a server busy until its progress is reported
	maxBacklog         = 400 * time.Millisecond // a longer backlog gains less than reordering in the queue
	maxLateShare       = 0.3                    // share of the time left in which a request delayed by others must end
	sessionDelay       = 100 * time.Millisecond // for each earlier waiting request of the session
	serverWaitDivisor  = 8                      // a request without a server waits for this fraction of its objective
	minQueueRetryAfter = 100 * time.Millisecond // earlier retries would not relieve the queue
	retryAfterDivisor  = 3                      // RetryAfter is at most this fraction of the time left
	planInterval       = 200 * time.Millisecond // as often as entries exchange their loads
	maxWaiting         = 4000                   // requests; bounds the memory
)

// Line is a priority queue of the requests of one service that wait in an entry
// for a server. It is not safe for concurrent use. After Arrive, Changed or
// Lost, and at the time that Wake returns, call Next until it returns false.
// Record each admitted request in the server's Batch before the next call:
//
//	if out := queue.Arrive(req, waiter, now, offers); out.Action == admission.Reject { ... }
//	for out, ok := queue.Next(now, offers); ok; out, ok = queue.Next(now, offers) {
//		if out.Action == admission.Admit {
//			out.Offer.Batch.Sent(routing.Sending{Work: out.Offer.Work, Tokens: tokens}, now)
//		}
//	}
type Line[T any] struct {
	flows      map[flowKey]*flow[T]
	order      []*flow[T] // reused by Next
	size       int
	sessions   map[uint64]int // number of waiting requests by session
	shares     *shares
	rejections []rejection[T] // found by the last plan, not returned yet
	planAt     time.Time      // when to plan again
}

type rejection[T any] struct {
	request *queuedRequest[T]
	out     Outcome[T]
}

// NewLine returns an empty queue.
func NewLine[T any]() *Line[T] {
	return &Line[T]{flows: map[flowKey]*flow[T]{}, sessions: map[uint64]int{}, shares: newShares()}
}

// Len returns the number of waiting requests.
func (q *Line[T]) Len() int { return q.size }

// Arrive queues a new request or rejects it. It never admits one; Next does.
func (q *Line[T]) Arrive(item T, w Waiter, now time.Time, offers Offers[T]) Outcome[T] {
	offer, found := offers(item, true)
	r := newQueuedRequest(item, w, &offer)
	r.class = q.shares.countArrival(w.Kind, w.Size)
	if v := q.checkArrival(r, &offer, found, now); v.Action == Reject {
		v.Wait = offer.Wait
		return Outcome[T]{Verdict: v, Item: item}
	}
	if found {
		r.reserve(&offer)
	}
	q.add(r)
	return Outcome[T]{Verdict: Verdict{Action: Queue, Reason: "waiting for a server"}, Item: item, Offer: offer}
}

// checkArrival decides whether a new request may wait, given the offer for it.
func (q *Line[T]) checkArrival(r *queuedRequest[T], o *Offer, found bool, now time.Time) Verdict {
	left := r.w.Deadline.Sub(now)
	switch {
	case q.size >= maxWaiting:
		return rejectUntil("too many requests waiting", o.Wait, left)
	case !found && r.mayGetServer(now):
		return Verdict{Action: Queue}
	case !found:
		return rejectUntil("no server has or is loading the model", left/retryAfterDivisor, left)
	case o.Never:
		return rejectUntil("larger than any server's memory", left/retryAfterDivisor, left)
	case r.timeToFirst+r.streamTime > left:
		return rejectUntil("the time left does not suffice", left/retryAfterDivisor, left)
	case r.w.Resumed || q.shares.queueRegardless(r.class):
		return Verdict{Action: Queue}
	case o.Wait+r.streamTime > left:
		return rejectUntil("expected after its deadline", o.Wait, left)
	case r.delayedTooLong(o, now):
		return rejectUntil("expected late for the requests before it", o.Wait, left)
	}
	return Verdict{Action: Queue}
}

// delayedTooLong reports whether the requests ahead delay this one so far past
// its objective that it would only slow down requests that can be on time. The
// time of a load doesn't count: a retry would have to wait for it as well.
func (r *queuedRequest[T]) delayedTooLong(o *Offer, now time.Time) bool {
	if o.Backlog <= backlogBound(&r.w) || !now.Add(o.Wait-o.Load).After(r.w.Objective) {
		return false
	}
	left := r.w.Deadline.Sub(now)
	return o.Wait-o.Load+r.streamTime > time.Duration(float64(left)*maxLateShare)
}

// rejectUntil returns a rejection whose RetryAfter is the expected wait, within
// bounds. left is the time until the request's deadline.
func rejectUntil(reason string, wait, left time.Duration) Verdict {
	after := max(min(wait, left/retryAfterDivisor), minQueueRetryAfter)
	return Verdict{Action: Reject, Reason: reason, RetryAfter: after}
}

// Next removes one request from the queue and returns its verdict: Admit with
// the server to send it to, or Reject. It returns false if all remaining
// requests have to wait.
func (q *Line[T]) Next(now time.Time, offers Offers[T]) (Outcome[T], bool) {
	if q.size == 0 {
		return Outcome[T]{}, false
	}
	if !now.Before(q.planAt) {
		q.plan(now, offers)
	}
	if n := len(q.rejections); n > 0 {
		v := q.rejections[n-1]
		q.rejections = q.rejections[:n-1]
		q.drop(v.request)
		return v.out, true
	}
	q.sort(now)
	if out, ok := q.expired(now); ok {
		return out, true
	}
	return q.admit(now, offers)
}

// expired removes and rejects a request that can no longer meet its deadline.
func (q *Line[T]) expired(now time.Time) (Outcome[T], bool) {
	for _, f := range q.order {
		if len(f.late) == 0 || now.Before(f.late[0].startForDeadline) {
			continue
		}
		r := f.late[0]
		q.drop(r)
		left := r.w.Deadline.Sub(now)
		return Outcome[T]{Verdict: rejectUntil("the time left does not suffice", left/retryAfterDivisor, left), Item: r.item}, true
	}
	return Outcome[T]{}, false
}

// admit removes and admits the first request in order whose server is ready. A
// server that an earlier request waits for is skipped.
func (q *Line[T]) admit(now time.Time, offers Offers[T]) (Outcome[T], bool) {
	var awaited [maxAwaited]string
	n := 0
	for _, f := range q.order {
		if !now.Before(f.nextCheck) {
			r := f.head()
			o, found := offers(r.item, false)
			if found && o.ready(&r.w, f.starves) && !contains(awaited[:n], o.Server) {
				q.drop(r)
				q.shares.countAdmitted(r.class)
				return Outcome[T]{Verdict: Verdict{Action: Admit, Reason: "server has capacity"}, Item: r.item, Offer: o}, true
			}
			f.recordWait(&o, found, now)
		}
		if n < maxAwaited && f.awaitedServer != "" {
			awaited[n] = f.awaitedServer
			n++
		}
	}
	return Outcome[T]{}, false
}

// Changed must be called when a server has made progress, has loaded a model or
// has been removed. The empty name means all servers.
func (q *Line[T]) Changed(server string) {
	for _, f := range q.flows {
		if server == "" || f.awaitedServer == "" || f.awaitedServer == server {
			f.nextCheck = time.Time{}
		}
	}
}

// Lost must be called when servers have failed. The next call of Next plans
// again and rejects the requests that can no longer be served in time.
func (q *Line[T]) Lost() {
	q.planAt = time.Time{}
	q.Changed("")
}

// Remove removes all matching requests, for instance those whose client has
// disconnected, and returns their number.
func (q *Line[T]) Remove(match func(T) bool) int {
	removed := 0
	for _, f := range q.flows {
		for _, list := range [][]*queuedRequest[T]{f.onTime, f.late} {
			for _, r := range append([]*queuedRequest[T](nil), list...) {
				if match(r.item) {
					q.drop(r)
					removed++
				}
			}
		}
	}
	q.rejections = nil
	return removed
}

// Wake returns when Next must be called if nothing happens before, or the zero
// time if the queue is empty.
func (q *Line[T]) Wake() time.Time {
	if q.size == 0 {
		return time.Time{}
	}
	wake := q.planAt
	for _, f := range q.flows {
		wake = f.earlierWake(wake)
	}
	return wake
}
