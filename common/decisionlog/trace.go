package decisionlog

import (
	"slices"
	"sync"
	"time"
)

// traceCapacity is the number of decisions kept for one request; a stream that
// goes on at three servers makes about fifteen.
const traceCapacity = 32

// Trace holds the decisions about one request until it is known whether they
// are worth writing. It is safe for concurrent use.
type Trace struct {
	log     *Log
	request string

	mu       sync.Mutex
	kept     []line
	loud     bool // lines are written at once
	ended    bool
	recorded int // decisions so far
}

// Trace begins the record of a request.
func (l *Log) Trace(request string) *Trace {
	if l == nil {
		return nil
	}
	return &Trace{log: l, request: request}
}

// Add records a decision. It is kept until the request meets trouble, which the
// level or kind of a record shows, and written at once from then on.
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
	t.append(line{at: time.Now(), request: t.request, record: r})
	if troubling(r.Event()) {
		t.writeKept()
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
	if troubling(r.Event()) {
		t.kept = withoutRoute(t.kept)
		t.writeKept()
	}
	t.kept = nil
	if surplus := t.recorded - traceCapacity; surplus > 0 {
		t.log.offer(line{at: time.Now(), request: t.request, record: truncated{count: surplus}})
	}
	t.log.offer(line{at: time.Now(), request: t.request, record: r})
}

func (t *Trace) append(n line) {
	if t.loud {
		t.log.offer(n)
		return
	}
	t.kept = append(t.kept, n)
}

func (t *Trace) writeKept() {
	t.loud = true
	for _, n := range t.kept {
		t.log.offer(n)
	}
	t.kept = nil
}

// withoutRoute leaves out the route of a request, which the line that ends it
// tells as well.
func withoutRoute(kept []line) []line {
	return slices.DeleteFunc(kept, func(n line) bool {
		_, ok := n.record.(Routed)
		return ok
	})
}
