package decisionlog

import (
	"slices"
	"sync"
	"time"
)

// traceCapacity is the maximum number of decisions recorded for one request; a
// stream that is resumed on three servers makes about fifteen.
const traceCapacity = 32

// Trace buffers the decisions about one request until the request ends or has
// a problem; only then are they written. It is safe for concurrent use.
type Trace struct {
	log     *Log
	request string

	mu        sync.Mutex
	buffered  []line
	immediate bool // lines are written without buffering
	ended     bool
	recorded  int // decisions so far, including those over traceCapacity
}

// Trace returns a trace for the request with the given ID.
func (l *Log) Trace(request string) *Trace {
	if l == nil {
		return nil
	}
	return &Trace{log: l, request: request}
}

// Add records a decision. Records are buffered until one of them signals a problem
// by its event; from then on they are written immediately.
func (t *Trace) Add(r Record) {
	if t == nil {
		return
	}
	t.log.observe(r)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.recorded++
	if t.recorded > traceCapacity {
		return
	}
	t.append(line{timestamp: time.Now(), request: t.request, record: r})
	if signalsProblem(r.Event()) {
		t.flush()
	}
}

// End records how the request ended. Only the first call counts.
func (t *Trace) End(r Record) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	t.log.observe(r)
	if signalsProblem(r.Event()) {
		t.buffered = withoutRoute(t.buffered)
		t.flush()
	}
	t.buffered = nil
	if surplus := t.recorded - traceCapacity; surplus > 0 {
		t.log.offer(line{timestamp: time.Now(), request: t.request, record: truncated{count: surplus}})
	}
	t.log.offer(line{timestamp: time.Now(), request: t.request, record: r})
}

func (t *Trace) append(ln line) {
	if t.immediate {
		t.log.offer(ln)
		return
	}
	t.buffered = append(t.buffered, ln)
}

func (t *Trace) flush() {
	t.immediate = true
	for _, ln := range t.buffered {
		t.log.offer(ln)
	}
	t.buffered = nil
}

// withoutRoute returns lines without the Routed record, since the last line of
// the request has the route as well.
func withoutRoute(lines []line) []line {
	return slices.DeleteFunc(lines, func(ln line) bool {
		_, ok := ln.record.(Routed)
		return ok
	})
}
