package front

import (
	"slices"
	"sync"
	"time"
)

// activeRequests is the set of requests in progress, which are logged when a
// shutdown cuts them.
type activeRequests struct {
	mu       sync.Mutex
	requests map[*request]struct{}
}

func newActiveRequests() *activeRequests { return &activeRequests{requests: map[*request]struct{}{}} }

func (p *activeRequests) begin(r *request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests[r] = struct{}{}
}

func (p *activeRequests) end(r *request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.requests, r)
}

// InProgress describes a request whose answer is not complete.
type InProgress struct {
	ID  string
	Age time.Duration // since its arrival
}

// Oldest returns up to n requests in progress, the oldest first.
func (f *Front) Oldest(n int) []InProgress {
	f.activeRequests.mu.Lock()
	all := make([]*request, 0, len(f.activeRequests.requests))
	for r := range f.activeRequests.requests {
		all = append(all, r)
	}
	f.activeRequests.mu.Unlock()
	slices.SortFunc(all, func(a, b *request) int { return a.arrived.Compare(b.arrived) })
	out := make([]InProgress, 0, n)
	for _, r := range all[:min(n, len(all))] {
		out = append(out, InProgress{ID: r.ID, Age: time.Since(r.arrived)})
	}
	return out
}
