package balance

import (
	"cmp"
	"slices"
	"time"

	"peridotchute.example/entry/direct/orders"
	"peridotchute.example/fleet"
	"peridotchute.example/routing"
)

// artifact is a model, or an adapter of it.
type artifact struct {
	model   string
	adapter string // empty for the model itself
}

// server is what this entry knows of one backend server.
type server struct {
	fleet.Server
	engine *routing.EngineServer // nil at plain services
	plain  *routing.PlainServer  // nil at model services

	told   *orders.Change // newest word of the entry that gives the orders
	toldAt time.Time
	added  map[artifact]time.Time // resident since then, by an answer to Ensure
	lacks  map[artifact]time.Time // by the server's own word, until then

	running   map[artifact]int
	inFlight  int
	heard     time.Time // when anything was last received from it
	owes      time.Time // since when it owes an answer
	downUntil time.Time // it could not be reached
	downs     int       // in a row
	peers     peerLoad
}

const (
	crossRegion = 24 * time.Millisecond // round trip to another region
	crossZone   = 2 * time.Millisecond  // round trip to another availability zone

	// wordHolds is how long a word that was learned ahead of the registrations
	// outweighs them: servers write theirs about every second.
	wordHolds = 2500 * time.Millisecond

	lackHolds  = 700 * time.Millisecond // a server that lacked a model may have loaded it by then
	orderHolds = 150 * time.Millisecond // a server that was full, or had an order for the model, may take requests again

	downFirst = 700 * time.Millisecond // until a server that was not reached is tried again
	downMost  = 4 * time.Second
)

// sync brings the servers of a pool up to date with a view. It reports whether
// some can be used no longer.
func (b *Balancer) sync(p *pool, v *fleet.View) (lost bool) {
	seen := map[string]bool{}
	for i := range v.Servers {
		s := &v.Servers[i]
		if s.Service != p.name {
			continue
		}
		seen[s.ID] = true
		known := p.servers[s.ID]
		if known == nil || known.Address != s.Address {
			known = b.newServer(p, s)
			p.servers[s.ID] = known
		}
		lost = known.register(s, p.engine) || lost
	}
	for id, s := range p.servers {
		if !seen[id] {
			s.forget()
			delete(p.servers, id)
			lost = true
		}
	}
	p.order = p.order[:0]
	for _, s := range p.servers {
		p.order = append(p.order, s)
	}
	slices.SortFunc(p.order, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
	return lost
}

func (b *Balancer) newServer(p *pool, registered *fleet.Server) *server {
	s := &server{
		Server:  *registered,
		added:   map[artifact]time.Time{},
		lacks:   map[artifact]time.Time{},
		running: map[artifact]int{},
	}
	trip := b.roundTrip(registered.Zone)
	if p.engine == nil {
		s.plain = routing.NewPlainServer(s.ID, s.Slots)
		s.plain.RoundTrip = trip
		return s
	}
	s.engine = routing.NewEngineServer(s.ID, p.engine.Slots, p.engine.KVTokens, p.models.prefixes.Server())
	s.engine.RoundTrip = trip
	return s
}

func (b *Balancer) roundTrip(zone string) time.Duration {
	switch {
	case b.opts.Regions[zone] != b.opts.Regions[b.opts.Zone]:
		return crossRegion
	case zone != b.opts.Zone:
		return crossZone
	}
	return 0
}

// register takes in a registration and reports whether the server can be used
// no longer.
func (s *server) register(r *fleet.Server, engine *fleet.Engine) (lost bool) {
	lost = r.Draining && !s.Draining
	if r.Born != s.Born {
		s.restarted()
	}
	s.Server = *r
	if s.engine != nil && engine != nil {
		s.engine.Slots, s.engine.KVTokens = engine.Slots, engine.KVTokens
	}
	if s.plain != nil {
		s.plain.Slots = r.Slots
	}
	return lost
}

// restarted forgets what an earlier incarnation held.
func (s *server) restarted() {
	s.told = nil
	clear(s.added)
	clear(s.lacks)
	if s.engine != nil {
		s.engine.Restarted()
	}
}

func (s *server) forget() {
	if s.engine != nil {
		s.engine.Kept.Clear()
	}
}

// usable reports whether requests may be sent there.
func (s *server) usable(now time.Time) bool { return !s.Draining && !now.Before(s.downUntil) }

// residents returns what the server holds by the newest word.
func (s *server) residents(now time.Time) []fleet.Resident {
	t := s.told
	if t == nil || t.Born != s.Born || now.Sub(s.toldAt) > wordHolds {
		return s.Residents
	}
	return t.Residents
}

// holds reports whether the server holds an artifact.
func (s *server) holds(a artifact, now time.Time) bool {
	if until, ok := s.lacks[a]; ok {
		if now.Before(until) {
			return false
		}
		delete(s.lacks, a)
	}
	if at, ok := s.added[a]; ok {
		if now.Sub(at) < wordHolds {
			return true
		}
		delete(s.added, a)
	}
	return resident(s.residents(now), a)
}

func resident(all []fleet.Resident, a artifact) bool {
	for i := range all {
		if all[i].Model == a.model {
			return a.adapter == "" || slices.Contains(all[i].Adapters, a.adapter)
		}
	}
	return false
}

// Told takes in what a server holds after an order, ahead of its registration.
func (b *Balancer) Told(id string, c orders.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pools {
		s := p.servers[id]
		if s == nil || (s.told != nil && s.told.Born == c.Born && s.told.OrderSeq > c.OrderSeq) {
			continue
		}
		s.told, s.toldAt = &c, time.Now()
		clear(s.added)
		for a := range s.lacks {
			if resident(c.Residents, a) {
				delete(s.lacks, a)
			}
		}
		p.line.Changed("")
		b.giveTurns(p)
	}
}

// Down reports whether a server could not be reached lately.
func (b *Balancer) Down(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pools {
		if s := p.servers[id]; s != nil {
			return time.Now().Before(s.downUntil)
		}
	}
	return false
}
