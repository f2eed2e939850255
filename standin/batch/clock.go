// Package batch emulates model servers with batches, entries that choose among
// them, and clients, in simulated time. Equal seeds give equal runs, so that
// load patterns can be replayed and policies be compared without processes.
//
//	result := batch.Run(batch.Scenario{Seed: 1, Length: 30 * time.Second, Servers: 3, Entries: 2, Kinds: kinds})
//	fmt.Println(result.Worth(), result.Kinds["chat"].OnTime)
package batch

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their simulated times.
type clock struct {
	now    time.Time
	events events
	seq    int
}

type event struct {
	at  time.Time
	seq int // events of one time run in the order in which they were made
	run func()
}

func newClock() *clock { return &clock{now: time.Unix(0, 0)} }

// after runs f once d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.events, event{c.now.Add(max(d, 0)), c.seq, f})
}

// run runs all events up to a time.
func (c *clock) run(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an element for package heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last element for package heap.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
