// Package report tells the connected entries of this side process's load and
// residence, coalesced into one message an interval.
package report

import (
	"context"
	"sync"
	"time"

	"peridotchute.example/rpc"
)

const interval = 250 * time.Millisecond // between looks at what has changed

// Source gives the figures of the next report; Seq is filled in here.
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

// New returns a reporter of the source.
func New(source Source) *Reporter {
	return &Reporter{source: source, peers: map[*rpc.Peer]struct{}{}}
}

// Add reports to the peer until its connection ends.
func (r *Reporter) Add(p *rpc.Peer) {
	if p.Identity.Role != rpc.RoleEntry {
		return
	}
	r.mu.Lock()
	r.peers[p] = struct{}{}
	r.mu.Unlock()
	go func() {
		r.greet(p)
		<-p.Done()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.peers, p)
	}()
}

// greet sends the present figures to one peer, under the number of the last report.
func (r *Reporter) greet(p *rpc.Peer) {
	now := r.source()
	r.mu.Lock()
	_, most := Pace(len(r.peers))
	now.Seq, now.NextMS = r.seq, most.Milliseconds()
	r.mu.Unlock()
	_ = rpc.Notify(context.Background(), p, rpc.MethodReport, now)
}

// Run sends reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
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

// SendIfDue sends a report when the state has changed, when other figures have
// changed and the pace allows it, or when the last report is old.
func (r *Reporter) SendIfDue(ctx context.Context, now time.Time) {
	next := r.source()
	r.mu.Lock()
	least, most := Pace(len(r.peers))
	next.Seq, next.NextMS = r.last.Seq, most.Milliseconds()
	if !r.due(next, now.Sub(r.sent), least, most) {
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

// due decides whether a report is sent, with the last one sent silence ago.
func (r *Reporter) due(next rpc.Report, silence, least, most time.Duration) bool {
	switch {
	case next.State != r.last.State || silence >= most:
		return true
	case next != r.last:
		return silence >= least
	}
	return false
}
