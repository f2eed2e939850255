// Package peers maintains control connections to some of the other entries.
// Configurations are distributed over these connections.
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

// Peers maintains the connections of this entry. They are chosen so that every
// other entry is reached over a few hops.
type Peers struct {
	opts Options

	mu          sync.Mutex
	connections map[string]*connection
}

// connection is a connection that is reopened whenever it fails, until cancel is
// called.
type connection struct {
	address string
	cancel  context.CancelFunc
}

// New returns Peers without connections; Update opens them.
func New(opts Options) *Peers {
	return &Peers{opts: opts, connections: map[string]*connection{}}
}

// Update opens and closes connections to match the VM list. All connections are
// closed when ctx ends.
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
	for name, conn := range p.connections {
		if wanted[name] != conn.address {
			conn.cancel()
			delete(p.connections, name)
		}
	}
	for name, address := range wanted {
		if _, ok := p.connections[name]; !ok {
			p.connect(ctx, name, address)
		}
	}
}

func (p *Peers) connect(ctx context.Context, name, address string) {
	ctx, cancel := context.WithCancel(ctx)
	p.connections[name] = &connection{address: address, cancel: cancel}
	go rpc.Keep(ctx, func() string { return address }, p.opts.Local, p.opts.Handlers, p.onConnected)
}

func (p *Peers) onConnected(ctx context.Context, peer *rpc.Peer) {
	p.opts.OnPeer(peer)
	select {
	case <-peer.Done():
	case <-ctx.Done():
	}
}

// DumpState returns the names of the entries that this one stays connected to.
func (p *Peers) DumpState() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(p.connections))
	for name := range p.connections {
		names = append(names, name)
	}
	return names
}
