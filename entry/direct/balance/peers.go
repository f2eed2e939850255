package balance

import (
	"time"

	"peridotchute.example/placement/residence"
	"peridotchute.example/routing"
)

// Load is what is in progress at one server, as entries tell each other.
type Load struct {
	ID       string
	Requests int
	Work     time.Duration // prefill of the requests without a first event
	Tokens   int           // memory of all of them
}

// peerLoad is what the other entries together told of a server.
type peerLoad struct {
	load  Load
	told  time.Time // first heard so
	heard time.Time // last passed on to the routing
}

// renewLoad is the age at which unchanged loads are heard again, which is
// before the routing forgets them.
const renewLoad = time.Second

// peersName stands for all other entries together.
const peersName = "peers"

// Loads returns what this entry has in progress at each server.
func (b *Balancer) Loads() []Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var out []Load
	for _, p := range b.pools {
		for _, s := range p.order {
			own := s.batch().Own(now)
			out = append(out, Load{ID: s.ID, Requests: own.Waiting + own.Running, Work: own.Work, Tokens: own.Tokens})
		}
	}
	return out
}

// Hear takes in what the other entries together have in progress at each
// server; of tells it for one.
func (b *Balancer) Hear(of func(id string) Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, p := range b.pools {
		changed := false
		for _, s := range p.order {
			changed = s.hear(of(s.ID), now) || changed
		}
		if changed && p.line.Len() > 0 {
			p.line.Changed("")
			b.giveTurns(p)
		}
	}
}

func (s *server) hear(l Load, now time.Time) bool {
	changed := s.peers.load != l
	if !changed && (l.Requests == 0 || now.Sub(s.peers.heard) < renewLoad) {
		return false
	}
	if changed {
		s.peers = peerLoad{load: l, told: now}
	}
	s.peers.heard = now
	work := max(l.Work-now.Sub(s.peers.told), 0) // worked off since it was told
	s.batch().Hear(peersName, routing.Load{Running: l.Requests, Work: work, Tokens: l.Tokens}, now, now)
	return changed
}

// TakeDemand returns the demand for models since it was last taken.
func (b *Balancer) TakeDemand() []residence.ModelDemand {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var out []residence.ModelDemand
	for _, p := range b.pools {
		if p.engine == nil {
			continue
		}
		p.countWaiting(now)
		p.countRunning()
		for model, d := range p.demand {
			out = append(out, *d)
			if d.Arrivals == 0 && d.Waiting == 0 && len(d.Running) == 0 {
				delete(p.demand, model)
				continue
			}
			*d = residence.ModelDemand{Service: p.name, Model: model, Urgency: d.Urgency}
		}
	}
	return out
}

// countWaiting counts the requests for which no server holds the model.
func (p *pool) countWaiting(now time.Time) {
	for w := range p.waiting {
		if d := p.demand[w.artifact.model]; d != nil && p.replicas(w, now, true) == 0 {
			d.Waiting++
		}
	}
}

func (p *pool) countRunning() {
	for _, s := range p.order {
		for a, n := range s.running {
			if d := p.demand[a.model]; d != nil {
				d.Running = append(d.Running, residence.Running{Server: s.ID, Adapter: a.adapter, Count: n})
			}
		}
	}
}

// Dump is one pool's section of the state dump.
type Dump struct {
	Waiting int            `json:"waiting"`
	Missing []string       `json:"missing,omitempty"` // models and adapters that are being loaded for requests
	Servers map[string]int `json:"in_progress"`       // by server
}

// DumpState returns the balancer's section of the state dump.
func (b *Balancer) DumpState() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Dump{}
	for name, p := range b.pools {
		d := Dump{Waiting: p.line.Len(), Servers: map[string]int{}}
		for a := range p.missing {
			d.Missing = append(d.Missing, a.model+"/"+a.adapter)
		}
		for _, s := range p.order {
			d.Servers[s.ID] = s.inFlight
		}
		out[name] = d
	}
	return out
}
