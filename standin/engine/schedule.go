package engine

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// scheduler admits requests to the running batch, ordered by priority (lowest
// number first) and then by arrival.
type scheduler struct {
	mu          sync.Mutex
	maxBatch    int
	running     int
	arrivals    uint64
	waiting     waiters
	prefillSlot chan struct{} // held by the request that runs its prefill
}

type waiter struct {
	priority int
	arrival  uint64
	index    int // in the heap; -1 once admitted
	ready    chan struct{}
}

func newScheduler(maxBatch int) *scheduler {
	return &scheduler{maxBatch: maxBatch, prefillSlot: make(chan struct{}, 1)}
}

// acquire waits for a slot in the batch. If it returns nil, the caller must call
// release.
func (s *scheduler) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.running < s.maxBatch {
		s.running++
		s.mu.Unlock()
		return nil
	}
	s.arrivals++
	w := &waiter{priority: priority, arrival: s.arrivals, ready: make(chan struct{})}
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
		s.releaseLocked()
		return
	}
	heap.Remove(&s.waiting, w.index)
}

func (s *scheduler) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *scheduler) releaseLocked() {
	if s.waiting.Len() == 0 {
		s.running--
		return
	}
	w := heap.Pop(&s.waiting).(*waiter)
	close(w.ready)
}

// load returns the number of running and waiting requests.
func (s *scheduler) load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.waiting.Len()
}

// runPrefill occupies the prefill slot for d.
func (s *scheduler) runPrefill(ctx context.Context, d time.Duration) error {
	select {
	case s.prefillSlot <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.prefillSlot }()
	return sleepUntil(ctx, time.Now().Add(d))
}

// waiters is a heap ordered by priority, then arrival.
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

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	item := x.(*waiter)
	item.index = len(*w)
	*w = append(*w, item)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	item := old[len(old)-1]
	item.index = -1
	*w = old[:len(old)-1]
	return item
}
