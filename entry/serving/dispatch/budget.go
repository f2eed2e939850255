package dispatch

import (
	"expvar"
	"sync"
)

const (
	retryShare = 0.1 // retries allowed for each request
	retryBurst = 20  // retries allowed at once after a calm
)

// retriesRefused counts retries that the budget did not allow.
var retriesRefused = expvar.NewInt("retries_refused")

// budget limits retries to a share of the requests, so that servers in trouble
// are not given more work than the callers ask for. Its zero value is empty.
type budget struct {
	mu   sync.Mutex
	left float64 // retries
}

func newBudget() *budget { return &budget{left: retryBurst} }

// request adds the share of one request.
func (b *budget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+retryShare, retryBurst)
}

// retry takes one retry and reports whether there was one left.
func (b *budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		retriesRefused.Add(1)
		return false
	}
	b.left--
	return true
}
