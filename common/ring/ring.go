// Package ring provides bounded queues between the goroutines of a process. Each
// has a policy for elements that arrive when it is full, and counts the losses.
package ring

import (
	"context"
	"sync"
	"sync/atomic"
)

// Policy determines what Offer does when the ring is full.
type Policy int

// The policies for a full ring.
const (
	// Reject rejects the new element.
	Reject Policy = iota
	// DropOldest discards the oldest element.
	DropOldest
)

// Ring is a bounded first-in first-out queue, safe for concurrent use.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	head    int
	size    int
	policy  Policy
	ready   chan struct{}
	dropped atomic.Uint64
}

// New returns a ring of the given capacity (elements, at least 1).
func New[T any](capacity int, policy Policy) *Ring[T] {
	return &Ring[T]{
		items:  make([]T, max(capacity, 1)),
		policy: policy,
		ready:  make(chan struct{}, 1),
	}
}

// Offer adds v without blocking. It returns false if v was rejected. Dropped
// counts rejected and discarded elements.
func (r *Ring[T]) Offer(v T) bool {
	r.mu.Lock()
	if r.size == len(r.items) {
		r.dropped.Add(1)
		if r.policy == Reject {
			r.mu.Unlock()
			return false
		}
		r.takeLocked()
	}
	r.items[(r.head+r.size)%len(r.items)] = v
	r.size++
	r.mu.Unlock()
	r.signal()
	return true
}

// Take removes and returns the oldest element. It waits for one until ctx ends,
// then returns the error of ctx.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	for {
		if v, ok := r.TryTake(); ok {
			return v, nil
		}
		select {
		case <-r.ready:
		case <-ctx.Done():
			var zero T
			return zero, ctx.Err()
		}
	}
}

// TryTake removes and returns the oldest element, or returns false if the ring is
// empty.
func (r *Ring[T]) TryTake() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size == 0 {
		var zero T
		return zero, false
	}
	v := r.takeLocked()
	if r.size > 0 {
		r.signal()
	}
	return v, true
}

// Len returns the number of elements in the ring.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size
}

// Dropped returns how many elements were rejected or discarded.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }

func (r *Ring[T]) takeLocked() T {
	var zero T
	v := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.size--
	return v
}

func (r *Ring[T]) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}
