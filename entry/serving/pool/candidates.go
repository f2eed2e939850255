package pool

import (
	"net/http"
	"slices"
	"time"

	"peridotchute.example/config"
	"peridotchute.example/membership"
	"peridotchute.example/routing"
)

// Candidates returns the view of one pool that routing chooses from; served is
// nil for plain services. prefixes are the blocks of the prompt. Suspect
// servers serve only when no other does.
func (p *Pool) Candidates(poolName string, served *config.Served, prefixes []uint64) []routing.Candidate {
	index := p.opts.Holder.Current()
	servers := p.Servers()
	views := make([]routing.Server, len(servers))
	out := make([]routing.Candidate, 0, len(servers))
	var suspects []routing.Candidate
	serving := false
	for i, s := range servers {
		c, state, ok := s.candidate(&views[i], poolName, served, index)
		switch {
		case !ok:
		case state == membership.StateSuspect && s.Incarnation() != "":
			suspects = append(suspects, c)
		default:
			serving = serving || c.Server.Serving
			out = append(out, c)
		}
	}
	for _, c := range suspects {
		c.Server.Serving = !serving
		out = append(out, c)
	}
	if !p.opts.Link.Open(time.Now()) {
		p.keepInRegion(out)
	}
	p.markCached(out, prefixes)
	return out
}

// keepInRegion leaves the servers of other regions out when one of this region
// serves. Otherwise they stay: what is declared is reachable first.
func (p *Pool) keepInRegion(candidates []routing.Candidate) {
	near := slices.ContainsFunc(candidates, func(c routing.Candidate) bool {
		return c.Server.Serving && c.Server.Region == p.opts.Region
	})
	if !near {
		return
	}
	for i := range candidates {
		s := candidates[i].Server
		s.Serving = s.Serving && s.Region == p.opts.Region
	}
}

// Carry accounts an exchange with a server of another region: the body sent,
// and what is read of the answer from now on.
func (p *Pool) Carry(s *Server, bodyBytes int, resp *http.Response) {
	if p.RegionOf(s) == p.opts.Region {
		return
	}
	p.opts.Link.Account(bodyBytes, time.Now())
	resp.Body = p.opts.Link.Body(resp.Body)
}

// Policy returns the deployment's policy in force.
func (p *Pool) Policy() config.Policy {
	if index := p.opts.Holder.Current(); index != nil {
		return index.Configuration.Policy
	}
	return config.Policy{}
}

// RegionOf returns the region of a server by the configuration in force.
func (p *Pool) RegionOf(s *Server) string {
	return p.opts.Holder.Current().RegionOf(s.VM().Zone)
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

// candidate fills view with what is known of the server, and returns it as a
// candidate for the request; false when the server is of another pool.
func (s *Server) candidate(view *routing.Server, poolName string, served *config.Served, index *config.Index) (routing.Candidate, membership.State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.vm.Pool != poolName {
		return routing.Candidate{}, s.state, false
	}
	*view = routing.Server{
		Name:        s.vm.Name,
		Region:      index.RegionOf(s.vm.Zone),
		Zone:        s.vm.Zone,
		Serving:     s.state == membership.StateLive,
		InFlight:    int(s.inFlight.Load()),
		Reported:    s.report.InFlight,
		OwnReported: s.ownInFlight,
		ReportedAt:  s.reportedAt,
		FreeBytes:   s.report.FreeBytes,
		QueueDelay:  time.Duration(s.report.QueueDelayMS) * time.Millisecond,
		FirstSeen:   s.firstSeen,
		Failures:    s.failures,
		RetryAt:     s.retryAt,
		Limit:       s.limit.Value(),
	}
	c := routing.Candidate{Server: view}
	if served != nil {
		c.Resident = s.residents[served.Artifact]
		c.Base = s.residents[served.Base]
	}
	return c, s.state, true
}
