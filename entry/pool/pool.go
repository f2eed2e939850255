// Package pool keeps this entry's view of the backend servers: who is there,
// how loaded each is, and what is resident where.
package pool

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/common/ring"
	"peridotchute.example/config"
	"peridotchute.example/platform"
	"peridotchute.example/routing"
	"peridotchute.example/rpc"
)

const (
	reportRing      = 1024    // reports waiting to be applied
	prefixBlocks    = 1 << 16 // prompt blocks remembered, about 100 bytes each
	longestRedial   = 2 * time.Second
	defaultInterval = time.Second // between reads of the VM list
	roleBackend     = "backend"
)

// Options configure a Pool.
type Options struct {
	Local    rpc.Local
	Handlers *rpc.Handlers
	VMs      platform.VMs
	Interval time.Duration // between reads of the VM list; 0 means the default
	Holder   *config.Holder
	Log      logrus.FieldLogger
}

// Pool is the set of backend servers known to this entry.
type Pool struct {
	opts    Options
	reports *ring.Ring[rpc.Report]

	mu      sync.RWMutex
	servers map[string]*Server
	listed  bool // the VM list was read at least once

	prefixMu sync.Mutex
	prefixes *routing.PrefixIndex
}

// New returns an empty pool and registers its control handlers.
func New(opts Options) *Pool {
	if opts.Interval <= 0 {
		opts.Interval = defaultInterval
	}
	p := &Pool{opts: opts, reports: ring.New[rpc.Report](reportRing, ring.DropOldest), servers: map[string]*Server{}, prefixes: routing.NewPrefixIndex(prefixBlocks)}
	rpc.Handle(opts.Handlers, rpc.MethodReport, p.onReport)
	rpc.Handle(opts.Handlers, rpc.MethodFetch, p.onFetch)
	return p
}

// Run watches the VM list and applies reports until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	go p.applyReports(ctx)
	go p.spreadConfig(ctx)
	ticker := time.NewTicker(p.opts.Interval)
	defer ticker.Stop()
	for {
		p.refresh(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Listed reports whether the VM list was read at least once.
func (p *Pool) Listed() bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.listed
}

// Server returns the named server.
func (p *Pool) Server(name string) (*Server, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	s, ok := p.servers[name]
	return s, ok
}

// Servers returns every known server in order of name.
func (p *Pool) Servers() []*Server {
	p.mu.RLock()
	out := make([]*Server, 0, len(p.servers))
	for _, s := range p.servers {
		out = append(out, s)
	}
	p.mu.RUnlock()
	sort.Slice(out, func(i, j int) bool { return out[i].VM().Name < out[j].VM().Name })
	return out
}

// Candidates returns the view of one pool that routing chooses from; served is
// nil for plain services. prefixes are the blocks of the prompt.
func (p *Pool) Candidates(poolName string, served *config.Served, prefixes []uint64) []routing.Candidate {
	index := p.opts.Holder.Current()
	var out []routing.Candidate
	for _, s := range p.Servers() {
		if c, ok := s.candidate(poolName, served, index); ok {
			out = append(out, c)
		}
	}
	p.markCached(out, prefixes)
	return out
}

// markCached notes which candidates were sent the leading blocks of the prompt.
func (p *Pool) markCached(candidates []routing.Candidate, prefixes []uint64) {
	p.prefixMu.Lock()
	defer p.prefixMu.Unlock()
	for _, m := range p.prefixes.Match(prefixes) {
		for i := range candidates {
			if candidates[i].Server.Name == m.Server {
				candidates[i].Cached = float64(m.Blocks) / float64(len(prefixes))
			}
		}
	}
}

func (p *Pool) forget(server string) {
	p.prefixMu.Lock()
	defer p.prefixMu.Unlock()
	p.prefixes.Drop(server)
}

// Remember notes that a server is sent a prompt with these blocks.
func (p *Pool) Remember(server string, prefixes []uint64) {
	p.prefixMu.Lock()
	defer p.prefixMu.Unlock()
	p.prefixes.Add(server, prefixes)
}

func (s *Server) candidate(poolName string, served *config.Served, index *config.Index) (routing.Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.vm.Pool != poolName {
		return routing.Candidate{}, false
	}
	c := routing.Candidate{Server: &routing.Server{
		Name:        s.vm.Name,
		Region:      index.RegionOf(s.vm.Zone),
		Zone:        s.vm.Zone,
		Serving:     s.peer.Load() != nil && s.vm.State == platform.VMLive && s.report.State != rpc.StateDraining,
		InFlight:    int(s.inFlight.Load()),
		Reported:    s.report.InFlight,
		OwnReported: s.ownInFlight,
		ReportedAt:  s.reportedAt,
		FreeBytes:   s.report.FreeBytes,
		QueueDelay:  time.Duration(s.report.QueueDelayMS) * time.Millisecond,
		FirstSeen:   s.firstSeen,
		Failures:    s.failures,
		RetryAt:     s.retryAt,
	}}
	if served != nil {
		c.Resident = s.residents[served.Artifact]
		c.Base = s.residents[served.Base]
	}
	return c, true
}

// DumpState returns the pool's section of the state dump.
func (p *Pool) DumpState() any {
	out := []Dump{}
	for _, s := range p.Servers() {
		out = append(out, s.dump())
	}
	return out
}

func (p *Pool) refresh(ctx context.Context) {
	vms, err := p.opts.VMs.List(ctx)
	if err != nil {
		event.Log(p.opts.Log, event.VMListFailed, event.Err(err))
		return
	}
	listed := map[string]bool{}
	for _, vm := range vms {
		if vm.Role == roleBackend {
			listed[vm.Name] = true
			p.upsert(ctx, vm)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = true
	for name, s := range p.servers {
		if !listed[name] {
			s.stop()
			delete(p.servers, name)
			p.forget(name)
		}
	}
}

func (p *Pool) upsert(ctx context.Context, vm platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.servers[vm.Name]; ok {
		s.setVM(vm)
		return
	}
	ctx, stop := context.WithCancel(ctx)
	s := &Server{vm: vm, stop: stop, firstSeen: time.Now()}
	p.servers[vm.Name] = s
	go p.connect(ctx, s)
}

// connect keeps one control connection to the server open until ctx ends.
func (p *Pool) connect(ctx context.Context, s *Server) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = 50 * time.Millisecond
	wait.MaxInterval = longestRedial
	for ctx.Err() == nil {
		vm := s.VM()
		peer, err := rpc.Dial(ctx, vm.RPCAddress, p.opts.Local, p.opts.Handlers)
		if err == nil {
			wait.Reset()
			p.hold(ctx, s, peer)
			continue
		}
		select {
		case <-time.After(wait.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// hold uses the connection until it ends.
func (p *Pool) hold(ctx context.Context, s *Server, peer *rpc.Peer) {
	event.Log(p.opts.Log, event.PeerConnected, event.Peer(peer.Identity.Name))
	p.fetchInventory(ctx, s, peer)
	s.peer.Store(peer)
	p.offer(ctx, peer)
	select {
	case <-peer.Done():
		event.Log(p.opts.Log, event.PeerLost, event.Peer(peer.Identity.Name))
	case <-ctx.Done():
	}
	s.peer.Store(nil)
	_ = peer.Close()
}

func (p *Pool) onReport(_ context.Context, _ *rpc.Peer, r rpc.Report) (struct{}, error) {
	p.reports.Offer(r)
	return struct{}{}, nil
}

func (p *Pool) applyReports(ctx context.Context) {
	for {
		r, err := p.reports.Take(ctx)
		if err != nil {
			return
		}
		s, ok := p.Server(r.Name)
		if !ok {
			continue
		}
		stale := s.accept(r, time.Now())
		peer := s.Peer()
		if stale && peer != nil {
			p.fetchInventory(ctx, s, peer)
		}
	}
}

func (p *Pool) fetchInventory(ctx context.Context, s *Server, peer *rpc.Peer) {
	inv, err := rpc.Call[rpc.InventoryQuery, rpc.InventoryReply](ctx, peer, rpc.MethodInventory, rpc.InventoryQuery{})
	if err != nil {
		event.Log(p.opts.Log, event.PeerInventoryFailed, event.Peer(peer.Identity.Name), event.Err(err))
		return
	}
	s.setInventory(inv)
}

// onFetch gives a side process the configuration in force here.
func (p *Pool) onFetch(_ context.Context, _ *rpc.Peer, f rpc.Fetch) (rpc.FetchReply, error) {
	index := p.opts.Holder.Current()
	if index == nil || index.Configuration.Version <= f.Since {
		return rpc.FetchReply{}, nil
	}
	return rpc.FetchReply{Configuration: index.Configuration}, nil
}

// spreadConfig offers each new configuration to every connected side process.
func (p *Pool) spreadConfig(ctx context.Context) {
	for {
		changed := p.opts.Holder.Changed()
		for _, s := range p.Servers() {
			if peer := s.Peer(); peer != nil {
				go p.offer(ctx, peer)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Pool) offer(ctx context.Context, peer *rpc.Peer) {
	version := p.opts.Holder.Version()
	if version == 0 {
		return
	}
	_, err := rpc.Call[rpc.Offer, rpc.OfferReply](ctx, peer, rpc.MethodOffer, rpc.Offer{Version: version})
	if err != nil {
		event.Log(p.opts.Log, event.OfferFailed, event.Peer(peer.Identity.Name), event.Err(err))
	}
}
