// Package pool maintains this entry's view of the backend servers: their
// membership, their load and their resident artifacts.
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
	reportBufferSize = 1024        // reports waiting to be applied; the oldest is dropped if there are more
	maxPrefixBlocks  = 1 << 16     // prompt blocks in the prefix index, about 100 bytes each
	defaultInterval  = time.Second // time between reads of the VM list
	tickInterval     = 250 * time.Millisecond
	roleBackend      = "backend"
)

// Options configure a Pool.
type Options struct {
	Local    rpc.Local
	Handlers *rpc.Handlers
	VMs      store.VMs
	Interval time.Duration // time between reads of the VM list; 0 means the default
	Holder   *config.Holder
	Region   string                            // of this entry
	Link     *link.Meter                       // limits traffic with other regions
	OnPeer   func(*rpc.Peer)                   // called with each new connection; may be nil
	OnList   func(context.Context, []store.VM) // called with the VM list after each read; may be nil
	Log      logrus.FieldLogger
}

// Pool is the set of backend servers known to this entry.
type Pool struct {
	opts    Options
	reports *ring.Ring[rpc.Report]

	mu         sync.RWMutex
	members    membership.Members
	servers    map[string]*Server   // by name; one for each member
	sorted     []*Server            // the same servers sorted by name; copied on write
	listed     bool                 // the VM list was read at least once
	lastLosses map[string]time.Time // by pool: when this entry last saw a side process restart or disappear
	runCtx     context.Context      // context of Run, which all connections use

	prefixMu sync.Mutex
	prefixes *routing.PrefixIndex
}

// New returns an empty Pool and registers its handler for reports.
func New(opts Options) *Pool {
	if opts.Interval <= 0 {
		opts.Interval = defaultInterval
	}
	p := &Pool{
		opts:       opts,
		reports:    ring.New[rpc.Report](reportBufferSize, ring.DropOldest),
		members:    membership.Members{},
		servers:    map[string]*Server{},
		lastLosses: map[string]time.Time{},
		prefixes:   routing.NewPrefixIndex(maxPrefixBlocks),
		runCtx:     context.Background(),
	}
	p.opts.Local.Servers = p.count
	rpc.Handle(opts.Handlers, rpc.MethodReport, p.onReport)
	return p
}

// Run polls the VM list, applies reports and maintains the connections until ctx
// ends.
func (p *Pool) Run(ctx context.Context) {
	p.mu.Lock()
	p.runCtx = ctx
	p.mu.Unlock()
	go p.applyReports(ctx)
	go p.runTicks(ctx)
	ticker := time.NewTicker(p.opts.Interval)
	defer ticker.Stop()
	for {
		p.refreshVMList(ctx)
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

// Ready returns an error until the VM list has been read once.
func (p *Pool) Ready() error {
	if p.Listed() {
		return nil
	}
	return errors.New("the VM list has not been read yet")
}

// Listed reports whether the VM list has been read at least once.
func (p *Pool) Listed() bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.listed
}

// Server returns the server with the given name and whether it is known.
func (p *Pool) Server(name string) (*Server, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	s, ok := p.servers[name]
	return s, ok
}

// LastLoss returns when this entry last saw a side process of the pool restart or
// disappear, which loses the process's memory. It returns the zero time if it
// never saw one.
func (p *Pool) LastLoss(poolName string) time.Time {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.lastLosses[poolName]
}

// Servers returns all known servers sorted by name. The slice is shared and must
// not be modified.
func (p *Pool) Servers() []*Server {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.sorted
}

// add adds a server to the pool. p.mu must be held.
func (p *Pool) add(s *Server) {
	p.servers[s.name] = s
	at, _ := slices.BinarySearchFunc(p.sorted, s.name, byName)
	p.sorted = slices.Insert(slices.Clone(p.sorted), at, s)
}

// remove removes a server from the pool. p.mu must be held.
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

// onReport queues a report, so that the connection is not blocked.
func (p *Pool) onReport(_ context.Context, _ *rpc.Peer, r rpc.Report) (struct{}, error) {
	p.reports.Offer(r)
	return struct{}{}, nil
}

// applyReports applies queued reports until ctx ends. It fetches the residents of
// a server in a separate goroutine if the reported digest is new.
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
		stale := s.applyReport(r, time.Now())
		peer := s.Peer()
		if stale && peer != nil && s.fetching.CompareAndSwap(false, true) {
			go func() {
				defer s.fetching.Store(false)
				p.fetchResidents(ctx, s, peer)
			}()
		}
	}
}

// fetchResidents requests the changes of the resident artifacts and applies them.
// It may block for long, so it must not run in the goroutine that applies reports.
func (p *Pool) fetchResidents(ctx context.Context, s *Server, peer *rpc.Peer) {
	known := s.knownDigest(peer.Identity.Incarnation)
	reply, err := rpc.Call[rpc.ResidenceQuery, rpc.ResidenceReply](ctx, peer, rpc.MethodResidence, rpc.ResidenceQuery{Known: known})
	if err != nil {
		event.Log(p.opts.Log, event.PeerInventoryFailed, event.Peer(peer.Identity.Name), event.Err(err))
		return
	}
	s.applyResidents(peer.Identity.Incarnation, reply)
}
