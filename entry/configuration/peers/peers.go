// Package peers keeps control connections to some of the other entries, over
// which configurations spread.
package peers

import (
	"context"
	"sync"

	"peridotchute.example/membership"
	"peridotchute.example/rpc"
	"peridotchute.example/store"
)

const roleEntry = "entry"

// Options configure Peers.
type Options struct {
	Local    rpc.Local
	Handlers *rpc.Handlers
	OnPeer   func(*rpc.Peer) // called with each new connection
}

// Peers are the connections that this entry keeps. Every other entry is
// reached over few of them.
type Peers struct {
	opts Options

	mu    sync.Mutex
	links map[string]*link
}

// link is one kept connection.
type link struct {
	address string
	stop    context.CancelFunc
}

// New returns no connections; Update opens them.
func New(opts Options) *Peers {
	return &Peers{opts: opts, links: map[string]*link{}}
}

// Update opens and ends connections after a reading of the VM list. They end
// with ctx as well.
func (p *Peers) Update(ctx context.Context, vms []store.VM) {
	addresses := map[string]string{}
	var names []string
	for _, vm := range vms {
		if vm.Role == roleEntry && vm.State == store.VMLive && vm.RPCAddress != "" {
			addresses[vm.Name] = vm.RPCAddress
			names = append(names, vm.Name)
		}
	}
	wanted := map[string]string{}
	for _, name := range membership.Fingers(p.opts.Local.Identity.Name, names) {
		wanted[name] = addresses[name]
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, l := range p.links {
		if wanted[name] != l.address {
			l.stop()
			delete(p.links, name)
		}
	}
	for name, address := range wanted {
		if _, ok := p.links[name]; !ok {
			p.open(ctx, name, address)
		}
	}
}

func (p *Peers) open(ctx context.Context, name, address string) {
	ctx, stop := context.WithCancel(ctx)
	p.links[name] = &link{address: address, stop: stop}
	go rpc.Keep(ctx, func() string { return address }, p.opts.Local, p.opts.Handlers, p.use)
}

func (p *Peers) use(ctx context.Context, peer *rpc.Peer) {
	p.opts.OnPeer(peer)
	select {
	case <-peer.Done():
	case <-ctx.Done():
	}
}

// DumpState returns the section of the state dump.
func (p *Peers) DumpState() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(p.links))
	for name := range p.links {
		names = append(names, name)
	}
	return names
}
