package front

import (
	"slices"
	"sync"
	"time"
)

// progress keeps the requests that are in progress, for the log of a stop.
type progress struct {
	mu       sync.Mutex
	requests map[*request]struct{}
}

func newProgress() *progress { return &progress{requests: map[*request]struct{}{}} }

func (p *progress) begin(r *request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests[r] = struct{}{}
}

func (p *progress) end(r *request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.requests, r)
}

// InProgress is a request that has no whole answer yet.
type InProgress struct {
	ID  string
	Age time.Duration // since it was read
}

// Oldest returns the requests that have been in progress for longest, at most n.
func (f *Front) Oldest(n int) []InProgress {
	f.progress.mu.Lock()
	all := make([]*request, 0, len(f.progress.requests))
	for r := range f.progress.requests {
		all = append(all, r)
	}
	f.progress.mu.Unlock()
	slices.SortFunc(all, func(a, b *request) int { return a.arrived.Compare(b.arrived) })
	out := make([]InProgress, 0, n)
	for _, r := range all[:min(n, len(all))] {
		out = append(out, InProgress{ID: r.ID, Age: time.Since(r.arrived)})
	}
	return out
}
