package admission

import (
	"cmp"
	"slices"
	"time"

	"peridotchute.example/routing"
)

// Requests of different models, sessions and sizes wait for the same servers.
// The request that must start soonest goes first, so that no model, session or
// size blocks the queue for the others.

type flowKey struct {
	priority int
	class    class
	flow     uint64
}

// flow holds the waiting requests of one class and priority that can use the
// same servers. Only the first of them has to be checked for a server. It is
// unrelated to the Flow of a FairQueue.
type flow[T any] struct {
	key           flowKey
	onTime        []*queuedRequest[T] // can still meet the objective; by startForObjective
	late          []*queuedRequest[T] // by startForDeadline
	starves       bool
	nextCheck     time.Time // when to look for a server for the first request again
	awaitedServer string    // server that the first request waits for; may be empty
}

// queuedRequest is one waiting request.
type queuedRequest[T any] struct {
	item              T
	w                 Waiter
	class             class
	startForObjective time.Time      // latest start that meets the objective
	startForDeadline  time.Time      // latest start that meets the deadline
	flow              *flow[T]       // nil once the request is removed
	batch             *routing.Batch // where work is reserved; may be nil
	work              time.Duration  // reserved server time
	timeToFirst       time.Duration  // from the start at a server to the first event
	streamTime        time.Duration  // from the first event to the end of the answer; 0 for a broken stream, which goes on as far as it can
}

// maxAwaited is the maximum number of servers that a pass of Next leaves to
// earlier requests.
const maxAwaited = 32

// minPause is the minimum time between two checks of a flow without an event.
const minPause = 20 * time.Millisecond

func newQueuedRequest[T any](item T, w Waiter, o *Offer) *queuedRequest[T] {
	r := &queuedRequest[T]{item: item, w: w}
	r.setEstimates(o)
	r.startForObjective = w.Objective.Add(-r.timeToFirst - backlogBound(&w))
	r.startForDeadline = w.Deadline.Add(-r.timeToFirst - r.streamTime)
	return r
}

// setEstimates sets the expected times from an offer.
func (r *queuedRequest[T]) setEstimates(o *Offer) {
	r.timeToFirst = max(o.Wait-o.Backlog-o.Load, 0)
	if !r.w.Resumed {
		r.streamTime = time.Duration(r.w.Tokens) * o.Step
	}
}

// mayGetServer reports whether a request for which there is no server should
// wait until one appears.
func (r *queuedRequest[T]) mayGetServer(now time.Time) bool {
	return now.Sub(r.w.Arrived) < r.w.Objective.Sub(r.w.Arrived)/serverWaitDivisor
}

// reserve reserves work for the request at the offered server.
func (r *queuedRequest[T]) reserve(o *Offer) {
	r.batch, r.work = o.Batch, o.Work
	r.batch.Reserve(r.w.Priority, r.work)
}

func (r *queuedRequest[T]) release() {
	if r.batch != nil {
		r.batch.Reserve(r.w.Priority, -r.work)
		r.batch = nil
	}
}

// add puts a request into its flow. Further requests of a session are delayed,
// but not past the latest start that meets their deadline.
func (q *PriorityQueue[T]) add(r *queuedRequest[T]) {
	key := flowKey{r.w.Priority, r.class, r.w.Flow}
	f := q.flows[key]
	if f == nil {
		f = &flow[T]{key: key}
		q.flows[key] = f
	}
	r.flow = f
	if r.w.Session != 0 {
		r.startForObjective = r.startForObjective.Add(time.Duration(q.sessions[r.w.Session]) * sessionDelay)
		q.sessions[r.w.Session]++
	}
	if r.startForObjective.After(r.startForDeadline) {
		r.startForObjective = r.startForDeadline
	}
	f.onTime = insert(f.onTime, r, byObjectiveStart)
	f.nextCheck = time.Time{}
	q.size++
	q.shares.of(r.class).waiting++
}

// drop removes a request from the queue. It does nothing if the request was
// removed before.
func (q *PriorityQueue[T]) drop(r *queuedRequest[T]) {
	f := r.flow
	if f == nil {
		return
	}
	r.release()
	r.flow = nil
	f.onTime = without(f.onTime, r)
	f.late = without(f.late, r)
	f.nextCheck = time.Time{}
	q.size--
	q.shares.of(r.class).waiting--
	if r.w.Session != 0 {
		if q.sessions[r.w.Session]--; q.sessions[r.w.Session] == 0 {
			delete(q.sessions, r.w.Session)
		}
	}
	if len(f.onTime)+len(f.late) == 0 {
		delete(q.flows, f.key)
	}
}

// head returns the first request of a flow, which is never empty.
func (f *flow[T]) head() *queuedRequest[T] {
	if len(f.onTime) > 0 {
		return f.onTime[0]
	}
	return f.late[0]
}

// recordWait records which server the first request waits for and when to
// check it again if no event does so earlier.
func (f *flow[T]) recordWait(o *Offer, found bool, now time.Time) {
	f.awaitedServer = ""
	pause := planInterval
	if found {
		f.awaitedServer = o.Server
		pause = max(o.Load, o.Backlog-backlogBound(&f.head().w))
	}
	f.nextCheck = now.Add(min(max(pause, minPause), planInterval))
}

// earlierWake returns wake or the time when the flow needs a check, whichever
// is earlier.
func (f *flow[T]) earlierWake(wake time.Time) time.Time {
	if f.nextCheck.Before(wake) {
		wake = f.nextCheck
	}
	if len(f.late) > 0 && f.late[0].startForDeadline.Before(wake) {
		wake = f.late[0].startForDeadline
	}
	return wake
}

// sort sets order to the flows in the order in which they are served: starving
// kinds first, then by priority, then those that can still meet their
// objective, then by latest start.
func (q *PriorityQueue[T]) sort(now time.Time) {
	q.order = q.order[:0]
	q.shares.decay(now)
	for _, f := range q.flows {
		f.demote(now)
		f.starves = q.shares.starves(f.key.class)
		q.order = append(q.order, f)
	}
	slices.SortFunc(q.order, compareFlows)
}

// rank is the first sort key of flows; the lowest rank is served first. A
// starving kind goes before all others, and starving large requests go before
// other requests of their priority.
func (f *flow[T]) rank() int {
	switch {
	case f.starves && !f.key.class.large:
		return -1
	case f.starves:
		return 2 * f.key.priority
	}
	return 2*f.key.priority + 1
}

// isLate reports whether the request can no longer meet its objective. A broken stream whose next
// event is overdue is not behind new requests for that, until it can't go on in time.
func (r *queuedRequest[T]) isLate(now time.Time) bool {
	if r.w.Resumed {
		return r.startForDeadline.Before(now)
	}
	return r.startForObjective.Before(now)
}

// demote moves the requests that can no longer meet their objective to late.
func (f *flow[T]) demote(now time.Time) {
	for len(f.onTime) > 0 && f.onTime[0].isLate(now) {
		r := f.onTime[0]
		f.onTime = f.onTime[1:]
		f.late = insert(f.late, r, byDeadlineStart)
		f.nextCheck = time.Time{}
	}
}

func compareFlows[T any](a, b *flow[T]) int {
	if c := cmp.Compare(a.rank(), b.rank()); c != 0 {
		return c
	}
	switch timely := len(a.onTime) > 0; {
	case timely && len(b.onTime) > 0:
		return byObjectiveStart(a.onTime[0], b.onTime[0])
	case timely:
		return -1
	case len(b.onTime) > 0:
		return 1
	}
	return byDeadlineStart(a.late[0], b.late[0])
}

// compareRequests orders requests by priority and latest start; unlike
// compareFlows it ignores starvation.
func compareRequests[T any](a, b *queuedRequest[T], now time.Time) int {
	if c := cmp.Compare(a.w.Priority, b.w.Priority); c != 0 {
		return c
	}
	switch late := a.isLate(now); {
	case late != b.isLate(now):
		if late {
			return 1
		}
		return -1
	case late:
		return byDeadlineStart(a, b)
	}
	return byObjectiveStart(a, b)
}

func byObjectiveStart[T any](a, b *queuedRequest[T]) int {
	return a.startForObjective.Compare(b.startForObjective)
}

func byDeadlineStart[T any](a, b *queuedRequest[T]) int {
	return a.startForDeadline.Compare(b.startForDeadline)
}

// insert adds r to a sorted list, behind equal elements.
func insert[T any](list []*queuedRequest[T], r *queuedRequest[T], by func(a, b *queuedRequest[T]) int) []*queuedRequest[T] {
	at, _ := slices.BinarySearchFunc(list, r, func(a, b *queuedRequest[T]) int {
		if by(a, b) <= 0 {
			return -1
		}
		return 1
	})
	return slices.Insert(list, at, r)
}

// without returns the list without r.
func without[T any](list []*queuedRequest[T], r *queuedRequest[T]) []*queuedRequest[T] {
	if i := slices.Index(list, r); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

func contains(list []string, s string) bool { return slices.Contains(list, s) }
