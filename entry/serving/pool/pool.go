// Package pool keeps this entry's view of the backend servers: who is there,
// how loaded each is, and what is resident where.
package pool

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/common/ring"
	"peridotchute.example/config"
	"peridotchute.example/entry/serving/link"
	"peridotchute.example/membership"
	"peridotchute.example/routing"
	"peridotchute.example/rpc"
	"peridotchute.example/store"
)

const (
	reportRing      = 1024        // reports waiting to be applied
	prefixBlocks    = 1 << 16     // prompt blocks remembered, about 100 bytes each
	defaultInterval = time.Second // between reads of the VM list
	tickInterval    = 250 * time.Millisecond
	roleBackend     = "backend"
)

// Options configure a Pool.
type Options struct {
	Local    rpc.Local
	Handlers *rpc.Handlers
	VMs      store.VMs
	Interval time.Duration // between reads of the VM list; 0 means the default
	Holder   *config.Holder
	Region   string                            // of this entry
	Link     *link.Meter                       // of traffic with other regions
	OnPeer   func(*rpc.Peer)                   // called with each new connection; may be nil
	OnList   func(context.Context, []store.VM) // called with each reading of the VM list; may be nil
	Log      logrus.FieldLogger
}

// Pool is the set of backend servers known to this entry.
type Pool struct {
	opts    Options
	reports *ring.Ring[rpc.Report]

	mu      sync.RWMutex
	members membership.Members
	servers map[string]*Server   // one for each member
	sorted  []*Server            // the same in order of name; replaced, never changed
	listed  bool                 // the VM list was read at least once
	losses  map[string]time.Time // by pool: when a side process was last seen restarted or gone
	life    context.Context      // of Run; ends every connection

	prefixMu sync.Mutex
	prefixes *routing.PrefixIndex
}

// New returns an empty pool and registers its control handlers.
func New(opts Options) *Pool {
	if opts.Interval <= 0 {
		opts.Interval = defaultInterval
	}
	p := &Pool{
		opts:     opts,
		reports:  ring.New[rpc.Report](reportRing, ring.DropOldest),
		members:  membership.Members{},
		servers:  map[string]*Server{},
		losses:   map[string]time.Time{},
		prefixes: routing.NewPrefixIndex(prefixBlocks),
		life:     context.Background(),
	}
	p.opts.Local.Servers = p.count
	rpc.Handle(opts.Handlers, rpc.MethodReport, p.onReport)
	return p
}

// Run watches the VM list and applies reports until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	p.mu.Lock()
	p.life = ctx
	p.mu.Unlock()
	go p.applyReports(ctx)
	go p.tick(ctx)
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

// count returns the number of known backend servers.
func (p *Pool) count() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.servers)
}

// Ready returns an error before the VM list was read.
func (p *Pool) Ready() error {
	if p.Listed() {
		return nil
	}
	return errors.New("the VM list was not read yet")
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

// LastLoss returns when this entry last saw a side process of the pool restart
// or leave, and so lose its memory; zero when it never did.
func (p *Pool) LastLoss(poolName string) time.Time {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.losses[poolName]
}

// Servers returns every known server in order of name. The slice is shared and
// must not be changed.
func (p *Pool) Servers() []*Server {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.sorted
}

// add takes a server into the pool. p.mu is held.
func (p *Pool) add(s *Server) {
	p.servers[s.name] = s
	at, _ := slices.BinarySearchFunc(p.sorted, s.name, byName)
	p.sorted = slices.Insert(slices.Clone(p.sorted), at, s)
}

// remove takes a server out of the pool. p.mu is held.
func (p *Pool) remove(name string) {
	delete(p.servers, name)
	at, found := slices.BinarySearchFunc(p.sorted, name, byName)
	if found {
		p.sorted = slices.Delete(slices.Clone(p.sorted), at, at+1)
	}
}

func byName(s *Server, name string) int { return strings.Compare(s.name, name) }

// DumpState returns the pool's section of the state dump.
func (p *Pool) DumpState() any {
	out := []Dump{}
	for _, s := range p.Servers() {
		out = append(out, s.dump())
	}
	return out
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
		p.observe(membership.Contact{
			Name:        r.Name,
			Incarnation: r.Incarnation,
			Draining:    r.State == rpc.StateDraining,
			MaxInterval: time.Duration(r.NextMS) * time.Millisecond,
		})
		stale := s.accept(r, time.Now())
		peer := s.Peer()
		if stale && peer != nil && s.asking.CompareAndSwap(false, true) {
			go func() {
				defer s.asking.Store(false)
				p.fetchResidence(ctx, s, peer)
			}()
		}
	}
}

// fetchResidence asks what has become resident or has left. A server that does
// not answer holds up nothing else.
func (p *Pool) fetchResidence(ctx context.Context, s *Server, peer *rpc.Peer) {
	known := s.knownResidence(peer.Identity.Incarnation)
	reply, err := rpc.Call[rpc.ResidenceQuery, rpc.ResidenceReply](ctx, peer, rpc.MethodResidence, rpc.ResidenceQuery{Known: known})
	if err != nil {
		event.Log(p.opts.Log, event.PeerInventoryFailed, event.Peer(peer.Identity.Name), event.Err(err))
		return
	}
	s.setResidence(peer.Identity.Incarnation, reply)
}
