package pool

import (
	"context"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/membership"
	"peridotchute.example/rpc"
	"peridotchute.example/store"
)

// refresh reads the VM list. A list that cannot be read changes nothing.
func (p *Pool) refresh(ctx context.Context) {
	vms, err := p.opts.VMs.List(ctx)
	if err != nil {
		event.Log(p.opts.Log, event.VMListFailed, event.Err(err))
		return
	}
	var listed membership.VMList
	entries := 0
	for _, vm := range vms {
		if vm.Role == roleBackend {
			listed.Rows = append(listed.Rows, row(vm))
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

func row(vm store.VM) membership.Row {
	return membership.Row{
		Name:        vm.Name,
		Zone:        vm.Zone,
		Pool:        vm.Pool,
		DataAddress: vm.DataAddress,
		RPCAddress:  vm.RPCAddress,
		Leaving:     vm.State == store.VMLeaving,
	}
}

// tick lets time pass for the members.
func (p *Pool) tick(ctx context.Context) {
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

// observe merges one observation and carries out what it changes.
func (p *Pool) observe(o membership.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	updates := membership.Merge(p.members, o, time.Now())
	p.members.Apply(updates)
	for _, u := range updates {
		p.follow(u)
	}
}

// follow brings the server of a member in line with it. p.mu is held.
func (p *Pool) follow(u membership.Update) {
	m := u.Member
	s, known := p.servers[m.Name]
	if !known {
		s = &Server{name: m.Name, observe: p.observe, firstSeen: time.Now(), limit: newLimit()}
		s.setMember(m)
		ctx, stop := context.WithCancel(p.life)
		s.stop = stop
		p.add(s)
		go p.connect(ctx, s)
	}
	if old := s.known(); known && old != "" && m.Incarnation != old {
		p.losses[s.VM().Pool] = time.Now()
	}
	s.setMember(m)
	if !u.Changed() {
		return
	}
	event.Log(p.opts.Log, event.MemberChanged, event.Peer(m.Name), event.Subject(string(m.State)), event.Reason(m.Reason))
	if m.State == membership.StateGone {
		p.losses[s.VM().Pool] = time.Now()
		s.stop()
		p.remove(m.Name)
		p.forget(m.Name)
	}
}

// closeSilent ends connections over which nothing came for long, so that they
// are opened anew.
func (p *Pool) closeSilent(now time.Time) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for name, m := range p.members {
		peer := p.servers[name].Peer()
		if peer != nil && now.Sub(m.LastContact) >= max(membership.GoneAfter, 2*m.SuspectTimeout()) {
			_ = peer.Close()
		}
	}
}

// connect keeps one control connection to the server open until ctx ends.
func (p *Pool) connect(ctx context.Context, s *Server) {
	address := func() string { return s.VM().RPCAddress }
	rpc.Keep(ctx, address, p.opts.Local, p.opts.Handlers, func(ctx context.Context, peer *rpc.Peer) {
		p.hold(ctx, s, peer)
	})
}

// hold uses the connection until it ends.
func (p *Pool) hold(ctx context.Context, s *Server, peer *rpc.Peer) {
	id := peer.Identity
	if name := s.VM().Name; id.Name != name {
		event.Log(p.opts.Log, event.PeerMistaken, event.Peer(name), event.Subject(id.Name))
		return
	}
	event.Log(p.opts.Log, event.PeerConnected, event.Peer(id.Name))
	p.fetchResidence(ctx, s, peer)
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
