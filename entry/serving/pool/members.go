package pool

import (
	"context"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/membership"
	"peridotchute.example/rpc"
	"peridotchute.example/store"
)

// refreshVMList reads the VM list and updates the members and the link cap. If the
// list can't be read, nothing changes.
func (p *Pool) refreshVMList(ctx context.Context) {
	vms, err := p.opts.VMs.List(ctx)
	if err != nil {
		event.Log(p.opts.Log, event.VMListFailed, event.Err(err))
		return
	}
	var listed membership.VMList
	entries := 0
	for _, vm := range vms {
		if vm.Role == roleBackend {
			listed.Rows = append(listed.Rows, memberRow(vm))
		} else {
			entries++
		}
	}
	if index := p.opts.Holder.Current(); index != nil {
		p.opts.Link.SetCap(index.Configuration.Policy.LinkBytesPerSecond, entries)
	}
	p.observe(listed)
	p.mu.Lock()
	p.listed = true
	p.mu.Unlock()
	if p.opts.OnList != nil {
		p.opts.OnList(ctx, vms)
	}
}

func memberRow(vm store.VM) membership.Row {
	return membership.Row{
		Name:        vm.Name,
		Zone:        vm.Zone,
		Pool:        vm.Pool,
		DataAddress: vm.DataAddress,
		RPCAddress:  vm.RPCAddress,
		Leaving:     vm.State == store.VMLeaving,
	}
}

// runTicks re-evaluates the state of the members and closes silent connections,
// every tickInterval until ctx ends.
func (p *Pool) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.observe(membership.Tick{})
			p.closeSilent(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// observe merges an observation into the membership and applies the updates.
func (p *Pool) observe(o membership.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	updates := membership.Merge(p.members, o, time.Now())
	p.members.Apply(updates)
	for _, u := range updates {
		p.applyUpdate(u)
	}
}

// applyUpdate applies a membership update to the member's server: it adds and
// connects a new one and deletes a removed one. p.mu must be held.
func (p *Pool) applyUpdate(u membership.Update) {
	m := u.Member
	s, known := p.servers[m.Name]
	if !known {
		s = &Server{name: m.Name, observe: p.observe, firstSeen: time.Now(), limit: newLimit()}
		s.setMember(m)
		ctx, stop := context.WithCancel(p.runCtx)
		s.stop = stop
		p.add(s)
		go p.connect(ctx, s)
	}
	if old := s.latestIncarnation(); known && old != "" && m.Incarnation != old {
		p.lastLosses[s.VM().Pool] = time.Now()
	}
	s.setMember(m)
	if !u.Changed() {
		return
	}
	event.Log(p.opts.Log, event.MemberChanged, event.Peer(m.Name), event.Subject(string(m.State)), event.Reason(m.Reason))
	if m.State == membership.StateRemoved {
		p.lastLosses[s.VM().Pool] = time.Now()
		s.stop()
		p.remove(m.Name)
		p.dropPrefixes(m.Name)
	}
}

// closeSilent closes connections on which nothing was received for long, so that
// they are reopened.
func (p *Pool) closeSilent(now time.Time) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for name, m := range p.members {
		peer := p.servers[name].Peer()
		if peer != nil && now.Sub(m.LastContact) >= max(membership.RemoveAfter, 2*m.SuspectTimeout()) {
			_ = peer.Close()
		}
	}
}

// connect maintains the control connection to the server until ctx ends.
func (p *Pool) connect(ctx context.Context, s *Server) {
	address := func() string { return s.VM().RPCAddress }
	rpc.KeepConnected(ctx, address, p.opts.Local, p.opts.Handlers, func(ctx context.Context, peer *rpc.Peer) {
		p.useConnection(ctx, s, peer)
	})
}

// useConnection fetches the residents and makes the connection available through
// s.Peer until it is closed or ctx ends. It returns at once if a process other than
// the server's side process answered at the address.
func (p *Pool) useConnection(ctx context.Context, s *Server, peer *rpc.Peer) {
	id := peer.Identity
	if name := s.VM().Name; id.Name != name {
		event.Log(p.opts.Log, event.PeerNameMismatch, event.Peer(name), event.Subject(id.Name))
		return
	}
	event.Log(p.opts.Log, event.PeerConnected, event.Peer(id.Name))
	p.fetchResidents(ctx, s, peer)
	s.peer.Store(peer)
	p.observe(membership.Contact{Name: id.Name, Incarnation: id.Incarnation})
	if p.opts.OnPeer != nil {
		p.opts.OnPeer(peer)
	}
	select {
	case <-peer.Done():
		event.Log(p.opts.Log, event.PeerLost, event.Peer(id.Name))
	case <-ctx.Done():
	}
	s.peer.Store(nil)
	p.observe(membership.Disconnected{Name: id.Name, Incarnation: id.Incarnation})
}
