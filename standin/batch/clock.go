// Package batch emulates clients, entries, model servers with continuous batching
// and plain servers in simulated time, to compare routing and queueing policies
// under load patterns without starting processes. Equal seeds give equal runs.
//
//	result := batch.Run(batch.Scenario{Seed: 1, Length: 30 * time.Second, Servers: 3, Entries: 2, Kinds: kinds})
//	fmt.Println(result.Worth(), result.Kinds["chat"].OnTime)
package batch

import (
	"container/heap"
	"time"
)

// clock is a simulated clock that runs scheduled functions in the order of their times.
type clock struct {
	now    time.Time
	events events
	seq    int
}

type event struct {
	at  time.Time
	seq int // events of equal times run in the order in which they were scheduled
	run func()
}

func newClock() *clock { return &clock{now: time.Unix(0, 0)} }

// after schedules f to run after d.
func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.events, event{c.now.Add(max(d, 0)), c.seq, f})
}

// run runs all events up to and including a time, also those scheduled meanwhile.
func (c *clock) run(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}

// events is a heap of events, the earliest first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
