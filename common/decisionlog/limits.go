package decisionlog

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"peridotchute.example/common/event"
)

// class says how much of an event is written.
type class int

const (
	success  class = iota // one a request when all is well
	decision              // steps of requests that met trouble
	failure               // refused, failed, late or cut
	state                 // what the process believes
	classes
)

// limit bounds the lines of each event of a class.
type limit struct {
	perSecond float64 // lines a second
	burst     int     // lines at once
	fill      int     // ring length from which on lines are left out
}

// limitOf bounds the volume. An entry serves some 20 requests a second and 100
// in a burst; a line costs its formatting, so all lines of a burst stay under a
// tenth of an entry's processor time.
var limitOf = [classes]limit{
	success:  {perSecond: 25, burst: 50, fill: ringCapacity / 4},
	decision: {perSecond: 25, burst: 100, fill: ringCapacity / 2},
	failure:  {perSecond: 50, burst: 200, fill: ringCapacity},
	state:    {perSecond: 25, burst: 400, fill: ringCapacity},
}

// classOf returns the class of an event.
func classOf(e event.Event) class {
	switch e.ID {
	case event.RequestServed.ID:
		return success
	case event.RequestRouted.ID, event.ServerChosen.ID, event.RequestRetried.ID, event.NotMadeResident.ID:
		return decision
	}
	if troubling(e) {
		return failure
	}
	return state
}

// troubling reports whether an event shows that its request, or what the process
// depends on, is in trouble.
func troubling(e event.Event) bool {
	return e.Level <= logrus.WarnLevel || e.ID == event.AttemptFailed.ID || e.ID == event.CallerLeft.ID
}

// limits decides which lines are written and counts the others.
type limits struct {
	events    map[int]*eventLimit // fixed after newLimits
	written   atomic.Int64
	unwritten atomic.Int64 // writing failed
}

type eventLimit struct {
	event   event.Event
	fill    int
	bucket  *rate.Limiter
	leftOut atomic.Int64 // since it was last told
	total   atomic.Int64 // left out since the start
}

func newLimits(now time.Time) *limits {
	l := &limits{events: map[int]*eventLimit{}}
	for _, e := range event.All() {
		bound := limitOf[classOf(e)]
		bucket := rate.NewLimiter(rate.Limit(bound.perSecond), bound.burst)
		bucket.AllowN(now, 0)
		l.events[e.ID] = &eventLimit{event: e, fill: bound.fill, bucket: bucket}
	}
	return l
}

// event returns the catalogue entry of a number.
func (l *limits) event(id int) (event.Event, bool) {
	of, ok := l.events[id]
	if !ok {
		return event.Event{}, false
	}
	return of.event, true
}

// admit reports whether a line may be written while waiting others are in the
// ring, and counts it as left out otherwise.
func (l *limits) admit(e event.Event, now time.Time, waiting int) bool {
	of := l.events[e.ID]
	if waiting < of.fill && of.bucket.AllowN(now, 1) {
		return true
	}
	l.leftOut(e)
	return false
}

func (l *limits) leftOut(e event.Event) {
	of := l.events[e.ID]
	of.leftOut.Add(1)
	of.total.Add(1)
}

// takeLeftOut returns the lines left out since the last call, by event.
func (l *limits) takeLeftOut() map[string]int64 {
	counts := map[string]int64{}
	for _, of := range l.events {
		if n := of.leftOut.Swap(0); n > 0 {
			counts[of.event.Name] += n
		}
	}
	return counts
}

func (l *limits) totals() Counts {
	c := Counts{Written: l.written.Load(), LeftOut: l.unwritten.Load()}
	for _, of := range l.events {
		c.LeftOut += of.total.Load()
	}
	return c
}
