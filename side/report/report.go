// Package report sends the load, state and residents digest of this side process
// to the connected entries, with all changes of an interval in one message.
package report

import (
	"context"
	"sync"
	"time"

	"peridotchute.example/rpc"
)

const checkInterval = 250 * time.Millisecond // between checks for changes

// Source returns the current report. The Reporter sets Seq and NextMS.
type Source func() rpc.Report

// Reporter sends reports to every connected entry.
type Reporter struct {
	source Source

	mu    sync.Mutex
	peers map[*rpc.Peer]struct{}
	seq   uint64
	last  rpc.Report
	sent  time.Time
}

// New returns a Reporter that sends what source returns.
func New(source Source) *Reporter {
	return &Reporter{source: source, peers: map[*rpc.Peer]struct{}{}}
}

// Add starts reports to the peer if it is an entry. They end with its connection.
func (r *Reporter) Add(p *rpc.Peer) {
	if p.Identity.Role != rpc.RoleEntry {
		return
	}
	r.mu.Lock()
	r.peers[p] = struct{}{}
	r.mu.Unlock()
	go func() {
		r.sendCurrent(p)
		<-p.Done()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.peers, p)
	}()
}

// sendCurrent sends the current report to one peer, with the sequence number of
// the last one.
func (r *Reporter) sendCurrent(p *rpc.Peer) {
	now := r.source()
	r.mu.Lock()
	_, maxInterval := Intervals(len(r.peers))
	now.Seq, now.NextMS = r.seq, maxInterval.Milliseconds()
	r.mu.Unlock()
	_ = rpc.Notify(context.Background(), p, rpc.MethodReport, now)
}

// Run sends reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.SendIfDue(ctx, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// SendIfDue sends a report if the state has changed, if another field has changed
// and the minimum interval is over, or if the maximum interval is over.
func (r *Reporter) SendIfDue(ctx context.Context, now time.Time) {
	next := r.source()
	r.mu.Lock()
	minInterval, maxInterval := Intervals(len(r.peers))
	next.Seq, next.NextMS = r.last.Seq, maxInterval.Milliseconds()
	if !r.due(next, now.Sub(r.sent), minInterval, maxInterval) {
		r.mu.Unlock()
		return
	}
	r.seq++
	next.Seq = r.seq
	r.last, r.sent = next, now
	peers := make([]*rpc.Peer, 0, len(r.peers))
	for p := range r.peers {
		peers = append(peers, p)
	}
	r.mu.Unlock()
	for _, p := range peers {
		_ = rpc.Notify(ctx, p, rpc.MethodReport, next)
	}
}

// due reports whether to send next, sinceLast after the last report.
func (r *Reporter) due(next rpc.Report, sinceLast, minInterval, maxInterval time.Duration) bool {
	switch {
	case next.State != r.last.State || sinceLast >= maxInterval:
		return true
	case next != r.last:
		return sinceLast >= minInterval
	}
	return false
}
