package pool

import (
	"net/http"
	"slices"
	"time"

	"peridotchute.example/config"
	"peridotchute.example/membership"
	"peridotchute.example/routing"
)

// Candidates returns the servers of one pool as candidates for routing. served is
// nil for plain services; prefixes are the chained hashes of the prompt blocks.
// Suspect servers count as serving only if no other server of the pool serves.
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
		p.preferOwnRegion(out)
	}
	p.markCached(out, prefixes)
	return out
}

// preferOwnRegion excludes the servers of other regions if a server of this region
// serves. Otherwise they stay, because serving a request takes precedence over
// the cap on traffic between regions.
func (p *Pool) preferOwnRegion(candidates []routing.Candidate) {
	ownRegionServes := slices.ContainsFunc(candidates, func(c routing.Candidate) bool {
		return c.Server.Serving && c.Server.Region == p.opts.Region
	})
	if !ownRegionServes {
		return
	}
	for i := range candidates {
		s := candidates[i].Server
		s.Serving = s.Serving && s.Region == p.opts.Region
	}
}

// Carry counts an exchange with a server against the cap on traffic between
// regions if the server is in another region. It counts the request body now and
// the response body as it is read.
func (p *Pool) Carry(s *Server, bodyBytes int, resp *http.Response) {
	if p.RegionOf(s) == p.opts.Region {
		return
	}
	p.opts.Link.Account(bodyBytes, time.Now())
	resp.Body = p.opts.Link.Body(resp.Body)
}

// Policy returns the policy of the active configuration, or the zero value if
// there is none.
func (p *Pool) Policy() config.Policy {
	if index := p.opts.Holder.Current(); index != nil {
		return index.Configuration.Policy
	}
	return config.Policy{}
}

// RegionOf returns the region of a server according to the active configuration.
func (p *Pool) RegionOf(s *Server) string {
	return p.opts.Holder.Current().RegionOf(s.VM().Zone)
}

// markCached sets Cached of each candidate to the share of the prompt's blocks
// that it has been sent before.
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

// dropPrefixes removes a server from the prefix index.
func (p *Pool) dropPrefixes(server string) {
	p.prefixMu.Lock()
	defer p.prefixMu.Unlock()
	p.prefixes.Drop(server)
}

// RecordPrefixes records that a prompt with these leading blocks is sent to the
// server, so that Candidates can prefer it for similar prompts.
func (p *Pool) RecordPrefixes(server string, prefixes []uint64) {
	p.prefixMu.Lock()
	defer p.prefixMu.Unlock()
	p.prefixes.Add(server, prefixes)
}

// candidate fills view with the state of the server and returns a candidate that
// refers to view, and the membership state. It returns false if the server is in
// another pool.
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
