package decisionlog

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"peridotchute.example/common/event"
)

// class groups events that share a limit.
type class int

const (
	success  class = iota // one per request that is served in time
	decision              // steps of requests with a problem
	failure               // events that signal a problem, such as refused or failed requests
	state                 // all other events, such as changes of servers and models
	classes
)

// limit bounds the log lines of each event of a class.
type limit struct {
	perSecond  float64 // sustained lines per second
	burst      int     // lines in a burst
	maxWaiting int     // lines are left out while at least this many wait in the ring
}

// limitOf holds the limit of each class. An entry serves some 20 requests per
// second and 100 in a burst. The limits keep the formatting of all lines of a
// burst under a tenth of an entry's CPU time.
var limitOf = [classes]limit{
	success:  {perSecond: 25, burst: 50, maxWaiting: ringCapacity / 4},
	decision: {perSecond: 25, burst: 100, maxWaiting: ringCapacity / 2},
	failure:  {perSecond: 50, burst: 200, maxWaiting: ringCapacity},
	state:    {perSecond: 25, burst: 400, maxWaiting: ringCapacity},
}

// classOf returns the class of an event.
func classOf(e event.Event) class {
	switch e.ID {
	case event.RequestServed.ID:
		return success
	case event.RequestRouted.ID, event.StreamResumed.ID, event.OriginSought.ID, event.ServerChosen.ID, event.RequestRetried.ID, event.NotMadeResident.ID:
		return decision
	}
	if signalsProblem(e) {
		return failure
	}
	return state
}

// signalsProblem reports whether an event shows a problem with its request or with
// a dependency of the process.
func signalsProblem(e event.Event) bool {
	return e.Level <= logrus.WarnLevel || e.ID == event.AttemptFailed.ID || e.ID == event.ServerSilent.ID || e.ID == event.CallerLeft.ID
}

// limits decides which lines are written and counts those left out.
type limits struct {
	events       map[int]*eventLimit // by event ID; not modified after newLimits
	written      atomic.Int64
	failedWrites atomic.Int64 // lines lost to write errors
}

type eventLimit struct {
	event      event.Event
	maxWaiting int
	bucket     *rate.Limiter
	leftOut    atomic.Int64 // since the last report
	total      atomic.Int64 // left out since the start of the process
}

func newLimits(now time.Time) *limits {
	l := &limits{events: map[int]*eventLimit{}}
	for _, e := range event.All() {
		bound := limitOf[classOf(e)]
		bucket := rate.NewLimiter(rate.Limit(bound.perSecond), bound.burst)
		bucket.AllowN(now, 0)
		l.events[e.ID] = &eventLimit{event: e, maxWaiting: bound.maxWaiting, bucket: bucket}
	}
	return l
}

// event returns the event with the given ID.
func (l *limits) event(id int) (event.Event, bool) {
	el, ok := l.events[id]
	if !ok {
		return event.Event{}, false
	}
	return el.event, true
}

// admit reports whether a line may be written while the ring holds waiting
// lines; if not, it counts the line as left out.
func (l *limits) admit(e event.Event, now time.Time, waiting int) bool {
	el := l.events[e.ID]
	if waiting < el.maxWaiting && el.bucket.AllowN(now, 1) {
		return true
	}
	l.leftOut(e)
	return false
}

// leftOut counts a line as left out.
func (l *limits) leftOut(e event.Event) {
	el := l.events[e.ID]
	el.leftOut.Add(1)
	el.total.Add(1)
}

// resetLeftOut returns the numbers of lines left out since the last call, by
// event name, and resets them.
func (l *limits) resetLeftOut() map[string]int64 {
	counts := map[string]int64{}
	for _, el := range l.events {
		if n := el.leftOut.Swap(0); n > 0 {
			counts[el.event.Name] += n
		}
	}
	return counts
}

func (l *limits) totals() Counts {
	c := Counts{Written: l.written.Load(), LeftOut: l.failedWrites.Load()}
	for _, el := range l.events {
		c.LeftOut += el.total.Load()
	}
	return c
}
