package dispatch

import (
	"expvar"
	"sync"
)

const (
	retryShare = 0.1 // retries that each request adds to the budget
	retryBurst = 20  // upper limit of the budget
)

// retriesRefused counts retries that the budget did not allow.
var retriesRefused = expvar.NewInt("retries_refused")

// budget limits retries to a share of the requests, so that retries don't
// overload servers that already fail. The zero value allows no retries.
type budget struct {
	mu        sync.Mutex
	available float64 // retries
}

func newBudget() *budget { return &budget{available: retryBurst} }

// addRequest adds retryShare to the budget.
func (b *budget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+retryShare, retryBurst)
}

// takeRetry takes one retry from the budget and reports whether there was one.
func (b *budget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		retriesRefused.Add(1)
		return false
	}
	b.available--
	return true
}
