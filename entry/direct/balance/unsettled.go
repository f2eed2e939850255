package balance

import "slices"

// SetUnsettled replaces the software versions of each service that are too new to begin
// resumable streams. It does not block.
func (b *Balancer) SetUnsettled(versions map[string][]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unsettled = versions
	for _, p := range b.pools {
		for _, s := range p.servers {
			s.unsettled = b.isUnsettled(p, s.Software)
		}
		p.queue.ServerChanged("")
	}
	b.signal()
}

func (b *Balancer) isUnsettled(p *pool, software string) bool {
	return slices.Contains(b.unsettled[p.name], software)
}

// anyUnsettled reports whether a server may not begin resumable streams.
func (p *pool) anyUnsettled() bool {
	return slices.ContainsFunc(p.order, func(s *server) bool { return s.unsettled })
}
