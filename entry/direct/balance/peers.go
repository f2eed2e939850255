package balance

import (
	"time"

	"peridotchute.example/placement/loadplan"
	"peridotchute.example/routing"
)

// Load is the work in progress at one server, as entries exchange it.
type Load struct {
	ID       string
	Requests int
	Work     time.Duration // prefill time of the requests that have no first event yet
	Tokens   int           // KV cache tokens of all the requests
}

// peerLoad is the total load of the other entries at a server.
type peerLoad struct {
	load      Load
	changedAt time.Time // when load last changed
	appliedAt time.Time // when load was last passed to package routing
}

// peerLoadRefresh is the age at which an unchanged load is passed to package
// routing again, before that package discards it.
const peerLoadRefresh = time.Second

// peersEntry is the entry name under which the load of all other entries is
// summed.
const peersEntry = "peers"

// Loads returns this entry's work in progress at each server.
func (b *Balancer) Loads() []Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var out []Load
	for _, p := range b.pools {
		for _, s := range p.order {
			own := s.batch().OwnLoad(now)
			out = append(out, Load{ID: s.ID, Requests: own.Waiting + own.Running, Work: own.Work, Tokens: own.Tokens})
		}
	}
	return out
}

// SetPeerLoads updates the load of the other entries at every server. loadOf returns
// their total load at the server with the given ID.
func (b *Balancer) SetPeerLoads(loadOf func(id string) Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, p := range b.pools {
		changed := false
		for _, s := range p.order {
			changed = s.setPeerLoad(loadOf(s.ID), now) || changed
		}
		changed = p.wakeLimited(now) || changed
		if changed && p.queue.Len() > 0 {
			p.queue.ServerChanged("")
			b.dispatch(p)
		}
	}
}

// setPeerLoad stores the load of the other entries and passes it to package
// routing. It reports whether the load changed.
func (s *server) setPeerLoad(l Load, now time.Time) bool {
	changed := s.peers.load != l
	if !changed && (l.Requests == 0 || now.Sub(s.peers.appliedAt) < peerLoadRefresh) {
		return false
	}
	if changed {
		s.peers = peerLoad{load: l, changedAt: now}
	}
	s.peers.appliedAt = now
	work := max(l.Work-now.Sub(s.peers.changedAt), 0) // minus the work done since the load changed
	s.batch().SetPeerLoad(peersEntry, routing.Load{Running: l.Requests, Work: work, Tokens: l.Tokens}, now, now)
	return changed
}

// TakeDemand returns the demand for models since the previous call and resets
// the counts.
func (b *Balancer) TakeDemand() []loadplan.ModelDemand {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var out []loadplan.ModelDemand
	for _, p := range b.pools {
		if p.engine == nil {
			continue
		}
		b.countWaiting(p, now)
		p.countRunning()
		for model, d := range p.demand {
			out = append(out, *d)
			if d.Arrivals == 0 && d.Waiting == 0 && len(d.Running) == 0 {
				delete(p.demand, model)
				continue
			}
			*d = loadplan.ModelDemand{Service: p.name, Model: model, Urgency: d.Urgency}
		}
	}
	return out
}

// countWaiting adds to the demand the requests whose model no usable server has
// loaded.
func (b *Balancer) countWaiting(p *pool, now time.Time) {
	for w := range p.waiting {
		if d := p.demand[w.artifact.model]; d != nil && b.replicas(p, w, now, true) == 0 {
			d.Waiting++
			w.countBound(d)
		}
	}
}

func (p *pool) countRunning() {
	for _, s := range p.order {
		for a, n := range s.running {
			if d := p.demand[a.model]; d != nil {
				d.Running = append(d.Running, loadplan.Running{Server: s.ID, Adapter: a.adapter, Count: n})
			}
		}
	}
}

// Dump is the section of the state dump for one pool.
type Dump struct {
	Waiting int            `json:"waiting"`
	Missing []string       `json:"missing,omitempty"` // models and adapters being loaded for queued requests, as model/adapter
	Servers map[string]int `json:"in_progress"`       // requests by server
}

// DumpState returns the balancer's section of the state dump, a Dump by
// service.
func (b *Balancer) DumpState() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Dump{}
	for name, p := range b.pools {
		d := Dump{Waiting: p.queue.Len(), Servers: map[string]int{}}
		for a := range p.loading {
			d.Missing = append(d.Missing, a.model+"/"+a.adapter)
		}
		for _, s := range p.order {
			d.Servers[s.ID] = s.inFlight
		}
		out[name] = d
	}
	return out
}
