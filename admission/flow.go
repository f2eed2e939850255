package admission

import (
	"cmp"
	"slices"
	"time"

	"peridotchute.example/routing"
)

// Several models, sessions and sizes wait for the same servers: what must begin
// soonest goes first, so that none of them has the line to itself.

type flowKey struct {
	priority int
	class    class
	flow     uint64
}

// flow is the waiting requests of one kind that suit the same servers, so that
// only the first has to be asked for a server.
type flow[T any] struct {
	key     flowKey
	timely  []*entry[T] // by the latest start for the objective
	late    []*entry[T] // by the latest start for the deadline
	starves bool
	askAt   time.Time // until then no server has room for the first
	server  string    // that the first waits for
}

// entry is one waiting request.
type entry[T any] struct {
	item   T
	w      Waiter
	class  class
	latest time.Time // latest start for the objective
	last   time.Time // latest start for the deadline
	flow   *flow[T]
	batch  *routing.Batch // on which work is reserved
	work   time.Duration
	first  time.Duration // from its turn at a server to the first event
	rest   time.Duration // from there to the end
}

// maxAwaited bounds the servers that earlier requests are remembered to wait for.
const maxAwaited = 32

// leastPause is the shortest time after which asking again can help.
const leastPause = 20 * time.Millisecond

func newEntry[T any](item T, w Waiter, o *Offer) *entry[T] {
	e := &entry[T]{item: item, w: w}
	e.expect(o)
	e.latest = w.Objective.Add(-e.first - backlogBound(&w))
	e.last = w.Deadline.Add(-e.first - e.rest)
	return e
}

// expect takes over how long the request would take at a server.
func (e *entry[T]) expect(o *Offer) {
	e.first = max(o.Wait-o.Backlog-o.Load, 0)
	e.rest = time.Duration(e.w.Tokens) * o.Step
}

// mayAppear reports whether a server for the request may yet come up.
func (e *entry[T]) mayAppear(now time.Time) bool {
	return now.Sub(e.w.Arrived) < e.w.Objective.Sub(e.w.Arrived)/serverMissing
}

func (e *entry[T]) reserve(o *Offer) {
	e.batch, e.work = o.Batch, o.Work
	e.batch.Reserve(e.w.Priority, e.work)
}

func (e *entry[T]) release() {
	if e.batch != nil {
		e.batch.Reserve(e.w.Priority, -e.work)
		e.batch = nil
	}
}

// add puts an entry into its flow. Further requests of a session go later, but
// never so late that they miss their deadline by it.
func (l *Line[T]) add(e *entry[T]) {
	key := flowKey{e.w.Priority, e.class, e.w.Flow}
	f := l.flows[key]
	if f == nil {
		f = &flow[T]{key: key}
		l.flows[key] = f
	}
	e.flow = f
	if e.w.Session != 0 {
		e.latest = e.latest.Add(time.Duration(l.sessions[e.w.Session]) * sessionTurn)
		l.sessions[e.w.Session]++
	}
	if e.latest.After(e.last) {
		e.latest = e.last
	}
	f.timely = insert(f.timely, e, byLatest)
	f.askAt = time.Time{}
	l.size++
	l.shares.of(e.class).waiting++
}

// drop takes an entry out of the line.
func (l *Line[T]) drop(e *entry[T]) {
	f := e.flow
	if f == nil {
		return
	}
	e.release()
	e.flow = nil
	f.timely = without(f.timely, e)
	f.late = without(f.late, e)
	f.askAt = time.Time{}
	l.size--
	l.shares.of(e.class).waiting--
	if e.w.Session != 0 {
		if l.sessions[e.w.Session]--; l.sessions[e.w.Session] == 0 {
			delete(l.sessions, e.w.Session)
		}
	}
	if len(f.timely)+len(f.late) == 0 {
		delete(l.flows, f.key)
	}
}

func (f *flow[T]) head() *entry[T] {
	if len(f.timely) > 0 {
		return f.timely[0]
	}
	return f.late[0]
}

// await notes which server the first request waits for, and until when nothing
// but news can change that.
func (f *flow[T]) await(o *Offer, found bool, now time.Time) {
	f.server = ""
	pause := planEvery
	if found {
		f.server = o.Server
		pause = max(o.Load, o.Backlog-backlogBound(&f.head().w))
	}
	f.askAt = now.Add(min(max(pause, leastPause), planEvery))
}

func (f *flow[T]) sooner(wake time.Time) time.Time {
	if f.askAt.Before(wake) {
		wake = f.askAt
	}
	if len(f.late) > 0 && f.late[0].last.Before(wake) {
		wake = f.late[0].last
	}
	return wake
}

// sort brings the flows into the order in which they are served: a kind that
// starves, then by priority, then what can still meet its objective, then what
// must begin soonest.
func (l *Line[T]) sort(now time.Time) {
	l.order = l.order[:0]
	l.shares.fade(now)
	for _, f := range l.flows {
		f.demote(now)
		f.starves = l.shares.starves(f.key.class)
		l.order = append(l.order, f)
	}
	slices.SortFunc(l.order, compareFlows)
}

// rank orders flows before their turns do: a kind that starves goes before all
// others, and large requests that starve before the others of their priority.
func (f *flow[T]) rank() int {
	switch {
	case f.starves && !f.key.class.large:
		return -1
	case f.starves:
		return 2 * f.key.priority
	}
	return 2*f.key.priority + 1
}

// demote moves what can no longer meet its objective behind the rest.
func (f *flow[T]) demote(now time.Time) {
	for len(f.timely) > 0 && f.timely[0].latest.Before(now) {
		e := f.timely[0]
		f.timely = f.timely[1:]
		f.late = insert(f.late, e, byLast)
		f.askAt = time.Time{}
	}
}

func compareFlows[T any](a, b *flow[T]) int {
	if c := cmp.Compare(a.rank(), b.rank()); c != 0 {
		return c
	}
	switch timely := len(a.timely) > 0; {
	case timely && len(b.timely) > 0:
		return byLatest(a.timely[0], b.timely[0])
	case timely:
		return -1
	case len(b.timely) > 0:
		return 1
	}
	return byLast(a.late[0], b.late[0])
}

// compareEntries orders requests of all flows as compareFlows does.
func compareEntries[T any](a, b *entry[T], now time.Time) int {
	if c := cmp.Compare(a.w.Priority, b.w.Priority); c != 0 {
		return c
	}
	switch late := a.latest.Before(now); {
	case late != b.latest.Before(now):
		if late {
			return 1
		}
		return -1
	case late:
		return byLast(a, b)
	}
	return byLatest(a, b)
}

func byLatest[T any](a, b *entry[T]) int { return a.latest.Compare(b.latest) }

func byLast[T any](a, b *entry[T]) int { return a.last.Compare(b.last) }

// insert puts e behind its equals.
func insert[T any](list []*entry[T], e *entry[T], by func(a, b *entry[T]) int) []*entry[T] {
	at, _ := slices.BinarySearchFunc(list, e, func(a, b *entry[T]) int {
		if by(a, b) <= 0 {
			return -1
		}
		return 1
	})
	return slices.Insert(list, at, e)
}

func without[T any](list []*entry[T], e *entry[T]) []*entry[T] {
	if i := slices.Index(list, e); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

func contains(list []string, s string) bool { return slices.Contains(list, s) }
