package engine

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// scheduler admits requests to the running batch, lowest priority number
// first and then in order of arrival.
type scheduler struct {
	mu      sync.Mutex
	limit   int
	running int
	arrived uint64
	waiting waiters
	prefill chan struct{} // held by the one request that is in its prefill
}

type waiter struct {
	priority int
	arrival  uint64
	index    int // in the heap; -1 once admitted
	ready    chan struct{}
}

func newScheduler(limit int) *scheduler {
	return &scheduler{limit: limit, prefill: make(chan struct{}, 1)}
}

// enter waits for a place in the batch. leave must follow when err is nil.
func (s *scheduler) enter(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.running < s.limit {
		s.running++
		s.mu.Unlock()
		return nil
	}
	s.arrived++
	w := &waiter{priority: priority, arrival: s.arrived, ready: make(chan struct{})}
	heap.Push(&s.waiting, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

func (s *scheduler) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index < 0 {
		s.leaveLocked()
		return
	}
	heap.Remove(&s.waiting, w.index)
}

func (s *scheduler) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveLocked()
}

func (s *scheduler) leaveLocked() {
	if s.waiting.Len() == 0 {
		s.running--
		return
	}
	w := heap.Pop(&s.waiting).(*waiter)
	close(w.ready)
}

// load returns the running and the waiting requests.
func (s *scheduler) load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.waiting.Len()
}

// runPrefill occupies the prefill slot for d.
func (s *scheduler) runPrefill(ctx context.Context, d time.Duration) error {
	select {
	case s.prefill <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.prefill }()
	return sleepUntil(ctx, time.Now().Add(d))
}

// waiters is a heap by priority and arrival.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].arrival < w[j].arrival
}
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push adds an element for package heap.
func (w *waiters) Push(x any) {
	item := x.(*waiter)
	item.index = len(*w)
	*w = append(*w, item)
}

// Pop removes the last element for package heap.
func (w *waiters) Pop() any {
	old := *w
	item := old[len(old)-1]
	item.index = -1
	*w = old[:len(old)-1]
	return item
}
